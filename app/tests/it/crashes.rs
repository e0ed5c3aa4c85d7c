//! Requests that crash the upstreams that run them, in a deployment with several entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

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

/// Stand-in upstreams that a body beginning with `crash` ends.
struct Upstreams {
    _tasks: Vec<JoinHandle<()>>,
}

impl Upstreams {
    fn spawn(deployment: &Deployment) -> Self {
        let control = deployment.control(1);
        let tasks = (0..UPSTREAMS).map(|number| {
            tokio::spawn(async move {
                let name = format!("u{number}");
                let mut address = SocketAddr::from(([127, 0, 0, 1], 0));
                for start in 1_u64.. {
                    let listener = TcpListener::bind(address).await.unwrap();
                    address = listener.local_addr().unwrap();
                    announce_start(control, &name, address, start).await;
                    serve_until_crash(listener, &name).await;
                    tokio::time::sleep(RESTART_TIME).await;
                }
            })
        });
        let tasks = tasks.collect();
        Self { _tasks: tasks }
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
async fn serve_until_crash(listener: TcpListener, name: &str) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let Some(request) = read_message(&mut stream).await else {
            continue;
        };
        if request.body.starts_with("crash") {
            drop(listener);
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
