//! Late copies of answers on connections that are reused, over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use jsonrpsee::RpcModule;
use pimentotide_instance::work::{EXCHANGE_HEADER, Frame, WorkClient, WorkError, WorkOrder};
use pimentotide_instance::{PeerClient, PeerServer, Token};
use pimentotide_model::{
    Fingerprint, Incarnation, InstanceName, LoadReport, Priority, RequestId, Revision, ServiceName,
    WorkspaceName,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SECRET: &str = "secret-of-the-test";
/// Number of requests sent one after the other.
const REQUESTS: u64 = 6;
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Prefix of the path of each request; a digit follows.
const PATH: &str = "/request/";

/// What an agent sends beside its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stray {
    /// The previous answer once more, before the next one.
    Copy,
    /// An informational answer, and its answer before the next one.
    Informational,
}

/// Reads a request; returns the path of its order and its exchange header, or `None` at the end.
fn read_order(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        // The path is followed by its digit and by the rest of the order.
        let path = text
            .find(PATH)
            .and_then(|at| text.get(at..at + PATH.len() + 1));
        if let Some(path) = path {
            let lines = text.lines().filter_map(|line| line.split_once(": "));
            let mut named = lines.filter(|(name, _)| *name == EXCHANGE_HEADER);
            let exchange = named.next().map_or("", |(_, value)| value);
            return Some((path.to_owned(), exchange.to_owned()));
        }
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

fn answer(path: &str, exchange: &str) -> Vec<u8> {
    let report = LoadReport::default();
    let frames = [
        Frame::Head {
            status: 200,
            headers: Vec::new(),
            report,
        },
        Frame::Piece {
            position: 0,
            data: Bytes::from(path.to_owned()),
        },
        Frame::End { pieces: 1, report },
    ];
    let body = frames.map(|f| f.encode().unwrap()).concat();
    let head = format!(
        "HTTP/1.1 200 OK\r\n{EXCHANGE_HEADER}: {exchange}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), &body].concat()
}

fn serve_connection(mut stream: TcpStream, stray: Stray) -> std::io::Result<()> {
    let mut previous: Option<Vec<u8>> = None;
    while let Some((path, exchange)) = read_order(&mut stream) {
        let own = answer(&path, &exchange);
        match (&previous, stray) {
            (Some(previous), Stray::Copy) => {
                stream.write_all(previous)?;
                stream.write_all(&own)?;
            }
            (Some(previous), Stray::Informational) => stream.write_all(previous)?,
            (None, Stray::Copy) => stream.write_all(&own)?,
            (None, Stray::Informational) => {
                stream.write_all(b"HTTP/1.1 102 Processing\r\n\r\n")?;
            }
        }
        previous = Some(own);
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

fn order(number: u64) -> WorkOrder {
    WorkOrder {
        id: RequestId(number.into()),
        entry: InstanceName::from("i1"),
        incarnation: Incarnation::default(),
        revision: Revision::default(),
        workspace: WorkspaceName::from("w"),
        service: ServiceName::from("s"),
        priority: Priority::default(),
        remaining: Duration::from_secs(1),
        idempotent: true,
        key: None,
        claim: None,
        fingerprint: Fingerprint::default(),
        credit: None,
        attempt: 1,
        resume: 0,
        method: "GET".to_owned(),
        path: format!("{PATH}{number}"),
        headers: Vec::new(),
        body: Vec::new(),
    }
}

async fn send(client: &WorkClient, agent: SocketAddr, number: u64) -> Result<Bytes, WorkError> {
    let mut frames = client.send(agent, &order(number)).await?;
    let mut body = Bytes::new();
    loop {
        match frames.next_frame().await? {
            Frame::Piece { data, .. } => body = data,
            Frame::End { .. } => return Ok(body),
            _ => {}
        }
    }
}

/// Guards against work that is answered with the answer to earlier work, or reported as not run
/// while the answer is still to come.
#[actix_rt::test]
async fn no_work_gets_the_answer_to_earlier_work() {
    for stray in [Stray::Copy, Stray::Informational] {
        let agent = serve(stray);
        let client = WorkClient::open(Token::open(SECRET).unwrap());
        let mut answered = 0;
        for number in 0..REQUESTS {
            match send(&client, agent, number).await {
                Ok(body) => {
                    assert_eq!(body, format!("{PATH}{number}"), "{stray:?}");
                    answered += 1;
                }
                Err(e) => assert!(!e.is_not_forwarded(), "{stray:?}: {e}"),
            }
        }
        assert!(stray == Stray::Informational || answered > 0);
    }
}

/// Passes the bytes of one connection on and sends each message of the server twice.
async fn double_messages(
    mut client: tokio::net::TcpStream,
    server: SocketAddr,
) -> std::io::Result<()> {
    let server = tokio::net::TcpStream::connect(server).await?;
    let (mut from_client, mut to_client) = client.split();
    let (mut from_server, mut to_server) = server.into_split();
    let upward = tokio::io::copy(&mut from_client, &mut to_server);
    let downward = async {
        let mut head = Vec::new();
        while !head.ends_with(HEAD_END) {
            head.push(from_server.read_u8().await?);
        }
        to_client.write_all(&head).await?;
        loop {
            // Messages of a server are not masked, and those of this test are short.
            let mut message = vec![0; 2];
            from_server.read_exact(&mut message).await?;
            let length = match message[1] {
                126 => {
                    let length = from_server.read_u16().await?;
                    message.extend_from_slice(&length.to_be_bytes());
                    usize::from(length)
                }
                length => usize::from(length),
            };
            let start = message.len();
            message.resize(start + length, 0);
            from_server.read_exact(&mut message[start..]).await?;
            to_client.write_all(&message.repeat(2)).await?;
        }
    };
    tokio::select! {
        copied = upward => copied.map(drop),
        ended = downward => ended,
    }
}

/// Guards against a call between processes that is answered with a late copy of the answer to an
/// earlier call.
#[actix_rt::test]
async fn doubled_answers_of_a_peer_reach_only_their_own_calls() {
    let mut module = RpcModule::new(());
    module
        .register_method("echo", |params, (), _| params.one::<String>())
        .unwrap();
    let any_port = "127.0.0.1:0".parse().unwrap();
    let token = Token::open(SECRET).unwrap();
    let server = PeerServer::bind(any_port, token.clone(), [module])
        .await
        .unwrap();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = server.address();
    actix_rt::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            actix_rt::spawn(double_messages(client, target));
        }
    });
    let client = PeerClient::connect(address, token);
    let mut answered = 0;
    for number in 0..REQUESTS {
        let text = format!("call {number}");
        if let Ok(answer) = client.call::<_, String>("echo", [text.clone()]).await {
            assert_eq!(answer, text);
            answered += 1;
        }
    }
    assert!(answered > 0);
    server.stop().await;
}
