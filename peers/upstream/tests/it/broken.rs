//! What the client says of a request whose connection fails.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::thread;

use bytes::Bytes;
use pimentotide_upstream::{EngineClient, EngineError};

/// Address of a server that reads one request whole and closes the connection.
fn serve_silence() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut seen = Vec::new();
        let mut buffer = [0; 1024];
        while !seen.ends_with(b"lodge") {
            let count = stream.read(&mut buffer).unwrap();
            seen.extend_from_slice(&buffer[..count]);
        }
    });
    address
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
