//! Errors of the work client when the connection to the agent fails.
//!
//! An order that the agent may have read must not be reported as unreachable,
//! since it would then be sent again and could run twice.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::thread;

use pimentotide_instance::Token;
use pimentotide_instance::work::{WorkClient, WorkError};
use pimentotide_model::RequestId;

/// Starts a server that reads one request and closes the connection unanswered.
fn close_unanswered() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = Vec::new();
        let mut buffer = [0; 1024];
        while !received.ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut buffer).unwrap();
            received.extend_from_slice(&buffer[..count]);
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
async fn order_may_have_run_if_the_connection_closes_unanswered() {
    let error = cancel(close_unanswered()).await;
    assert!(matches!(error, WorkError::Broken(_)), "{error}");
}

#[actix_rt::test]
async fn order_without_a_connection_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = cancel(address).await;
    assert!(matches!(error, WorkError::Unreachable(_)), "{error}");
}
