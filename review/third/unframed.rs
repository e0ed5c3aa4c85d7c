//! An entry is killed while its caller reads an answer whose server gave no length.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::AtomicI64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fleet::{Fleet, ZONES};
use crate::http;
use crate::server::{Handler, Server, Spec, stamp};
use crate::{Run, Verdict};

const BODY_BYTES: usize = 512 << 10;
/// Callers at each of two entries.
const CALLERS: usize = 4;
/// Part that a caller reads at a time, and the pause after it: 160 KB a second.
const PART_BYTES: usize = 16 << 10;
const PAUSE: Duration = Duration::from_millis(100);
/// Time from the requests to the kill.
const KILL_AFTER: Duration = Duration::from_millis(1_000);
/// Time until the platform starts a killed process again.
const RESTART_AFTER: Duration = Duration::from_millis(500);

/// What a caller has received.
struct Received {
    id: String,
    status: u16,
    /// Whether the head tells where the body ends.
    framed: bool,
    /// Whether the connection ended in order, not by a reset or a time-out.
    closed: bool,
    signed: bool,
    body: Vec<u8>,
}

pub fn run(run: &Run) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    let mut fleet = Fleet::start(3, 4).map_err(text)?;
    let control = fleet.control_addresses();
    let config = r#"{"version":1,"routeTable":[{"name":"r-1","host":"desk.example","pathPrefix":"/register/","kind":"idempotent","timeoutMs":8000,"targetLatencyMs":300,"priority":1,"service":"desk","maxAttempts":2,"public":true}],"services":[{"name":"desk","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
    let put = http::call_any(
        &control,
        "PUT",
        "/-/config",
        config,
        Duration::from_secs(20),
    );
    run.record
        .line(&format!("configuration 1 acknowledged: {put:?}"));
    if put.is_none_or(|(_, status)| status != 200) {
        return Err("no acknowledgement of the configuration".into());
    }
    let handler: Handler = Arc::new(|head, _, stream| {
        std::thread::sleep(Duration::from_millis(20));
        let id = head.get("pimentotide-attempt-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nPimentotide-Attempt-Id: {id}\r\nPimentotide-Server-Stamp: {}\r\n\
             Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n",
            stamp(id)
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(&body_of(id))
    });
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    for (n, zone) in ZONES.iter().enumerate() {
        let spec = Spec {
            id: format!("i-desk-{n}"),
            service: "desk".into(),
            zone: (*zone).to_owned(),
            address: format!("{}:{}", fleet.ip(3, n), fleet.ports.server())
                .parse()
                .expect("an address"),
            slots: 6,
            control: control.clone(),
            clock_ms: Arc::new(AtomicI64::new(0)),
            handler: handler.clone(),
            arrivals: arrivals.clone(),
            record: run.record.clone(),
            reads_bodies: true,
        };
        servers.push(Server::start(spec).map_err(text)?);
    }
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the entries are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let port = fleet.ports.callers();
    let callers: Vec<_> = (0..2 * CALLERS)
        .map(|n| {
            let address = fleet.entries[n / CALLERS].address(port);
            let (id, record) = (format!("a{n:02}"), run.record.clone());
            std::thread::spawn(move || {
                record.line(&format!("caller {id} sends to {address}"));
                let received = call(address, &id);
                if let Err(e) = &received {
                    record.line(&format!("caller {id}: {e}"));
                }
                received.ok()
            })
        })
        .collect();
    std::thread::sleep(KILL_AFTER);
    if run.trouble {
        run.record
            .line(&format!("SIGKILL of {}", fleet.entries[0].name));
        fleet.entries[0].kill();
        std::thread::sleep(RESTART_AFTER);
        fleet.entries[0].start().map_err(text)?;
    }
    let received: Vec<Received> = callers
        .into_iter()
        .filter_map(|c| c.join().ok().flatten())
        .collect();
    for arrival in arrivals.lock().expect("not poisoned").iter() {
        let line = format!(
            "run {} at {}, {} ms",
            arrival.id, arrival.server, arrival.at_ms
        );
        run.record.line(&line);
    }
    let mut broken = 0;
    let mut whole = 0;
    for r in &received {
        let right = r.body == body_of(&r.id);
        let complete = r.closed && (200..300).contains(&r.status);
        run.record.line(&format!(
            "caller {}: status {}, signed {}, framed {}, closed in order {}, {} of {BODY_BYTES} bytes",
            r.id, r.status, r.signed, r.framed, r.closed, r.body.len()
        ));
        whole += usize::from(complete && right);
        broken += usize::from(complete && !right);
    }
    run.record.line(&format!(
        "{whole} whole answers, {broken} successes with a body that is not whole"
    ));
    if whole < CALLERS {
        return Err("too few answers arrived".into());
    }
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn body_of(id: &str) -> Vec<u8> {
    let line = format!("register entry of {id}\n");
    line.bytes().cycle().take(BODY_BYTES).collect()
}

/// Sends one request and reads its answer slowly.
fn call(address: SocketAddr, id: &str) -> std::io::Result<Received> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let request = format!(
        "GET /register/{id} HTTP/1.1\r\nHost: desk.example\r\nPimentotide-Attempt-Id: {id}\r\n\
         Pimentotide-Deadline-Ms: 8000\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let head = http::read_head(&mut stream)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let length: Option<usize> = head.get("content-length").and_then(|v| v.parse().ok());
    let chunked = head.get("transfer-encoding").is_some();
    let mut body = Vec::new();
    let mut closed = false;
    let mut part = vec![0; PART_BYTES];
    if chunked {
        let read = http::read_body(&mut stream, &head, false);
        closed = read.is_ok();
        body = read.unwrap_or_default();
    } else {
        while length.is_none_or(|l| body.len() < l) {
            match stream.read(&mut part) {
                Ok(0) => {
                    // With a length, an early end shows that the answer is incomplete.
                    closed = length.is_none();
                    break;
                }
                Ok(n) => body.extend_from_slice(&part[..n]),
                Err(_) => break,
            }
            std::thread::sleep(PAUSE);
        }
        closed |= length.is_some_and(|l| body.len() == l);
    }
    Ok(Received {
        id: id.to_owned(),
        status: head.status(),
        framed: length.is_some() || chunked,
        closed,
        signed: head.get("pimentotide-server-stamp") == Some(stamp(id).as_str()),
        body,
    })
}
