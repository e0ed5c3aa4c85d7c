//! Requests that crash the upstreams that run them, in a deployment with several entries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use insta::assert_snapshot;
use pimentotide_wire::{Message, Template, read_message};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::deployment::{Deployment, WAIT_TIMEOUT, fixture, send_request, wait_for_answer};

/// Part of the prompts of sound requests.
const SOUND_PART: &str = "5e";
/// Part of a prompt that crashes the upstream that runs it.
const CRASHING_PART: &str = "ba";
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
    /// Number of requests with a part that crashes upstreams.
    crashing_parts: usize,
    crashes: usize,
    /// Whether the next request that would crash an upstream waits there instead.
    hold_next: bool,
}

impl Seen {
    fn count(&self, body: &str) -> usize {
        self.bodies.iter().filter(|b| *b == body).count()
    }
}

/// Stand-in upstreams that the body `crash` and the part [`CRASHING_PART`] end.
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
            ("zone", "z1"),
            ("state", "ready"),
            ("sequence", "1"),
            ("born", &start),
        ],
    );
    wait_for_answer(control, &message, "HTTP/1.1 200").await;
}

/// Answers requests until one crashes the upstream, which ends its listener first.
async fn serve_until_crash(listener: TcpListener, name: &str, seen: &Mutex<Seen>) {
    let parts_header = Template::open("crashes/call.http").unwrap().header("parts");
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let Some(request) = read_message(&mut stream).await else {
            continue;
        };
        seen.lock().unwrap().bodies.push(request.body.clone());
        let parts = request.header(&parts_header);
        if parts.contains(CRASHING_PART) {
            seen.lock().unwrap().crashing_parts += 1;
        }
        if request.body == "crash" || parts.contains(CRASHING_PART) {
            if std::mem::take(&mut seen.lock().unwrap().hold_next) {
                tokio::spawn(async move { read_message(&mut stream).await });
                continue;
            }
            drop(listener);
            seen.lock().unwrap().crashes += 1;
            if request.first_line().starts_with("POST /s/") {
                answer(&mut stream, &request, name, "soak/events.http").await;
                // The entry may have closed the connection.
                let _ = stream.write_all(b"1a\r\nid: 1\ndata: o").await;
            }
            return;
        }
        if request.body == "cut" {
            continue;
        }
        answer(&mut stream, &request, name, "soak/answer.http").await;
    }
}

async fn answer(stream: &mut TcpStream, request: &Message, name: &str, fixture: &str) {
    let template = Template::open(fixture).unwrap();
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
        while !call(&deployment, entry, 0, "/a/2f", "sound")
            .await
            .contains("200 OK")
        {
            assert!(Instant::now() < limit, "entry {entry} does not serve");
        }
    }
    (deployment, upstreams)
}

/// Sends a request to an entry as the attempt `number` of its caller.
async fn call(deployment: &Deployment, entry: u8, number: usize, path: &str, body: &str) -> String {
    call_with_part(deployment, entry, number, path, body, SOUND_PART).await
}

/// Sends a request with this part in its prompt, between one that all share and one of its own.
async fn call_with_part(
    deployment: &Deployment,
    entry: u8,
    number: usize,
    path: &str,
    body: &str,
    part: &str,
) -> String {
    let attempt = format!("a{entry}{number}");
    let parts = format!("f0:40,{part}:300,{number:x}{entry:x}:200");
    let values = [
        ("path", path),
        ("attempt", &attempt),
        ("parts", &parts),
        ("body", body),
    ];
    let request = fixture("crashes/call.http", &values);
    let answer = send_request(deployment.entry(entry), &request).await;
    answer.unwrap_or_default()
}

/// Guards against a crash that the logs cannot tell from a cut connection.
#[tokio::test]
async fn crash_is_logged_with_its_requests_and_a_cut_connection_is_not() {
    let (deployment, _upstreams) = start(3).await;
    call(&deployment, 0, 1, "/a/2f", "cut").await;
    assert!(!deployment.entry_log(0).contains("upstream_crashed"));
    call(&deployment, 0, 2, "/a/2f", "crash").await;
    let parts = "\"parts\":[\"f0\",\"5e\"]";
    wait_for_line(&deployment, &["upstream_crashed", "\"a02\"", parts]).await;
}

/// Waits for a line with all of `parts` in the log of the first entry.
async fn wait_for_line(deployment: &Deployment, parts: &[&str]) {
    let limit = Instant::now() + WAIT_TIMEOUT;
    let matches = |line: &str| parts.iter().all(|part| line.contains(part));
    while !deployment.entry_log(0).lines().any(matches) {
        assert!(Instant::now() < limit, "no line with {parts:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a request that crashes one upstream after another, through repeats of its caller
/// at all entries and second attempts of the entries.
#[tokio::test]
async fn request_that_crashes_upstreams_is_refused_by_every_entry() {
    let refused = repeat_crashing_request(4, "/a/2f").await;
    assert_snapshot!(refused);
}

/// Guards against the same through streams that end inside their first event and are resumed.
#[tokio::test]
async fn stream_that_crashes_upstreams_is_refused_by_every_entry() {
    let refused = repeat_crashing_request(5, "/s/2f").await;
    assert!(refused.contains("crashing_request"), "{refused}");
}

/// Repeats a request that crashes upstreams, later beside sound ones; returns the last answer.
async fn repeat_crashing_request(network: u8, path: &str) -> String {
    let (deployment, upstreams) = start(network).await;
    for number in 0..6 {
        call(&deployment, number as u8 % ENTRIES, number, path, "crash").await;
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(GRACE).await;
    let early = upstreams.lock().count("crash");
    let mut last = String::new();
    for number in 6..14 {
        let entry = number as u8 % ENTRIES;
        last = call(&deployment, entry, number, path, "crash").await;
        let sound = call(&deployment, entry, number, "/a/2f", "sound").await;
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
    last
}

/// Guards against a crash by a request that waits in the queue of an upstream while its content is
/// refused everywhere.
#[tokio::test]
async fn queued_request_is_withdrawn_when_its_content_is_refused() {
    let (deployment, upstreams) = start(6).await;
    upstreams.lock().hold_next = true;
    let queued = call(&deployment, 0, 1, "/a/2f", "crash");
    let repeats = async {
        while upstreams.lock().count("crash") == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        for number in 2..4 {
            call(&deployment, 1, number, "/a/2f", "crash").await;
            tokio::time::sleep(PAUSE).await;
        }
    };
    let (answer, ()) = tokio::join!(queued, repeats);
    assert!(answer.contains("502 Bad Gateway"), "{answer}");
    assert!(answer.contains("crashing_request"), "{answer}");
    wait_for_line(&deployment, &["\"Withdrawn\"", "\"a01\""]).await;
}

/// Guards against requests, no two alike, that share a part of their prompts which crashes each
/// upstream that runs one of them, and against refusals of others with the same key and first part.
#[tokio::test]
async fn part_of_prompts_that_crashes_upstreams_is_refused_by_every_entry() {
    let (deployment, upstreams) = start(7).await;
    let crash = async |number: usize| {
        let entry = number as u8 % ENTRIES;
        let path = format!("/s/{number}");
        let body = format!("request {number}");
        let answer = call_with_part(&deployment, entry, number, &path, &body, CRASHING_PART).await;
        tokio::time::sleep(PAUSE).await;
        let sound = call(&deployment, entry, number, "/a/2f", "sound").await;
        assert!(sound.contains("200 OK"), "{sound}");
        answer
    };
    for number in 0..7 {
        crash(number).await;
    }
    tokio::time::sleep(GRACE).await;
    let early = upstreams.lock().crashing_parts;
    let mut last = String::new();
    for number in 7..15 {
        last = crash(number).await;
    }
    let (reached, crashes) = {
        let seen = upstreams.lock();
        (seen.crashing_parts, seen.crashes)
    };
    assert!(
        reached - early <= MAX_LATE_REPEATS,
        "{} requests with this part reached upstreams, {crashes} crashed",
        reached - early
    );
    assert!(last.contains("crashing_request"), "{last}");
}
