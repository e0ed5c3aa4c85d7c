//! Order of admission at an entry whose only upstream is full.
//!
//! The stand-in upstream holds all requests until the test releases them, so that the order does
//! not depend on timing.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pimentotide_wire::{Template, read_message};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::deployment::{
    Deployment, WAIT_TIMEOUT, announce, fixture, send_request, wait_for_answer,
};

/// Requests that a stand-in with 8 slots gets before any has ended: half of the target of 300 ms
/// is the typical duration of a whole answer, so that each slot may have one waiting.
const FIRST: usize = 16;
/// Waiting requests of the least urgent callers.
const BULK: usize = 24;
const URGENT: usize = 6;

/// Request that reached the stand-in.
#[derive(Clone, Debug)]
struct Arrival {
    attempt: String,
    rank: String,
}

/// Stand-in upstream that answers nothing until it is released.
struct Upstream {
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    released: watch::Sender<bool>,
    _task: JoinHandle<()>,
}

impl Upstream {
    async fn spawn(deployment: &Deployment) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let (released, receiver) = watch::channel(false);
        let task = tokio::spawn(serve(listener, arrivals.clone(), receiver));
        announce(deployment.control(1), "u0", address).await;
        Self {
            arrivals,
            released,
            _task: task,
        }
    }

    fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

async fn serve(
    listener: TcpListener,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    released: watch::Receiver<bool>,
) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(answer(stream, arrivals.clone(), released.clone()));
    }
}

async fn answer(
    mut stream: TcpStream,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    mut released: watch::Receiver<bool>,
) {
    let sent = Template::open("ordered/sent.http").unwrap();
    let Some(request) = read_message(&mut stream).await else {
        return;
    };
    let attempt = request.header(&sent.header("attempt")).to_owned();
    let rank = request.header(&sent.header("rank")).to_owned();
    arrivals.lock().unwrap().push(Arrival {
        attempt: attempt.clone(),
        rank,
    });
    released.wait_for(|released| *released).await.unwrap();
    let values = [("attempt", &attempt[..]), ("name", "u0"), ("body", "done")];
    let text = fixture("soak/answer.http", &values);
    // The entry may have closed the connection.
    let _ = stream.write_all(text.as_bytes()).await;
}

fn declare(version: &str, bulk: &str) -> String {
    fixture(
        "ordered/declare.http",
        &[("version", version), ("bulk", bulk)],
    )
}

/// Starts a deployment with one entry and a full upstream, at which further requests wait.
async fn start(network: u8) -> (Deployment, Upstream, Vec<JoinHandle<String>>) {
    let deployment = Deployment::start(network, 1);
    wait_for_answer(deployment.control(1), &declare("7", "/b/"), "HTTP/1.1 200").await;
    let upstream = Upstream::spawn(&deployment).await;
    deployment.wait_for_upstreams(&["u0"]).await;
    // The gate of the service opens with the second request after its first probe.
    let mut calls = vec![send(deployment.entry(0), "/b/", "b0")];
    wait_until(|| upstream.arrivals().len() == 1).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    for number in 1..FIRST + BULK {
        calls.push(send(deployment.entry(0), "/b/", &format!("b{number}")));
    }
    wait_until(|| upstream.arrivals().len() == FIRST && queued(&deployment) >= BULK).await;
    (deployment, upstream, calls)
}

fn send(entry: SocketAddr, path: &str, attempt: &str) -> JoinHandle<String> {
    let values = [("path", path), ("attempt", attempt), ("body", "x")];
    let request = fixture("ordered/call.http", &values);
    tokio::spawn(async move { send_request(entry, &request).await.unwrap_or_default() })
}

/// Returns the number of requests that the entry has queued.
fn queued(deployment: &Deployment) -> usize {
    let log = deployment.entry_log(0);
    log.lines().filter(|l| l.contains("\"queued\"")).count()
}

/// Returns the number of requests that the entry has queued whose identifiers begin with `prefix`.
///
/// A request that is placed right after it was queued adds a line as well, so that the number of all
/// lines is not known beforehand.
fn queued_of(deployment: &Deployment, prefix: &str) -> usize {
    let log = deployment.entry_log(0);
    let request = format!("\"request\":\"{prefix}");
    let lines = log.lines().filter(|l| l.contains("\"queued\""));
    lines.filter(|l| l.contains(&request)).count()
}

async fn wait_until<C>(condition: C)
where
    C: Fn() -> bool,
{
    let limit = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < limit, "the expected state does not occur");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn answers(calls: Vec<JoinHandle<String>>) -> Vec<String> {
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.unwrap());
    }
    answers
}

/// Guards against urgent requests that wait behind a burst of the least urgent, and against
/// requests that are sent although their callers have left the queue.
#[tokio::test]
async fn urgent_requests_overtake_those_that_wait() {
    let (deployment, upstream, mut calls) = start(30).await;
    let gone = send(deployment.entry(0), "/u/", "gone");
    wait_until(|| queued_of(&deployment, "gone") == 1).await;
    gone.abort();
    for number in 0..URGENT {
        calls.push(send(deployment.entry(0), "/u/", &format!("u{number}")));
    }
    wait_until(|| queued_of(&deployment, "u") == URGENT).await;
    upstream.released.send_replace(true);
    for answer in answers(calls).await {
        assert!(answer.contains("200 OK"), "{answer}");
    }
    let arrivals = upstream.arrivals();
    let waited = &arrivals[FIRST..];
    let is_urgent = |a: &&Arrival| a.attempt.starts_with('u');
    // Requests admitted together travel on separate connections and may arrive in another order.
    let early = waited.iter().take(FIRST).filter(is_urgent).count();
    assert_eq!(early, URGENT, "{waited:?}");
    for arrival in &arrivals {
        let rank = if is_urgent(&arrival) { "0" } else { "1" };
        assert_eq!(arrival.rank, rank, "{arrival:?}");
    }
    assert!(!arrivals.iter().any(|a| a.attempt == "gone"));
}

/// Guards against requests that stay in the queue, and take its room, after their callers have left.
#[tokio::test]
async fn callers_that_left_make_room_in_the_queue() {
    const GONE: usize = 20;
    let (deployment, upstream, mut calls) = start(34).await;
    let gone: Vec<JoinHandle<String>> = (0..GONE)
        .map(|n| send(deployment.entry(0), "/b/", &format!("gone{n}")))
        .collect();
    wait_until(|| queued_of(&deployment, "gone") == GONE).await;
    for call in gone {
        call.abort();
    }
    // The entry learns of each end by itself; the line of each new request has the number that wait.
    let limit = Instant::now() + WAIT_TIMEOUT;
    for number in 1.. {
        calls.push(send(deployment.entry(0), "/b/", &format!("c{number}")));
        wait_until(|| queued_of(&deployment, "c") == number).await;
        if last_waiting(&deployment) == BULK + number {
            break;
        }
        assert!(Instant::now() < limit && number < GONE, "they still wait");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    upstream.released.send_replace(true);
    for answer in answers(calls).await {
        assert!(answer.contains("200 OK"), "{answer}");
    }
}

/// Returns the number of requests that waited when the latest one was queued.
fn last_waiting(deployment: &Deployment) -> usize {
    let log = deployment.entry_log(0);
    let last = log.lines().rfind(|l| l.contains("\"queued\""));
    let (_, rest) = last.unwrap().split_once("\"waiting\":").unwrap();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap()
}

/// Guards against waiting requests that are placed by an expired view, or held until their
/// deadline.
#[tokio::test]
async fn end_of_the_lease_refuses_waiting_requests() {
    let (mut deployment, upstream, calls) = start(31).await;
    deployment.controls.clear();
    let refused = wait_for_refusals(calls, "lease").await;
    assert!(refused.contains("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("confirmed the configuration"), "{refused}");
    assert_eq!(upstream.arrivals().len(), FIRST);
}

/// Guards against waiting requests that a planned stop cuts off without an answer.
#[tokio::test]
async fn stop_refuses_waiting_requests() {
    let (deployment, upstream, calls) = start(32).await;
    deployment.entries[0].terminate();
    let refused = wait_for_refusals(calls, "stop").await;
    assert!(refused.contains("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("this entry stops"), "{refused}");
    assert_eq!(upstream.arrivals().len(), FIRST);
}

/// Guards against waiting requests that are still served by a route that no longer exists.
#[tokio::test]
async fn new_configuration_refuses_waiting_requests_of_removed_routes() {
    let (deployment, upstream, calls) = start(33).await;
    let urgent = send(deployment.entry(0), "/u/", "u0");
    wait_until(|| queued(&deployment) > BULK).await;
    let declared = declare("8", "/other/");
    wait_for_answer(deployment.control(1), &declared, "HTTP/1.1 200").await;
    let refused = wait_for_refusals(calls, "configuration").await;
    assert!(refused.contains("HTTP/1.1 404"), "{refused}");
    assert_eq!(upstream.arrivals().len(), FIRST);
    upstream.released.send_replace(true);
    let answer = urgent.await.unwrap();
    assert!(answer.contains("200 OK"), "{answer}");
}

/// Waits until all requests that the stand-in does not hold are answered; returns one answer.
async fn wait_for_refusals(calls: Vec<JoinHandle<String>>, cause: &str) -> String {
    wait_until(|| calls.iter().filter(|c| c.is_finished()).count() >= BULK).await;
    let finished: Vec<JoinHandle<String>> =
        calls.into_iter().filter(JoinHandle::is_finished).collect();
    let answers = answers(finished).await;
    let first = answers[0].lines().next().unwrap_or_default().to_owned();
    assert!(
        answers.iter().all(|a| a.starts_with(&first)),
        "{cause}: {answers:?}"
    );
    answers[0].clone()
}
