//! Answers that arrive late or twice, over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use futures_util::StreamExt;
use pimentotide_upstream::{EngineClient, EngineError, EngineRequest};

/// Number of requests sent one after the other.
const REQUESTS: usize = 4;
/// Time after an answer in which stray bytes arrive.
const STRAY_TIME: Duration = Duration::from_millis(50);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What an upstream sends beside the one answer to each request.
#[derive(Clone, Copy, Debug)]
enum Stray {
    /// The previous answer once more, just before the next one.
    CopyAfterRequest,
    /// The same answer once more, at once.
    CopyWithAnswer,
    /// The same answer once more, later.
    CopyLater,
    /// The first half of the same answer at once, the rest with the next answer.
    SplitCopy,
    /// An informational answer, and the answer later.
    Informational,
    /// Only the answer, later.
    Slow,
}

/// Reads a request and returns its path; `None` at the end of the connection.
fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    let mut buffer = [0; 1024];
    while !received.windows(HEAD_END.len()).any(|w| w == HEAD_END) {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    text.split(' ').nth(1).map(str::to_owned)
}

fn answer(path: &str) -> String {
    let length = path.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{path}")
}

fn serve_connection(mut stream: TcpStream, stray: Stray) -> std::io::Result<()> {
    let mut previous = String::new();
    while let Some(path) = read_path(&mut stream) {
        let own = answer(&path);
        let copy = match stray {
            Stray::CopyAfterRequest => previous.as_str(),
            Stray::SplitCopy => &previous[previous.len() / 2..],
            _ => "",
        };
        stream.write_all(copy.as_bytes())?;
        match stray {
            Stray::CopyAfterRequest => stream.write_all(own.as_bytes())?,
            Stray::Slow => {
                thread::sleep(STRAY_TIME);
                stream.write_all(own.as_bytes())?;
            }
            Stray::CopyWithAnswer => stream.write_all(own.repeat(2).as_bytes())?,
            Stray::SplitCopy => {
                stream.write_all(format!("{own}{}", &own[..own.len() / 2]).as_bytes())?;
            }
            Stray::CopyLater => {
                stream.write_all(own.as_bytes())?;
                thread::sleep(STRAY_TIME);
                stream.write_all(own.as_bytes())?;
            }
            Stray::Informational => {
                stream.write_all(b"HTTP/1.1 102 Processing\r\n\r\n")?;
                thread::sleep(STRAY_TIME);
                stream.write_all(own.as_bytes())?;
            }
        }
        previous = own;
    }
    Ok(())
}

fn serve(stray: Stray) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            // The client may close the connection before it has all the bytes.
            thread::spawn(move || serve_connection(stream, stray));
        }
    });
    address
}

async fn get(
    client: &EngineClient,
    address: SocketAddr,
    path: &str,
) -> Result<String, EngineError> {
    let request = EngineRequest {
        method: Method::GET,
        path: path.to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let answer = client.send(address, &request).await?;
    let mut body = Vec::new();
    let mut parts = std::pin::pin!(answer.body);
    while let Some(part) = parts.next().await {
        body.extend_from_slice(&part?);
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Guards against a request that is answered with the answer to an earlier one.
#[actix_rt::test]
async fn no_request_gets_the_answer_to_an_earlier_one() {
    let strays = [
        Stray::CopyAfterRequest,
        Stray::CopyWithAnswer,
        Stray::CopyLater,
        Stray::SplitCopy,
        Stray::Informational,
    ];
    for stray in strays {
        let address = serve(stray);
        let client = EngineClient::open();
        for number in 0..REQUESTS {
            let path = format!("/request/{number}");
            let answer = get(&client, address, &path).await;
            let is_informational = matches!(stray, Stray::Informational);
            let is_own = answer.as_ref().is_ok_and(|body| *body == path);
            assert!(
                is_own || is_informational && answer.is_err(),
                "{stray:?}: {path} was answered {answer:?}"
            );
        }
    }
}

/// Guards against an answer to a request whose body the client has dropped, as after a cancel, that
/// reaches the next request.
#[actix_rt::test]
async fn answer_after_a_cancel_reaches_no_other_request() {
    let address = serve(Stray::Slow);
    let client = EngineClient::open();
    for number in 0..REQUESTS {
        let path = format!("/request/{number}");
        let cancelled = get(&client, address, "/cancelled");
        // The time limit is the cancel; the answer comes after it.
        let _ = tokio::time::timeout(STRAY_TIME / 2, cancelled).await;
        let answer = get(&client, address, &path).await;
        assert!(
            answer.is_err() || answer.as_ref() == Ok(&path),
            "{answer:?}"
        );
    }
}
