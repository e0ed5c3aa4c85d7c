//! Streams that stall while bytes still arrive, slow ones, and callers that do not read.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use pimentotide_wire::{Template, read_message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::deployment::{
    Deployment, WAIT_TIMEOUT, announce, edit_body, fixture, send_request, wait_for_answer,
};

/// Time between two parts of a stream that stalls; far below the time after which it is stalled.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two events of a slow stream; half of the time after which it is stalled.
const SLOW_INTERVAL: Duration = Duration::from_millis(800);
/// Number of callers that do not read.
const READERS: usize = 1_000;
/// Receive buffer of a caller that does not read, bytes.
const READER_BUFFER_BYTES: u32 = 4 << 10;
/// Size of one event to a caller that does not read.
const EVENT_BYTES: usize = 8 << 10;
/// Number of those events in a stream; more than the kernel buffers.
const EVENTS: usize = 512;
/// Maximum memory of an entry with all these callers, kB.
const MAX_MEMORY_KB: u64 = 64 << 10;

/// How an upstream goes on after the first event of a stream.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// Sends this again and again.
    Drip(&'static str),
    /// Sends two more events, slowly.
    Slow,
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn answer(mut stream: TcpStream, name: &str, manner: Manner) {
    let template = Template::open("soak/events.http").unwrap();
    let Some(request) = read_message(&mut stream).await else {
        return;
    };
    let attempt = request.header(&template.header("attempt"));
    let head = template.fill(&[("attempt", attempt), ("name", name)]);
    let rest = chunk("id: 2\ndata: two\n\nid: 3\ndata: end\n\n") + "0\r\n\r\n";
    if !request.header("last-event-id").is_empty() {
        let _ = stream.write_all((head + &rest).as_bytes()).await;
        return;
    }
    let first = head + &chunk("id: 1\ndata: one\n\n");
    let mut sent = stream.write_all(first.as_bytes()).await;
    match manner {
        Manner::Drip(part) => {
            while sent.is_ok() {
                tokio::time::sleep(DRIP_INTERVAL).await;
                sent = stream.write_all(chunk(part).as_bytes()).await;
            }
        }
        Manner::Slow => {
            for event in ["id: 2\ndata: two\n\n", "id: 3\ndata: end\n\n"] {
                tokio::time::sleep(SLOW_INTERVAL).await;
                let _ = stream.write_all(chunk(event).as_bytes()).await;
            }
            let _ = stream.write_all(b"0\r\n\r\n").await;
        }
    }
}

async fn spawn_upstream(deployment: &Deployment, name: &'static str, manner: Manner) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(answer(stream, name, manner));
        }
    });
    announce(deployment.control(1), name, address).await;
}

/// Starts a deployment with two upstreams of this manner.
async fn start(network: u8, manner: Manner) -> Deployment {
    let deployment = Deployment::start(network, 1);
    let declare = fixture("declare.http", &[("version", "7")]);
    wait_for_answer(deployment.control(1), &declare, "HTTP/1.1 200").await;
    for name in ["u1", "u2"] {
        spawn_upstream(&deployment, name, manner).await;
    }
    deployment.wait_for_upstreams(&["u1", "u2"]).await;
    deployment
}

/// Guards against a stalled stream that never ends because bytes, comments or events that the caller
/// has already still arrive.
#[tokio::test]
async fn stream_without_new_events_resumes_at_another_upstream() {
    let parts = ["x", ": ping\n\n", "\n", "id: 1\ndata: one\n\n"];
    for (network, part) in (30..).zip(parts) {
        let deployment = start(network, Manner::Drip(part)).await;
        let stream = send_request(deployment.entry(0), &fixture("stream.http", &[])).await;
        let stream = stream.unwrap_or_default();
        assert!(stream.contains("data: end"), "{part:?}: {stream}");
        deployment.wait_for_log(0, "\"Silent\"").await;
    }
}

/// Guards against a healthy stream that is cut off because its events are far apart.
#[tokio::test]
async fn slow_stream_is_not_cut() {
    let deployment = start(34, Manner::Slow).await;
    let stream = send_request(deployment.entry(0), &fixture("stream.http", &[])).await;
    let stream = stream.unwrap_or_default();
    assert!(stream.contains("data: end"), "{stream}");
    let log = deployment.entry_log(0);
    assert!(!log.contains("\"interrupted\""), "{log}");
}

/// Counts of an upstream whose streams are not read.
#[derive(Default)]
struct Unread {
    begun: AtomicUsize,
    running: AtomicUsize,
}

async fn flood(mut stream: TcpStream, counts: Arc<Unread>) {
    let template = Template::open("soak/events.http").unwrap();
    let Some(request) = read_message(&mut stream).await else {
        return;
    };
    counts.begun.fetch_add(1, Ordering::SeqCst);
    counts.running.fetch_add(1, Ordering::SeqCst);
    let attempt = request.header(&template.header("attempt"));
    let head = template.fill(&[("attempt", attempt), ("name", "u1")]);
    let mut sent = stream.write_all(head.as_bytes()).await;
    let event = chunk(&format!("data: {}\n\n", "x".repeat(EVENT_BYTES)));
    for _ in 0..EVENTS {
        if sent.is_ok() {
            sent = stream.write_all(event.as_bytes()).await;
        }
    }
    // The end of a stream that is read no further shows as the end of its connection.
    let mut byte = [0];
    let _ = stream.read(&mut byte).await;
    counts.running.fetch_sub(1, Ordering::SeqCst);
}

/// Lets [`READERS`] callers read none of their streams until these have ended at the deadlines of
/// their requests; returns the memory of the entry before them, and its peak, kB.
async fn leave_streams_unread(network: u8) -> (u64, u64) {
    let deployment = Deployment::start(network, 1);
    let declare = fixture("declare.http", &[("version", "7")]);
    let declare = edit_body(
        &declare,
        "\"maxConnections\":100",
        "\"maxConnections\":2000",
    );
    wait_for_answer(deployment.control(1), &declare, "HTTP/1.1 200").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counts: Arc<Unread> = Arc::default();
    let counted = counts.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(flood(stream, counted.clone()));
        }
    });
    let address = address.to_string();
    let values = [("name", "u1"), ("address", &address[..]), ("sequence", "1")];
    let announced = edit_body(
        &fixture("announce.http", &values),
        "\"slots\":8",
        &format!("\"slots\":{READERS}"),
    );
    wait_for_answer(deployment.control(1), &announced, "HTTP/1.1 200").await;
    deployment.wait_for_upstreams(&["u1"]).await;
    let before = deployment.entries[0].peak_memory_kb().unwrap();
    let request = fixture("stream.http", &[]);
    let mut callers = Vec::new();
    for _ in 0..READERS {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(READER_BUFFER_BYTES).unwrap();
        let mut stream = socket.connect(deployment.entry(0)).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        callers.push(stream);
    }
    let limit = Instant::now() + WAIT_TIMEOUT;
    while counts.begun.load(Ordering::SeqCst) < READERS {
        let begun = counts.begun.load(Ordering::SeqCst);
        assert!(Instant::now() < limit, "{begun} streams have begun");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    while counts.running.load(Ordering::SeqCst) > 0 {
        let running = counts.running.load(Ordering::SeqCst);
        assert!(Instant::now() < limit, "{running} streams still run");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let peak = deployment.entries[0].peak_memory_kb().unwrap();
    drop(callers);
    (before, peak)
}

/// Guards against callers that do not read and so keep their places at an upstream after the
/// deadlines of their requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_do_not_read_leave_the_upstream_at_their_deadline() {
    leave_streams_unread(35).await;
}

/// Guards against callers that do not read and so fill the memory of an entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_do_not_read_take_bounded_memory() {
    let (before, peak) = leave_streams_unread(38).await;
    assert!(
        peak <= MAX_MEMORY_KB,
        "{peak} kB, of which {before} kB before the callers"
    );
}

/// Guards against a planned stop that cuts off a request whose head has arrived and whose body has not.
#[tokio::test]
async fn planned_stop_answers_a_request_that_is_partly_read() {
    let mut deployment = start(36, Manner::Slow).await;
    let entry = deployment.entry(0);
    let call = fixture("call.http", &[("key", "k1")]);
    let (start, rest) = call.split_at(call.len() - 2);
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream.write_all(start.as_bytes()).await.unwrap();
    tokio::time::sleep(DRIP_INTERVAL).await;
    deployment.entries[0].terminate();
    // An entry without requests ends 2 s after the signal, and one with requests after 3.5 s.
    tokio::time::sleep(Duration::from_millis(2_400)).await;
    assert!(!deployment.entries[0].has_exited());
    stream.write_all(rest.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}");
}
