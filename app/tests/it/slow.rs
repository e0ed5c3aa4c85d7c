//! Streams at an engine that its agent reports as slow, in a deployment with one entry.
//!
//! The upstreams and the datagrams of their agents are stand-ins in the test.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pimentotide_instance::{PeerClient, PeerTimeouts, Token};
use pimentotide_wire::{Message, Template, read_message};
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinHandle;

use crate::deployment::{
    Deployment, WAIT_TIMEOUT, announce, fixture, send_request, wait_for_answer,
};

/// Stand-in upstreams; one in four may be avoided.
const NAMES: [&str; 4] = ["u0", "u1", "u2", "u3"];
/// Events of a stream.
const EVENTS: u64 = 60;
/// Time between two events.
const GAP: Duration = Duration::from_millis(50);
/// Time between two datagrams of an agent.
const INTERVAL: Duration = Duration::from_millis(200);
/// Pace of a slow engine, percent.
const SLOW: u16 = 600;
/// Pace of a normal engine, percent.
const NORMAL: u16 = 100;

/// Send of a request to an upstream.
#[derive(Clone, Debug)]
struct Seen {
    /// Attempt that the caller names.
    attempt: String,
    /// Position of the upstream in [`NAMES`].
    upstream: usize,
    /// Last event that the caller has.
    last_event: u64,
}

type Sends = Arc<Mutex<Vec<Seen>>>;

/// Datagram of an agent as a replica reads it.
#[derive(Serialize)]
#[expect(
    dead_code,
    reason = "the earlier variants fix the number of the last one"
)]
enum Datagram {
    Entry,
    Agent,
    Slow {
        calls: SocketAddr,
        engine: SocketAddr,
        pace: u16,
        order: (u64, u64),
    },
}

struct Fixture {
    deployment: Deployment,
    addresses: Vec<SocketAddr>,
    sends: Sends,
    /// Pace that the first upstream reports to its agent, percent.
    pace: Arc<AtomicU16>,
}

impl Fixture {
    async fn start(network: u8) -> Self {
        let deployment = Deployment::start(network, 1);
        let declare = fixture("slow/declare.http", &[("version", "7")]);
        wait_for_answer(deployment.control(1), &declare, "HTTP/1.1 200").await;
        let sends = Sends::default();
        let pace = Arc::new(AtomicU16::new(NORMAL));
        let mut addresses = Vec::new();
        for (upstream, name) in NAMES.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::spawn(serve(listener, upstream, sends.clone(), pace.clone()));
            announce(deployment.control(1), name, address).await;
            addresses.push(address);
        }
        deployment.wait_for_upstreams(&NAMES).await;
        Self {
            deployment,
            addresses,
            sends,
            pace,
        }
    }

    /// Sends a streaming request to the entry.
    fn call(&self, path: &str, attempt: &str) -> JoinHandle<String> {
        let request = fixture("slow/call.http", &[("path", path), ("attempt", attempt)]);
        let entry = self.deployment.entry(0);
        tokio::spawn(async move { send_request(entry, &request).await.unwrap_or_default() })
    }

    fn sends(&self, attempt: &str) -> Vec<Seen> {
        let all = self.sends.lock().unwrap();
        all.iter()
            .filter(|s| s.attempt == attempt)
            .cloned()
            .collect()
    }

    /// Waits for the first send of a request; returns its upstream.
    async fn first_upstream(&self, attempt: &str) -> usize {
        let limit = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(first) = self.sends(attempt).first() {
                return first.upstream;
            }
            assert!(Instant::now() < limit, "{attempt} is not sent");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends datagrams of the agent of an upstream to all replicas until the task is aborted.
    fn report(&self, upstream: usize, pace: u16) -> JoinHandle<()> {
        let replicas = [1, 2, 3].map(|host| self.deployment.address(host, 1));
        let engine = self.addresses[upstream];
        tokio::spawn(async move {
            let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            for sequence in 1.. {
                let datagram = Datagram::Slow {
                    calls: SocketAddr::from(([127, 0, 0, 1], 9_000 + upstream as u16)),
                    engine,
                    pace,
                    order: (since.as_millis() as u64, sequence),
                };
                let bytes = postcard::to_stdvec(&datagram).unwrap();
                for replica in replicas {
                    socket.send_to(&bytes, replica).await.unwrap();
                }
                tokio::time::sleep(INTERVAL).await;
            }
        })
    }

    /// Waits for a line of an event about an upstream with a text.
    async fn wait_for_line(&self, event: &str, upstream: usize, text: &str) {
        let limit = Instant::now() + WAIT_TIMEOUT;
        let name = format!("\"{}\"", NAMES[upstream]);
        let event = format!("\"event\":\"{event}\"");
        loop {
            let log = self.deployment.entry_log(0);
            let is_it = |l: &&str| l.contains(&event) && l.contains(&name) && l.contains(text);
            if log.lines().any(|l| is_it(&l)) {
                return;
            }
            assert!(Instant::now() < limit, "no {event} {name} {text}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn serve(listener: TcpListener, upstream: usize, sends: Sends, pace: Arc<AtomicU16>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(answer(stream, upstream, sends.clone(), pace.clone()));
    }
}

/// Streams the events after the last one that the request names.
///
/// By the name of the attempt, the first send gets no head, or a head without events, or the events
/// have no ids.
async fn answer(mut stream: TcpStream, upstream: usize, sends: Sends, pace: Arc<AtomicU16>) {
    let template = Template::open("soak/events.http").unwrap();
    let Some(request): Option<Message> = read_message(&mut stream).await else {
        return;
    };
    if request.first_line().contains("report") {
        let pace = f64::from(pace.load(Ordering::Relaxed)) / 100.0;
        let report = fixture("slow/report.http", &[("pace", &pace.to_string())]);
        // The agent may have closed the connection.
        let _ = stream.write_all(report.as_bytes()).await;
        return;
    }
    let attempt = request.header(&template.header("attempt")).to_owned();
    let last_event = request.header("last-event-id").parse().unwrap_or(0);
    let first = {
        let mut sends = sends.lock().unwrap();
        let first = !sends.iter().any(|s| s.attempt == attempt);
        sends.push(Seen {
            attempt: attempt.clone(),
            upstream,
            last_event,
        });
        first
    };
    if first && attempt.starts_with("no_head") {
        tokio::time::sleep(WAIT_TIMEOUT).await;
    }
    let head = template.fill(&[("attempt", &attempt), ("name", NAMES[upstream])]);
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    if first && attempt.starts_with("no_event") {
        tokio::time::sleep(WAIT_TIMEOUT).await;
    }
    for id in last_event + 1..=EVENTS {
        let event = if attempt.starts_with("no_id") {
            format!("data: d{id}\n\n")
        } else {
            format!("id: {id}\ndata: d{id}\n\n")
        };
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(GAP).await;
    }
    // The entry may have closed the connection.
    let _ = stream.write_all(b"0\r\n\r\n").await;
}

/// Checks that a caller has received each event once, in order, in one complete answer.
fn assert_whole(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let ids = answer.lines().filter_map(|l| l.strip_prefix("id: "));
    let ids: Vec<u64> = ids.map(|id| id.trim().parse().unwrap()).collect();
    assert_eq!(ids, (1..=EVENTS).collect::<Vec<_>>(), "{answer}");
    assert!(answer.trim_end().ends_with("\n0"), "{answer}");
}

/// Guards against a running stream that holds back the group of a slow rank, against one that the
/// caller sees twice or in part after the move, and against one that moves as often as ranks are slow.
#[tokio::test]
async fn running_stream_leaves_a_slow_upstream_once_and_stays_whole() {
    let fixture = Fixture::start(30).await;
    let call = fixture.call("run", "run");
    let first = fixture.first_upstream("run").await;
    tokio::time::sleep(GAP * 4).await;
    let slow = fixture.report(first, SLOW);
    fixture
        .wait_for_line("interrupted", first, "\"ended\":\"Relieved\"")
        .await;
    slow.abort();
    let ended = fixture.report(first, NORMAL);
    fixture
        .wait_for_line("upstream_slow", first, "\"pace\":1.0")
        .await;
    let second = fixture.sends("run").last().unwrap().upstream;
    assert_ne!(second, first);
    let slow = fixture.report(second, SLOW);
    fixture
        .wait_for_line("stream_kept", second, "no attempts left")
        .await;
    assert_whole(&call.await.unwrap());
    let sends = fixture.sends("run");
    assert_eq!(sends.len(), 2, "{sends:?}");
    assert!(sends[1].last_event >= 1, "{sends:?}");
    slow.abort();
    ended.abort();
}

/// Checks that a stream leaves the upstream at which it waits once that is slow.
async fn check_waiting(network: u8, attempt: &str) {
    let fixture = Fixture::start(network).await;
    let call = fixture.call("wait", attempt);
    let first = fixture.first_upstream(attempt).await;
    let slow = fixture.report(first, SLOW);
    assert_whole(&call.await.unwrap());
    slow.abort();
    let sends = fixture.sends(attempt);
    assert_eq!(sends.len(), 2, "{sends:?}");
    assert_ne!(sends[1].upstream, first);
    let line = "\"ended\":\"Relieved\"";
    fixture.deployment.wait_for_log(0, line).await;
}

/// Guards against a stream that waits for the response of a slow rank until its deadline.
#[tokio::test]
async fn stream_that_waits_for_its_response_leaves_a_slow_upstream() {
    check_waiting(31, "no_head").await;
}

/// Guards against a stream that waits for the first event of a slow rank until its deadline.
#[tokio::test]
async fn stream_that_waits_for_its_first_event_leaves_a_slow_upstream() {
    check_waiting(33, "no_event").await;
}

/// Guards against a stream that begins again for its caller, because its events have no ids.
#[tokio::test]
async fn stream_without_event_ids_stays_at_a_slow_upstream() {
    let fixture = Fixture::start(35).await;
    let call = fixture.call("run", "no_id");
    let first = fixture.first_upstream("no_id").await;
    tokio::time::sleep(GAP * 4).await;
    let slow = fixture.report(first, SLOW);
    let answer = call.await.unwrap();
    slow.abort();
    let data = answer.lines().filter(|l| l.starts_with("data: "));
    assert_eq!(data.count() as u64, EVENTS, "{answer}");
    fixture.deployment.wait_for_log(0, "\"avoided\":true").await;
    assert_eq!(fixture.sends("no_id").len(), 1);
}

/// Polls a replica as an entry of the previous version does; returns its answer.
async fn poll(replica: SocketAddr) -> serde_json::Value {
    let timeouts = PeerTimeouts {
        connect: WAIT_TIMEOUT,
        call: WAIT_TIMEOUT,
        retry_delay: INTERVAL,
        idle: WAIT_TIMEOUT,
    };
    let token = Token::open("token-of-this-test").unwrap();
    let client = PeerClient::with_timeouts(replica, token, timeouts);
    let seen = serde_json::json!({"declared": 0, "revision": 0});
    client.call("fleet_follow", [seen]).await.unwrap()
}

/// Guards against other messages in a deployment without a slow engine.
#[tokio::test]
async fn list_of_slow_engines_is_sent_only_while_there_are_any() {
    let fixture = Fixture::start(36).await;
    let replica = fixture.deployment.address(1, 0);
    assert_eq!(poll(replica).await.get("slow"), None);
    let slow = fixture.report(0, SLOW);
    fixture
        .wait_for_line("upstream_slow", 0, "\"avoided\":true")
        .await;
    let engine = fixture.addresses[0].to_string();
    let expected = serde_json::json!([{"engine": engine, "pace": SLOW}]);
    assert_eq!(poll(replica).await.get("slow"), Some(&expected));
    slow.abort();
    let ended = fixture.report(0, NORMAL);
    fixture
        .wait_for_line("upstream_slow", 0, "\"pace\":1.0")
        .await;
    assert_eq!(poll(replica).await.get("slow"), None);
    ended.abort();
}

/// Guards against streams that are moved although their agent is silent, and
/// against a rank that is avoided forever because its agent crashed while it was slow.
#[tokio::test]
async fn nothing_is_moved_from_an_upstream_whose_agent_is_silent() {
    let fixture = Fixture::start(32).await;
    let slow = fixture.report(0, SLOW);
    fixture
        .wait_for_line("upstream_slow", 0, "\"avoided\":true")
        .await;
    slow.abort();
    fixture
        .wait_for_line("upstream_slow", 0, "\"pace\":1.0")
        .await;
    let attempts: Vec<String> = (0..16).map(|n| format!("run{n}")).collect();
    let calls: Vec<_> = attempts.iter().map(|a| fixture.call("run", a)).collect();
    for call in calls {
        assert_whole(&call.await.unwrap());
    }
    let sends: Vec<Seen> = attempts.iter().flat_map(|a| fixture.sends(a)).collect();
    assert_eq!(sends.len(), attempts.len(), "{sends:?}");
    assert!(sends.iter().any(|s| s.upstream == 0), "{sends:?}");
    let log = fixture.deployment.entry_log(0);
    assert!(!log.contains("Relieved"), "{log}");
}

/// Guards against an agent that does not announce the pace of its engine, and against a frozen one
/// whose last announcement holds: its engine counts as normal, and a stream there stays.
#[tokio::test]
async fn rank_of_a_frozen_agent_counts_as_normal_until_the_agent_reports_again() {
    let fixture = Fixture::start(34).await;
    let agent = fixture.deployment.spawn_agent(9, fixture.addresses[0]);
    fixture.pace.store(SLOW, Ordering::Relaxed);
    fixture
        .wait_for_line("upstream_slow", 0, "\"avoided\":true")
        .await;
    agent.pause();
    fixture
        .wait_for_line("upstream_slow", 0, "\"pace\":1.0")
        .await;
    let attempts: Vec<String> = (0..16).map(|n| format!("run{n}")).collect();
    let calls: Vec<_> = attempts.iter().map(|a| fixture.call("run", a)).collect();
    for call in calls {
        assert_whole(&call.await.unwrap());
    }
    let sends: Vec<Seen> = attempts.iter().flat_map(|a| fixture.sends(a)).collect();
    assert_eq!(sends.len(), attempts.len(), "{sends:?}");
    assert!(sends.iter().any(|s| s.upstream == 0), "{sends:?}");
    // The engine has recovered meanwhile; the agent must not report what it read before.
    fixture.pace.store(150, Ordering::Relaxed);
    agent.resume();
    fixture
        .wait_for_line("upstream_slow", 0, "\"pace\":1.5")
        .await;
    let log = fixture.deployment.entry_log(0);
    assert_eq!(log.matches("\"pace\":6.0").count(), 1, "{log}");
    assert!(!log.contains("Relieved"), "{log}");
}
