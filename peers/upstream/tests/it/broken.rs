//! What the client says of a request whose connection fails.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use awc::http::Method;
use bytes::Bytes;
use futures_util::StreamExt;
use pimentotide_upstream::{EngineClient, EngineError, EngineRequest};

fn read_request(stream: &mut TcpStream) -> bool {
    let mut seen = Vec::new();
    let mut buffer = [0; 1024];
    while !seen.ends_with(b"lodge") {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => seen.extend_from_slice(&buffer[..count]),
            _ => return false,
        }
    }
    true
}

/// Address of a server that reads one request whole and closes the connection.
fn serve_silence() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
    });
    address
}

/// Address of a server that answers every request, with its count of connections.
fn serve_answers() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&connections);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            count.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                while read_request(&mut stream) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(answer).unwrap();
                }
            });
        }
    });
    (address, connections)
}

async fn connections_of(client: EngineClient) -> usize {
    let (address, connections) = serve_answers();
    for _ in 0..3 {
        let body = Bytes::from_static(b"lodge");
        client.post_json(address, "/orders", body).await.unwrap();
    }
    connections.load(Ordering::SeqCst)
}

async fn post(address: SocketAddr) -> EngineError {
    let body = Bytes::from_static(b"lodge");
    let client = EngineClient::open();
    client
        .post_json(address, "/orders", body)
        .await
        .unwrap_err()
}

#[actix_rt::test]
async fn a_request_that_was_read_may_have_run() {
    let error = post(serve_silence()).await;
    assert!(matches!(error, EngineError::Broken(_)), "{error}");
}

#[actix_rt::test]
async fn a_request_without_a_connection_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = post(address).await;
    assert!(matches!(error, EngineError::Unreachable(_)), "{error}");
}

#[actix_rt::test]
async fn only_the_pooled_client_keeps_connections() {
    assert_eq!(connections_of(EngineClient::open()).await, 1);
    assert_eq!(connections_of(EngineClient::open_unpooled()).await, 3);
}

/// Address of a server that sends `answer` to one request and closes the connection.
fn serve_once(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        stream.write_all(answer).unwrap();
    });
    address
}

/// Body of an answer, or why it is not whole.
async fn body_of(answer: &'static [u8]) -> Result<Vec<u8>, EngineError> {
    let request = EngineRequest {
        method: Method::POST,
        path: "/orders".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"lodge"),
    };
    let answer = EngineClient::open()
        .send(serve_once(answer), &request)
        .await?;
    let mut body = Vec::new();
    let mut parts = std::pin::pin!(answer.body);
    while let Some(part) = parts.next().await {
        body.extend_from_slice(&part?);
    }
    Ok(body)
}

#[actix_rt::test]
async fn a_body_that_ends_early_is_never_taken_for_a_whole_one() {
    let whole: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    ];
    for answer in whole {
        assert_eq!(body_of(answer).await.unwrap(), b"done");
    }
    let short: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndo",
        b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\ndone",
    ];
    for answer in short {
        let text = String::from_utf8_lossy(answer);
        let broken = body_of(answer).await;
        assert!(
            matches!(broken, Err(EngineError::Broken(_))),
            "{text:?}: {broken:?}"
        );
    }
}
