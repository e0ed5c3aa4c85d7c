//! Deployment whose upstreams announce themselves, over loopback sockets.
//!
//! Three control replicas and an entry run as separate processes; the upstreams
//! are stand-ins in this test. Messages come from the fixtures of the adapter,
//! which alone defines the names on the wire.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use insta::assert_snapshot;
use pimentotide_process::{Process, free_ports};
use pimentotide_wire::{Template, normalize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time limit of each wait for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const CONTROLS: [u8; 3] = [1, 2, 3];
const ENTRY: u8 = 4;

fn fixture(name: &str, values: &[(&str, &str)]) -> String {
    Template::open(name).unwrap().fill(values)
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for entry in fs::read_dir(self.folder.path()).unwrap().flatten() {
                if entry.path().extension().is_some_and(|e| e == "log") {
                    let text = fs::read_to_string(entry.path()).unwrap_or_default();
                    println!("{}:\n{text}", entry.path().display());
                }
            }
        }
    }
}

struct Deployment {
    folder: tempfile::TempDir,
    port: u16,
    controls: Vec<Process>,
    entry: Process,
}

impl Deployment {
    /// Starts all processes, each on its own address.
    fn start(network: u8) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let hosts: Vec<IpAddr> = (1..=ENTRY).map(|host| ip(network, host)).collect();
        let port = free_ports(&hosts).unwrap();
        let start = |host: u8, role: &str| {
            let path = settings(folder.path(), network, host, port, role);
            let binary = Path::new(env!("CARGO_BIN_EXE_pimentotide"));
            Process::spawn(binary, "serve", &path).unwrap()
        };
        let controls = CONTROLS.map(|host| start(host, "control")).into();
        let entry = start(ENTRY, "entry");
        Self {
            port,
            controls,
            entry,
            folder,
        }
    }

    fn address(&self, network: u8, host: u8, offset: u16) -> SocketAddr {
        SocketAddr::new(ip(network, host), self.port + offset)
    }
}

fn ip(network: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 9, network, host))
}

fn settings(folder: &Path, network: u8, host: u8, port: u16, role: &str) -> PathBuf {
    let own = ip(network, host);
    let seeds: Vec<String> = CONTROLS
        .map(|c| format!("\"{}:{}\"", ip(network, c), port + 2))
        .into();
    let text = format!(
        "role: {role}\ninstance: i{host}\nzone: z1\nip: {own}\nports: [{port}, {}]\nseeds: [{}]\n\
         first_start: true\ndata: {}\nlisten: {{callers: \"{own}:{}\", ready: \"{own}:{}\", \
         control: \"{own}:{}\", directory: \"{own}:{}\"}}\ntoken: token-of-this-test\n\
         bounds: {{revoke_ms: 5000, grace_s: 4}}\n",
        port + 1,
        seeds.join(", "),
        folder.join(format!("data{host}")).display(),
        port + 4,
        port + 5,
        port + 2,
        port + 3,
    );
    let path = folder.join(format!("{role}{host}.yaml"));
    fs::write(&path, text).unwrap();
    path
}

/// Sends a request and returns the answer without its date.
async fn send_request(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let text = String::from_utf8_lossy(&answer).into_owned();
    Some(normalize(&text))
}

/// Repeats the request until the answer begins with `start`.
async fn wait_for_answer(address: SocketAddr, request: &str, start: &str) -> String {
    let limit = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = send_request(address, request).await;
        if let Some(answer) = answer.as_ref().filter(|a| a.starts_with(start)) {
            return answer.clone();
        }
        assert!(
            Instant::now() < limit,
            "{address} answered {answer:?} instead of {start}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Replaces the value of `retry-after`, which varies by jitter, after checking its range.
fn mask_retry_after(answer: &str) -> String {
    let name = "retry-after: ";
    let line = answer.lines().find(|l| l.starts_with(name)).unwrap();
    let seconds: f64 = line[name.len()..].parse().unwrap();
    assert!((1.0..=3.5).contains(&seconds), "{line}");
    answer.replace(line, "retry-after: TIME")
}

/// Starts a stand-in upstream that answers each connection by its path; returns its address and the
/// recorded requests.
async fn spawn_upstream(name: &str) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests: Arc<Mutex<Vec<String>>> = Arc::default();
    let (recorded, name) = (requests.clone(), name.to_owned());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = vec![0; 4_096];
            let mut length = 0;
            while !bytes[..length].ends_with(b"hello") {
                match stream.read(&mut bytes[length..]).await {
                    Ok(0) | Err(_) => break,
                    Ok(n) => length += n,
                }
            }
            let request = String::from_utf8_lossy(&bytes[..length]).into_owned();
            let rest = request.to_ascii_lowercase().contains("last-event-id: 1");
            let answer = if request.starts_with("POST /a/") {
                fixture("answer.http", &[("name", &name)])
            } else if rest {
                fixture("events_rest.http", &[])
            } else {
                fixture("events_cut.http", &[])
            };
            recorded.lock().unwrap().push(request);
            // The entry may have closed the connection.
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    (address, requests)
}

async fn announce(control: SocketAddr, name: &str, address: SocketAddr) {
    let address = address.to_string();
    let values = [("name", name), ("address", &address[..]), ("sequence", "1")];
    wait_for_answer(control, &fixture("announce.http", &values), "HTTP/1.1 200").await;
}

#[tokio::test]
async fn entry_serves_after_replica_loss_refuses_in_closed_zones_and_stops_gracefully() {
    const NETWORK: u8 = 1;
    let mut deployment = Deployment::start(NETWORK);
    let port = deployment.port + 2;
    let control = move |host| SocketAddr::new(ip(NETWORK, host), port);
    let entry = deployment.address(NETWORK, ENTRY, 4);
    let declare = |version| fixture("declare.http", &[("version", version)]);
    let declared = wait_for_answer(control(1), &declare("7"), "HTTP/1.1 200").await;
    let (address, requests) = spawn_upstream("u1").await;
    announce(control(2), "u1", address).await;

    let call = fixture("call.http", &[("key", "k1")]);
    let served = wait_for_answer(entry, &call, "HTTP/1.1 200").await;
    let unknown = send_request(entry, &fixture("call.http", &[("key", "k9")]))
        .await
        .unwrap();
    let resolve = fixture("resolve.http", &[]);
    let resolved =
        wait_for_answer(deployment.address(NETWORK, 3, 3), &resolve, "HTTP/1.1 200").await;
    let resolved = resolved.replace(&entry.to_string(), "ENTRY");
    let entry_resolved = wait_for_answer(
        deployment.address(NETWORK, ENTRY, 3),
        &resolve,
        "HTTP/1.1 200",
    )
    .await;
    assert_eq!(
        entry_resolved.replace(&entry.to_string(), "ENTRY"),
        resolved
    );
    assert!(
        !requests.lock().unwrap().iter().any(|r| r.contains("k1")),
        "the key was forwarded"
    );

    // With one of three replicas lost, orders and requests still succeed.
    deployment.controls.pop();
    wait_for_answer(control(1), &declare("8"), "HTTP/1.1 200").await;
    let read = wait_for_answer(control(2), &fixture("read.http", &[]), "HTTP/1.1 200").await;
    assert!(read.contains("\"version\":8"), "{read}");
    wait_for_answer(entry, &call, "HTTP/1.1 200").await;

    wait_for_answer(control(2), &fixture("close_zone.http", &[]), "HTTP/1.1 200").await;
    let closed = mask_retry_after(&wait_for_answer(entry, &call, "HTTP/1.1 503").await);

    // A graceful stop fails the readiness check at once and exits with 0.
    let ready = fixture("ready.http", &[]);
    wait_for_answer(
        deployment.address(NETWORK, ENTRY, 5),
        &ready,
        "HTTP/1.1 200",
    )
    .await;
    deployment.entry.terminate();
    wait_for_answer(
        deployment.address(NETWORK, ENTRY, 5),
        &ready,
        "HTTP/1.1 503",
    )
    .await;
    let limit = Instant::now() + WAIT_TIMEOUT;
    while !deployment.entry.has_exited() {
        assert!(Instant::now() < limit, "the entry does not exit");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(deployment.entry.exit_code(), Some(0));
    assert_snapshot!([declared, served, unknown, resolved, closed].join("\n---\n"));
}

#[tokio::test]
async fn interrupted_stream_resumes_at_another_upstream() {
    const NETWORK: u8 = 2;
    let deployment = Deployment::start(NETWORK);
    let control = deployment.address(NETWORK, 1, 2);
    let entry = deployment.address(NETWORK, ENTRY, 4);
    wait_for_answer(
        control,
        &fixture("declare.http", &[("version", "7")]),
        "HTTP/1.1 200",
    )
    .await;
    let (first, asked_first) = spawn_upstream("u1").await;
    let (second, asked_second) = spawn_upstream("u2").await;
    announce(control, "u1", first).await;
    announce(control, "u2", second).await;
    let call = fixture("call.http", &[("key", "k1")]);
    // The entry has both upstreams in its view once each has received a request.
    while asked_first.lock().unwrap().is_empty() || asked_second.lock().unwrap().is_empty() {
        wait_for_answer(entry, &call, "HTTP/1.1 200").await;
    }
    let stream = send_request(entry, &fixture("stream.http", &[]))
        .await
        .unwrap();
    let log = fs::read_to_string(deployment.folder.path().join("entry4.log")).unwrap();
    assert!(stream.contains("id: 3"), "{stream}\n{log}");
    assert_snapshot!(stream);
    assert!(deployment.folder.path().exists());
}
