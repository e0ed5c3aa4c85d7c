//! Callers send long bodies to servers that read slowly; the platform bounds the memory of a process.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fleet::{Fleet, ZONES};
use crate::http;
use crate::server::{Handler, Server, Spec, answer};
use crate::{Run, Verdict};

/// `limits.memoryMb` of an entry on the site.
const MEMORY_KB: u64 = 260 << 10;
/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4 << 20;
/// Clients of the site.
const CALLERS: usize = 78;
/// Time between the first requests of two callers.
const STAGGER: Duration = Duration::from_millis(40);
/// Bytes that a slow server reads at a time, and its pause: 1 MiB a second.
const PART_BYTES: usize = 64 << 10;
const PAUSE: Duration = Duration::from_millis(62);
/// Model workers of the site and their slots.
const SERVERS: usize = 12;
const SLOTS: u32 = 12;

pub fn run(run: &Run) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    let mut fleet = Fleet::start(3, 2).map_err(text)?;
    let control = fleet.control_addresses();
    let config = r#"{"version":1,"routeTable":[{"name":"r-1","host":"desk.example","pathPrefix":"/drafts/","kind":"non_idempotent","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"drafters","maxAttempts":1,"public":true}],"services":[{"name":"drafters","healthPath":"/healthz","maxConnections":418,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
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
    let slow = Arc::new(AtomicBool::new(false));
    let reads_slowly = slow.clone();
    let handler: Handler = Arc::new(move |head, _, stream| {
        let length = head.get("content-length").and_then(|v| v.parse().ok());
        let mut left: usize = length.unwrap_or(0);
        let mut part = vec![0; PART_BYTES];
        while left > 0 {
            let size = left.min(PART_BYTES);
            stream.read_exact(&mut part[..size])?;
            left -= size;
            if reads_slowly.load(Ordering::SeqCst) {
                std::thread::sleep(PAUSE);
            }
        }
        std::thread::sleep(Duration::from_millis(20));
        answer(head, stream, b"draft\n")
    });
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let spec = Spec {
            id: format!("i-drafter-{n}"),
            service: "drafters".into(),
            zone: ZONES[n % 3].to_owned(),
            address: format!("{}:{}", fleet.ip(3, n), fleet.ports.server())
                .parse()
                .expect("an address"),
            slots: SLOTS,
            control: control.clone(),
            clock_ms: Arc::new(AtomicI64::new(0)),
            handler: handler.clone(),
            arrivals: arrivals.clone(),
            record: run.record.clone(),
            reads_bodies: false,
        };
        servers.push(Server::start(spec).map_err(text)?);
    }
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the entries are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    slow.store(run.trouble, Ordering::SeqCst);
    let address = fleet.entries[0].address(fleet.ports.callers());
    let answered = Arc::new(AtomicU64::new(0));
    let closed = Arc::new(Mutex::new(BTreeSet::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (answered, closed, record) = (answered.clone(), closed.clone(), run.record.clone());
            std::thread::spawn(move || {
                std::thread::sleep(STAGGER * n as u32);
                let id = format!("b{n:02}");
                match call(address, &id) {
                    Ok(Some(status)) => {
                        answered.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!("caller {id} gets {status}"));
                    }
                    Ok(None) => {
                        record.line(&format!(
                            "caller {id}: its kept connection ends without an answer"
                        ));
                        closed.lock().expect("not poisoned").insert(id);
                    }
                    Err(e) => record.line(&format!("caller {id}: {e}")),
                }
            })
        })
        .collect();
    let mut peak = 0;
    let mut killed = false;
    for _ in 0..600 {
        let used = fleet.entries[0].memory_kb().unwrap_or(0);
        peak = peak.max(used);
        if used > MEMORY_KB && !killed {
            run.record.line(&format!(
                "the platform kills {}: {used} KB",
                fleet.entries[0].name
            ));
            fleet.entries[0].kill();
            killed = true;
        }
        if callers.iter().all(|c| c.is_finished()) {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let arrivals = arrivals.lock().expect("not poisoned");
    for a in arrivals.iter().filter(|a| a.ran) {
        run.record.line(&format!(
            "passed on: {} to {} at {} ms",
            a.id, a.server, a.at_ms
        ));
    }
    let passed: BTreeSet<&str> = arrivals.iter().map(|a| a.id.as_str()).collect();
    let closed = closed.lock().expect("not poisoned");
    let lost = closed
        .iter()
        .filter(|id| passed.contains(id.as_str()))
        .count();
    run.record.line(&format!(
        "peak {peak} KB of {MEMORY_KB} KB, killed: {killed}; {} answered, {} closed without an answer, \
         {lost} of these passed on",
        answered.load(Ordering::SeqCst),
        closed.len()
    ));
    Ok(if lost > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends a short request and then a long one over the same connection; `None` if it ends before an answer to the second.
fn call(address: SocketAddr, id: &str) -> std::io::Result<Option<u16>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let head = |id: &str, length: usize| {
        format!(
            "POST /drafts/{id} HTTP/1.1\r\nHost: desk.example\r\nPimentotide-Attempt-Id: {id}\r\n\
             Pimentotide-Deadline-Ms: 8000\r\nContent-Length: {length}\r\n\r\n"
        )
    };
    stream.write_all(head(&format!("{id}-first"), 5).as_bytes())?;
    stream.write_all(b"short")?;
    let first = http::read_head(&mut stream)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    http::read_body(&mut stream, &first, false)?;
    stream.write_all(head(id, BODY_BYTES).as_bytes())?;
    let body: Vec<u8> = id.bytes().cycle().take(BODY_BYTES).collect();
    if stream.write_all(&body).is_err() {
        return Ok(None);
    }
    match http::read_head(&mut stream) {
        Ok(Some(head)) => Ok(Some(head.status())),
        Ok(None) => Ok(None),
        Err(e)
            if matches!(
                e.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            Err(e)
        }
        Err(_) => Ok(None),
    }
}
