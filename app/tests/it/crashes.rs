//! Requests that crash the upstreams that run them, in a deployment with several entries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use insta::assert_snapshot;
use pimentotide_wire::{Template, read_message};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::deployment::{Deployment, WAIT_TIMEOUT, fixture, send_request, wait_for_answer};

/// Number of stand-in upstreams.
const UPSTREAMS: usize = 3;
/// Number of entries.
const ENTRIES: u8 = 2;
/// Time after which a crashed stand-in is back.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Time between repeats of a caller, in which a crashed stand-in is back.
const PAUSE: Duration = Duration::from_millis(500);
/// Time after the third crash from which repeats are limited.
const GRACE: Duration = Duration::from_secs(3);
/// Maximum number of repeats that reach upstreams after that time.
const MAX_LATE_REPEATS: usize = 3;

/// What the stand-in upstreams have received.
#[derive(Default)]
struct Seen {
    /// Bodies of the requests, in order.
    bodies: Vec<String>,
    crashes: usize,
}

impl Seen {
    fn count(&self, body: &str) -> usize {
        self.bodies.iter().filter(|b| *b == body).count()
    }
}

/// Stand-in upstreams that a body beginning with `crash` ends.
struct Upstreams {
    seen: Arc<Mutex<Seen>>,
    _tasks: Vec<JoinHandle<()>>,
}

impl Upstreams {
    fn spawn(deployment: &Deployment) -> Self {
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let control = deployment.control(1);
        let tasks = (0..UPSTREAMS).map(|number| {
            let seen = seen.clone();
            tokio::spawn(async move {
                let name = format!("u{number}");
                let mut address = SocketAddr::from(([127, 0, 0, 1], 0));
                for start in 1_u64.. {
                    let listener = TcpListener::bind(address).await.unwrap();
                    address = listener.local_addr().unwrap();
                    announce_start(control, &name, address, start).await;
                    serve_until_crash(listener, &name, &seen).await;
                    tokio::time::sleep(RESTART_TIME).await;
                }
            })
        });
        let tasks = tasks.collect();
        Self {
            seen,
            _tasks: tasks,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Seen> {
        self.seen.lock().unwrap()
    }
}

/// Announces the start of an upstream.
async fn announce_start(control: SocketAddr, name: &str, address: SocketAddr, start: u64) {
    let (address, start) = (address.to_string(), start.to_string());
    let message = fixture(
        "soak/announce.http",
        &[
            ("name", name),
            ("address", &address),
            ("state", "ready"),
            ("sequence", "1"),
            ("born", &start),
        ],
    );
    wait_for_answer(control, &message, "HTTP/1.1 200").await;
}

/// Answers requests until one crashes the upstream, which ends its listener first.
async fn serve_until_crash(listener: TcpListener, name: &str, seen: &Mutex<Seen>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let Some(request) = read_message(&mut stream).await else {
            continue;
        };
        seen.lock().unwrap().bodies.push(request.body.clone());
        if request.body.starts_with("crash") {
            drop(listener);
            seen.lock().unwrap().crashes += 1;
            return;
        }
        if request.body == "cut" {
            continue;
        }
        answer(&mut stream, &request, name).await;
    }
}

async fn answer(stream: &mut TcpStream, request: &pimentotide_wire::Message, name: &str) {
    let template = Template::open("soak/answer.http").unwrap();
    let attempt = request.header(&template.header("attempt"));
    let values = [("attempt", attempt), ("name", name), ("body", "done")];
    // The entry may have closed the connection.
    let _ = stream.write_all(template.fill(&values).as_bytes()).await;
}

/// Starts a deployment with stand-in upstreams that serves requests at each entry.
async fn start(network: u8) -> (Deployment, Upstreams) {
    let deployment = Deployment::start(network, ENTRIES);
    let declare = fixture("declare.http", &[("version", "7")]);
    wait_for_answer(deployment.control(1), &declare, "HTTP/1.1 200").await;
    let upstreams = Upstreams::spawn(&deployment);
    for entry in 0..ENTRIES {
        let limit = Instant::now() + WAIT_TIMEOUT;
        while !call(&deployment, entry, 0, "sound")
            .await
            .contains("200 OK")
        {
            assert!(Instant::now() < limit, "entry {entry} does not serve");
        }
    }
    (deployment, upstreams)
}

/// Sends a request to an entry as the attempt `number` of its caller.
async fn call(deployment: &Deployment, entry: u8, number: usize, body: &str) -> String {
    let attempt = format!("a{entry}{number}");
    let values = [("path", "/a/2f"), ("attempt", &attempt), ("body", body)];
    let request = fixture("crashes/call.http", &values);
    let answer = send_request(deployment.entry(entry), &request).await;
    answer.unwrap_or_default()
}

/// Guards against a crash that the logs cannot tell from a cut connection.
#[tokio::test]
async fn crash_is_logged_with_its_requests_and_a_cut_connection_is_not() {
    let (deployment, _upstreams) = start(3).await;
    call(&deployment, 0, 1, "cut").await;
    assert!(!deployment.entry_log(0).contains("upstream_crashed"));
    call(&deployment, 0, 2, "crash").await;
    let limit = Instant::now() + WAIT_TIMEOUT;
    let is_crash = |line: &&str| line.contains("upstream_crashed") && line.contains("\"a02\"");
    while deployment.entry_log(0).lines().find(is_crash).is_none() {
        assert!(Instant::now() < limit, "no line on the crash");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a request that crashes one upstream after another, through repeats of its caller
/// at all entries and second attempts of the entries.
#[tokio::test]
async fn request_that_crashes_upstreams_is_refused_by_every_entry() {
    let (deployment, upstreams) = start(4).await;
    let mut answers = Vec::new();
    for number in 0..6 {
        answers.push(call(&deployment, number as u8 % ENTRIES, number, "crash").await);
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(GRACE).await;
    let early = upstreams.lock().count("crash");
    for number in 6..14 {
        let entry = number as u8 % ENTRIES;
        answers.push(call(&deployment, entry, number, "crash").await);
        let sound = call(&deployment, entry, number, "sound").await;
        assert!(sound.contains("200 OK"), "{sound}");
        tokio::time::sleep(PAUSE).await;
    }
    let (reached, crashes) = {
        let seen = upstreams.lock();
        (seen.count("crash"), seen.crashes)
    };
    assert!(
        reached - early <= MAX_LATE_REPEATS,
        "{} repeats reached upstreams, {crashes} crashed",
        reached - early
    );
    assert_snapshot!(answers.last().unwrap());
}
