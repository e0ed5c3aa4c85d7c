//! Instances that are suspended as a whole, with monotonic clocks that do not count the pause.
//!
//! A pause by a signal is counted by all clocks; see `tests/suspend/clock.rs`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pimentotide_process::Process;
use pimentotide_wire::{Template, read_message};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::deployment::{
    Deployment, ENTRY, WAIT_TIMEOUT, announce, fixture, send_request, wait_for_answer,
};

/// Time in which a key that was taken away stops working at every entry.
const REVOKE_TIME: Duration = Duration::from_secs(5);
/// Time in which an answer of a replica from before the suspension has arrived.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time in which two replicas elect a leader without the third.
const ELECTION_TIME: Duration = Duration::from_secs(5);
/// Number of requests that wait for the suspended entry.
const REQUESTS: usize = 8;

/// Monotonic clocks of the processes of a test, by host.
struct Clocks {
    library: PathBuf,
    folder: tempfile::TempDir,
}

impl Clocks {
    /// Compiles the library, and sets the clocks of these hosts.
    fn build(hosts: std::ops::RangeInclusive<u8>) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let library = folder.path().join("libclock.so");
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/suspend/clock.rs");
        let built = Command::new(std::env::var_os("RUSTC").unwrap_or_else(|| "rustc".into()))
            .args(["--edition=2024", "--crate-type=cdylib", "-O", "-o"])
            .arg(&library)
            .arg(source)
            .status()
            .unwrap();
        assert!(built.success());
        let clocks = Self { library, folder };
        for host in hosts {
            std::fs::write(clocks.paused(host), 0_u64.to_ne_bytes()).unwrap();
        }
        clocks
    }

    /// File with the length of all pauses of a host.
    fn paused(&self, host: u8) -> PathBuf {
        self.folder.path().join(format!("paused{host}"))
    }

    /// Lets the clock of a paused process fall behind by `time`.
    fn stand_still(&self, host: u8, time: Duration) {
        use std::os::unix::fs::FileExt;
        let file = std::fs::File::options().write(true).open(self.paused(host));
        let millis = time.as_millis() as u64;
        // The file keeps its inode, which the process has mapped.
        file.unwrap()
            .write_all_at(&millis.to_ne_bytes(), 0)
            .unwrap();
    }
}

/// Starts a stand-in upstream that records the bodies of the requests that it runs.
async fn spawn_upstream(deployment: &Deployment) -> Arc<Mutex<Vec<String>>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let bodies: Arc<Mutex<Vec<String>>> = Arc::default();
    let recorded = bodies.clone();
    tokio::spawn(async move {
        let template = Template::open("soak/answer.http").unwrap();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let Some(request) = read_message(&mut stream).await else {
                continue;
            };
            recorded.lock().unwrap().push(request.body.clone());
            let attempt = request.header(&template.header("attempt"));
            let values = [("attempt", attempt), ("name", "u1"), ("body", "done")];
            // The entry may have closed the connection.
            let _ = stream.write_all(template.fill(&values).as_bytes()).await;
        }
    });
    announce(deployment.control(1), "u1", address).await;
    bodies
}

fn call(number: usize, key: &str, body: &str) -> String {
    let attempt = format!("a{number}");
    let values = [
        ("path", "/a/2f"),
        ("attempt", &attempt[..]),
        ("key", key),
        ("body", body),
    ];
    fixture("keys/call.http", &values)
}

async fn declare(control: SocketAddr, version: &str, keys: &str) {
    let declared = fixture("keys/declare.http", &[("version", version), ("keys", keys)]);
    wait_for_answer(control, &declared, "HTTP/1.1 200").await;
}

/// Guards against an entry that acts on its lease after a suspension that its clock has not
/// counted, and so runs requests with a key that was taken away meanwhile.
#[tokio::test]
async fn entry_that_was_suspended_runs_no_request_with_a_revoked_key() {
    let clocks = Clocks::build(ENTRY..=ENTRY);
    let paused = clocks.paused(ENTRY);
    let deployment = Deployment::start_with(22, 1, |host| match host {
        ENTRY => vec![("LD_PRELOAD", &clocks.library), ("SUSPENDED_MS", &paused)],
        _ => Vec::new(),
    });
    declare(deployment.control(1), "7", "\"k1\",\"k2\"").await;
    let bodies = spawn_upstream(&deployment).await;
    let entry = deployment.entry(0);
    wait_for_answer(entry, &call(0, "k2", "before"), "HTTP/1.1 200").await;

    let process: &Process = &deployment.entries[0];
    process.pause();
    tokio::time::sleep(SETTLE_TIME).await;
    declare(deployment.control(1), "8", "\"k1\"").await;
    tokio::time::sleep(REVOKE_TIME).await;
    let requests = (1..=REQUESTS).map(|number| {
        let request = call(number, "k2", "revoked");
        tokio::spawn(async move { send_request(entry, &request).await })
    });
    let requests: Vec<_> = requests.collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    clocks.stand_still(ENTRY, SETTLE_TIME + REVOKE_TIME);
    process.resume();
    for request in requests {
        let answer = request.await.unwrap().unwrap_or_default();
        assert!(!answer.contains("200 OK"), "{answer}");
    }
    assert!(!bodies.lock().unwrap().iter().any(|b| b == "revoked"));
    wait_for_answer(entry, &call(99, "k1", "after"), "HTTP/1.1 200").await;
}

/// Guards against a leader that acts on its lease after a suspension that its clock has not counted,
/// and so answers a read with a configuration that another leader has replaced meanwhile.
#[tokio::test]
async fn replica_that_was_suspended_reads_no_old_configuration() {
    let clocks = Clocks::build(1..=3);
    let paused: Vec<PathBuf> = (0..=3).map(|host| clocks.paused(host)).collect();
    let deployment = Deployment::start_with(23, 1, |host| match paused.get(usize::from(host)) {
        Some(paused) => vec![("LD_PRELOAD", &clocks.library), ("SUSPENDED_MS", paused)],
        None => Vec::new(),
    });
    declare(deployment.control(1), "10", "\"k1\"").await;
    for suspended in 1..=3_u8 {
        // One of the three is the leader.
        let process = &deployment.controls[usize::from(suspended) - 1];
        let other = deployment.control(suspended % 3 + 1);
        let version = (10 + u64::from(suspended)).to_string();
        let declared = fixture(
            "keys/declare.http",
            &[("version", &version), ("keys", "\"k1\"")],
        );
        let mut from = Instant::now();
        process.pause();
        while !is_accepted(other, &declared).await {
            // The others are no voters yet.
            process.resume();
            tokio::time::sleep(SETTLE_TIME).await;
            from = Instant::now();
            process.pause();
        }
        let replica = deployment.control(suspended);
        let read = fixture("read.http", &[]);
        let reads: Vec<_> = (0..REQUESTS)
            .map(|_| {
                let read = read.clone();
                tokio::spawn(async move { send_request(replica, &read).await })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(100)).await;
        clocks.stand_still(suspended, from.elapsed());
        process.resume();
        for read in reads {
            let answer = read.await.unwrap().unwrap_or_default();
            let newest = answer.contains(&format!("\"version\":{version}"));
            assert!(newest || !answer.contains("200 OK"), "{answer}");
        }
        let newest = format!("\"version\":{version}");
        wait_for_text(replica, &read, &newest).await;
    }
}

/// Guards against a replica that lists an entry to callers by a beacon from before a suspension that
/// its monotonic clock has not counted.
#[tokio::test]
async fn replica_that_was_suspended_lists_no_entry_of_before() {
    let clocks = Clocks::build(1..=1);
    let paused = clocks.paused(1);
    let mut deployment = Deployment::start_with(25, 1, |host| match host {
        1 => vec![("LD_PRELOAD", &clocks.library), ("SUSPENDED_MS", &paused)],
        _ => Vec::new(),
    });
    declare(deployment.control(1), "7", "\"k1\"").await;
    let directory = deployment.address(1, 3);
    let resolve = fixture("resolve.http", &[]);
    let entry = deployment.entry(0).to_string();
    wait_for_text(directory, &resolve, &entry).await;
    deployment.entries[0].kill();
    deployment.controls[0].pause();
    tokio::time::sleep(REVOKE_TIME).await;
    let resolves: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let resolve = resolve.clone();
            tokio::spawn(async move { send_request(directory, &resolve).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    clocks.stand_still(1, REVOKE_TIME + Duration::from_millis(100));
    deployment.controls[0].resume();
    for resolve in resolves {
        let answer = resolve.await.unwrap().unwrap_or_default();
        assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}");
        assert!(!answer.contains(&entry), "{answer}");
    }
}

/// Whether an order is accepted within the time in which a leader is elected.
async fn is_accepted(control: SocketAddr, order: &str) -> bool {
    let limit = Instant::now() + ELECTION_TIME;
    while Instant::now() < limit {
        let sent = tokio::time::timeout(SETTLE_TIME, send_request(control, order)).await;
        let answer = sent.ok().flatten().unwrap_or_default();
        if answer.starts_with("HTTP/1.1 200") {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Repeats a request until the answer contains `text`.
async fn wait_for_text(address: SocketAddr, request: &str, text: &str) {
    let limit = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = send_request(address, request).await.unwrap_or_default();
        if answer.contains(text) {
            return;
        }
        assert!(Instant::now() < limit, "{address}: {answer}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
