//! Request bodies without end and bytes after a refused body, over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use pimentotide_caller::{
    Answer, AnswerBody, Call, CallerOptions, CallerServer, EntryAdvice, Health, Service,
};
use pimentotide_model::{Failure, InstanceName, ModelName};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_BODY_BYTES: usize = 64;
/// Body that fills the buffers of a connection several times.
const LARGE_BODY_BYTES: usize = 32 << 20;
/// Time in which the server acts, however busy the machine is.
const GIVE_UP_TIME: Duration = Duration::from_secs(30);

/// Answers each call with its path.
#[derive(Clone)]
struct Echo;

impl Service for Echo {
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, Failure>> + 'static {
        std::future::ready(Ok(Answer {
            status: 200,
            headers: Vec::new(),
            body: AnswerBody::Whole(Bytes::from(call.path)),
        }))
    }

    fn entries(&self, _zone: Option<&str>) -> EntryAdvice {
        EntryAdvice {
            addresses: Vec::new(),
            keep: Duration::ZERO,
        }
    }

    fn health(&self) -> Health {
        Health {
            instance: InstanceName::from("i1"),
            stopping: false,
        }
    }

    fn models(&self) -> Vec<ModelName> {
        Vec::new()
    }
}

fn serve() -> CallerServer {
    let options = CallerOptions {
        listen: "127.0.0.1:0".parse().unwrap(),
        threads: 1,
        max_body_bytes: MAX_BODY_BYTES,
        drain_timeout: Duration::from_secs(1),
    };
    CallerServer::bind(&options, || Echo).unwrap()
}

/// Sends `start` and repeats `part` until the server closes the connection; returns what it answered.
async fn send_without_end(address: SocketAddr, start: &str, part: &'static str) -> String {
    let (mut reader, mut writer) = TcpStream::connect(address).await.unwrap().into_split();
    writer.write_all(start.as_bytes()).await.unwrap();
    let sending = actix_rt::spawn(async move {
        while writer.write_all(part.as_bytes()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    let mut answer = Vec::new();
    // The connection may be reset, since the body was not read to its end.
    let reading = tokio::time::timeout(GIVE_UP_TIME, reader.read_to_end(&mut answer));
    let ended = reading.await.is_ok();
    sending.abort();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(ended, "the connection stays open after {answer:?}");
    answer
}

/// Guards against a body without end that keeps its connection after it has been refused.
#[actix_rt::test]
async fn connection_ends_after_a_body_that_is_too_large() {
    let server = serve();
    let head = "POST /services/s/p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = send_without_end(server.address(), head, "4\r\nxxxx\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    server.stop().await;
}

/// Guards against a refusal that is lost since the connection is reset while the caller still sends.
#[actix_rt::test]
async fn caller_that_sends_a_large_body_receives_the_refusal() {
    let server = serve();
    let (mut reader, mut writer) = TcpStream::connect(server.address())
        .await
        .unwrap()
        .into_split();
    let body = vec![b'x'; LARGE_BODY_BYTES];
    let head = format!(
        "POST /services/s/p HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let exchange = async {
        writer.write_all(head.as_bytes()).await?;
        writer.write_all(&body).await?;
        let mut answer = String::new();
        reader.read_to_string(&mut answer).await.map(|_| answer)
    };
    let answer = tokio::time::timeout(GIVE_UP_TIME, exchange).await;
    let answer = answer.expect("the connection ends").expect("no reset");
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    server.stop().await;
}

/// Guards against bytes of a refused body that are taken for the next request, and against a body of
/// which the server and its neighbour see different ends.
#[actix_rt::test]
async fn rest_of_a_refused_body_is_no_request() {
    let server = serve();
    let hidden = "GET /services/s/hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    let head = "POST /services/s/p HTTP/1.1\r\nHost: h\r\n";
    let starts = [
        format!("{head}Content-Length: 9999\r\n\r\n{}", "x".repeat(100)),
        format!("{head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    ];
    for start in starts {
        let answer = send_without_end(server.address(), &start, hidden).await;
        assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
        assert!(!answer.contains("/hidden"), "{answer}");
    }
    server.stop().await;
}
