//! Upstreams that name a limit on the requests that they take, in a deployment with several entries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pimentotide_wire::{Template, read_message};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::deployment::{Deployment, announce, fixture, send_request, wait_for_answer};

/// Number of entries.
const ENTRIES: u8 = 3;
/// Limit that upstreams name, requests per second.
const LIMIT: f64 = 4.0;
/// Time after the first answer that names a limit, from which it is to be kept.
const GRACE: Duration = Duration::from_secs(3);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Maximum number of requests in a window: one and a half times the limit, and five.
const MAX_REQUESTS: usize = (1.5 * LIMIT * 4.0) as usize + 5;
/// Time between two requests of the callers.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Stand-in upstream that counts its requests.
struct Upstream {
    /// Arrival of each request that came while the limit was named.
    arrivals: Arc<Mutex<Vec<Instant>>>,
    _task: JoinHandle<()>,
}

impl Upstream {
    /// Starts an upstream that names `limit`, or none, in each answer.
    async fn spawn(deployment: &Deployment, name: &'static str, limit: Option<f64>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let task = tokio::spawn(serve(listener, name, limit, arrivals.clone()));
        announce(deployment.control(1), name, address).await;
        Self {
            arrivals,
            _task: task,
        }
    }

    /// Returns the most requests that arrived in one window after the grace period.
    fn busiest_window(&self) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let late = arrivals.iter().filter(|at| **at >= arrivals[0] + GRACE);
        let late: Vec<Instant> = late.copied().collect();
        let in_window = |(n, start): (usize, &Instant)| {
            let window = late[n..].iter();
            window.take_while(|at| **at < *start + WINDOW).count()
        };
        late.iter().enumerate().map(in_window).max().unwrap_or(0)
    }
}

async fn serve(
    listener: TcpListener,
    name: &'static str,
    limit: Option<f64>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
) {
    let fixture = match limit {
        Some(_) => "limits/answer.http",
        None => "soak/answer.http",
    };
    let template = Template::open(fixture).unwrap();
    let limit = limit.unwrap_or_default().to_string();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let Some(request) = read_message(&mut stream).await else {
            continue;
        };
        arrivals.lock().unwrap().push(Instant::now());
        let attempt = request.header(&template.header("attempt"));
        let values = [
            ("attempt", attempt),
            ("name", name),
            ("limit", &limit),
            ("body", "done"),
        ];
        // The entry may have closed the connection.
        let _ = stream.write_all(template.fill(&values).as_bytes()).await;
    }
}

/// Starts a deployment without upstreams.
async fn start(network: u8) -> Deployment {
    let deployment = Deployment::start(network, ENTRIES);
    let declare = fixture("declare.http", &[("version", "7")]);
    wait_for_answer(deployment.control(1), &declare, "HTTP/1.1 200").await;
    deployment
}

fn request(number: usize) -> String {
    let attempt = format!("a{number}");
    let parts = format!("f0:40,{number:x}:200");
    let values = [
        ("path", "/a/2f"),
        ("attempt", &attempt),
        ("parts", &parts),
        ("body", "x"),
    ];
    fixture("crashes/call.http", &values)
}

/// Answer to a request, and how long it took.
struct Answered {
    text: String,
    took: Duration,
}

/// Sends requests to all entries in turn, however long each takes; returns their answers.
async fn load(deployment: &Deployment) -> Vec<Answered> {
    let start = Instant::now();
    let mut calls = Vec::new();
    for number in 1.. {
        if start.elapsed() >= LOAD_TIME {
            break;
        }
        let entry: SocketAddr = deployment.entry(number as u8 % ENTRIES);
        calls.push(tokio::spawn(async move {
            let sent = Instant::now();
            let text = send_request(entry, &request(number)).await;
            Answered {
                text: text.unwrap_or_default(),
                took: sent.elapsed(),
            }
        }));
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.unwrap());
    }
    answers
}

/// Guards against an upstream that gets more requests from all entries together than the limit
/// that it names in its answers, while another has room for the rest.
#[tokio::test]
async fn rest_beyond_the_limit_of_an_upstream_goes_to_another() {
    let deployment = start(20).await;
    let limited = Upstream::spawn(&deployment, "u0", Some(LIMIT)).await;
    let _other = Upstream::spawn(&deployment, "u1", None).await;
    deployment.wait_for_upstreams(&["u0", "u1"]).await;
    for answer in load(&deployment).await {
        assert!(answer.text.contains("200 OK"), "{}", answer.text);
    }
    let busiest = limited.busiest_window();
    assert!(busiest <= MAX_REQUESTS, "{busiest} requests in one window");
}

/// Guards against the same when all upstreams of a service name limits, and against requests that
/// wait for one of them instead of being refused at once with a time to return.
#[tokio::test]
async fn rest_beyond_the_limits_of_all_upstreams_is_refused_at_once() {
    let deployment = start(21).await;
    let upstreams = [
        Upstream::spawn(&deployment, "u0", Some(LIMIT)).await,
        Upstream::spawn(&deployment, "u1", Some(LIMIT)).await,
    ];
    deployment.wait_for_upstreams(&["u0", "u1"]).await;
    let answers = load(&deployment).await;
    for upstream in upstreams {
        let busiest = upstream.busiest_window();
        assert!(busiest <= MAX_REQUESTS, "{busiest} requests in one window");
    }
    let is_served = |a: &&Answered| a.text.contains("200 OK");
    let (served, refused): (Vec<&Answered>, Vec<&Answered>) = answers.iter().partition(is_served);
    assert!(!served.is_empty());
    for answer in refused {
        assert!(answer.text.starts_with("HTTP/1.1 429"), "{}", answer.text);
        assert!(
            answer.text.contains("limits of upstreams"),
            "{}",
            answer.text
        );
        assert!(answer.text.contains("retry-after:"), "{}", answer.text);
        assert!(answer.took < Duration::from_secs(1), "{:?}", answer.took);
    }
}
