//! Answers whose upstream closes the connection in the middle of the head, over real sockets.

use std::net::SocketAddr;

use awc::http::Method;
use bytes::Bytes;
use futures_util::StreamExt;
use pimentotide_upstream::{EngineClient, EngineError, EngineRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers with each framing of a body, and one after an informational head.
const ANSWERS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Last: 1\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\ndone",
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
];
/// Answers with a framing that the client does not decode, or with two that contradict each other.
const UNREADABLE: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\ndone",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ndone",
    "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\ndone",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\ndone",
];
const HEAD_END: &str = "\r\n\r\n";
const REQUEST_BODY: &[u8] = b"lodge";

/// Sends `answer` to one request and ends the connection, with a reset if `reset` is set.
async fn serve_once(listener: TcpListener, answer: &[u8], reset: bool) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = Vec::new();
    while !request.ends_with(REQUEST_BODY) {
        stream.read_buf(&mut request).await.unwrap();
    }
    stream.write_all(answer).await.unwrap();
    if reset {
        stream.set_zero_linger().unwrap();
    }
}

/// Sends a request and reads the body of its answer.
async fn read_answer(address: SocketAddr) -> Result<Vec<u8>, EngineError> {
    let request = EngineRequest {
        method: Method::POST,
        path: "/orders".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(REQUEST_BODY),
    };
    let answer = EngineClient::open().send(address, &request).await?;
    let mut body = Vec::new();
    let mut parts = std::pin::pin!(answer.body);
    while let Some(part) = parts.next().await {
        body.extend_from_slice(&part?);
    }
    Ok(body)
}

async fn assert_broken(answer: &str, reset: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = serve_once(listener, answer.as_bytes(), reset);
    let (outcome, ()) = tokio::join!(read_answer(address), serving);
    let broken = matches!(outcome, Err(EngineError::Broken(_)));
    assert!(broken, "{answer:?}, reset {reset}: {outcome:?}");
}

/// Guards against an upstream that stops within the head of its answer, and whose answer passes for
/// one that is complete and empty or short.
#[actix_rt::test]
async fn answer_cut_within_its_head_is_reported_as_broken() {
    for answer in ANSWERS {
        let body = answer.find(HEAD_END).unwrap() + HEAD_END.len();
        for cut in 0..body {
            for reset in [false, true] {
                assert_broken(&answer[..cut], reset).await;
            }
        }
    }
}

/// Guards against a body that is taken for empty because its framing is not understood.
#[actix_rt::test]
async fn answer_with_unreadable_framing_is_reported_as_broken() {
    for answer in UNREADABLE {
        assert_broken(answer, false).await;
    }
}
