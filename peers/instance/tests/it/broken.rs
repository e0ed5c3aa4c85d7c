//! What the work client says of an order whose connection fails.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::thread;

use pimentotide_instance::Token;
use pimentotide_instance::work::{WorkClient, WorkError};
use pimentotide_model::RequestId;

/// Address of a server that reads one request whole and closes the connection.
fn serve_silence() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut seen = Vec::new();
        let mut buffer = [0; 1024];
        while !seen.ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut buffer).unwrap();
            seen.extend_from_slice(&buffer[..count]);
        }
    });
    address
}

async fn cancel(address: SocketAddr) -> WorkError {
    let token = Token::open("secret-of-sufficient-length-0123456789").unwrap();
    let client = WorkClient::open(token);
    client.cancel(address, RequestId(7)).await.unwrap_err()
}

#[actix_rt::test]
async fn an_order_that_was_read_may_have_run() {
    let error = cancel(serve_silence()).await;
    assert!(matches!(error, WorkError::Broken(_)), "{error}");
}

#[actix_rt::test]
async fn an_order_without_a_connection_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = cancel(address).await;
    assert!(matches!(error, WorkError::Unreachable(_)), "{error}");
}
