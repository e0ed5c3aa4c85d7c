//! A replaced machine of the core is removed, and another one is gone for good half a second later.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, ZONES};
use crate::http;
use crate::server::{Handler, Server, Spec, answer};
use crate::{Run, Verdict};

/// Time for which the successor is up before its predecessor is removed; `catchUpS` is 4.
const CAUGHT_UP: Duration = Duration::from_secs(9);
/// Time from the removal to the end of the second machine, and from there to its successor.
const SECOND_AFTER: Duration = Duration::from_millis(500);
const SUCCESSOR_AFTER: Duration = Duration::from_millis(1_000);
/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the operator reads and callers send beyond that.
const OBSERVED: Duration = Duration::from_secs(33);
const CONFIG: &str = r#"{"version":1,"routeTable":[{"name":"r-1","host":"desk.example","pathPrefix":"/register/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":300,"priority":1,"service":"desk","maxAttempts":2,"public":true}],"services":[{"name":"desk","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub fn run(run: &Run) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    let mut fleet = Fleet::start(3, 2).map_err(text)?;
    let control = fleet.control_addresses();
    let put = http::call_any(
        &control,
        "PUT",
        "/-/config",
        CONFIG,
        Duration::from_secs(20),
    );
    run.record
        .line(&format!("configuration 1 acknowledged: {put:?}"));
    if put.is_none_or(|(_, status)| status != 200) {
        return Err("no acknowledgement of the configuration".into());
    }
    let handler: Handler = Arc::new(|head, _, stream| {
        std::thread::sleep(Duration::from_millis(20));
        answer(head, stream, b"entry\n")
    });
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
            arrivals: Arc::new(Mutex::new(Vec::new())),
            record: run.record.clone(),
            reads_bodies: true,
        };
        servers.push(Server::start(spec).map_err(text)?);
    }
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the entries are not ready".into());
    }
    run.record
        .line("control-3 is added, as the successor of control-0");
    fleet.add_control(&[0, 1, 2]).map_err(text)?;
    std::thread::sleep(CAUGHT_UP);
    let late = Arc::new(AtomicBool::new(false));
    let (served, refused) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..2)
        .map(|n| {
            let address = fleet.entries[n].address(fleet.ports.callers());
            let (stop, late, record) = (stop.clone(), late.clone(), run.record.clone());
            let (served, refused) = (served.clone(), refused.clone());
            std::thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("c{n}-{number}");
                    let status = call(address, &id).unwrap_or(0);
                    record.line(&format!("{id} to {address}: {status}"));
                    if late.load(Ordering::SeqCst) {
                        let count = if status == 200 { &served } else { &refused };
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                    std::thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let since = Instant::now();
    if run.trouble {
        run.record.line("control-0 is removed: SIGKILL, for good");
        fleet.control[0].kill();
        if std::env::var("SECOND").map_or(true, |v| v != "0") {
            std::thread::sleep(SECOND_AFTER);
            run.record.line("control-1 is gone for good: SIGKILL");
            fleet.control[1].kill();
            std::thread::sleep(SUCCESSOR_AFTER);
            run.record
                .line("control-4 comes in its place, at another address, empty");
            fleet.add_control(&[2, 3]).map_err(text)?;
        }
    }
    std::thread::sleep(RECOVERY.saturating_sub(since.elapsed()));
    late.store(true, Ordering::SeqCst);
    let running = fleet.control_addresses();
    let running = &running[if run.trouble { 2 } else { 0 }..];
    let mut answers: BTreeMap<u16, u64> = BTreeMap::new();
    let until = Instant::now() + OBSERVED;
    while Instant::now() < until {
        for address in running {
            let read = http::call(*address, "GET", "/-/config", "", Duration::from_secs(1));
            let status = match read {
                Ok((200, body)) if body == CONFIG => 200,
                // Another document than the acknowledged one.
                Ok((200, _)) => 299,
                Ok((status, _)) => status,
                Err(_) => 0,
            };
            run.record
                .line(&format!("read of the configuration at {address}: {status}"));
            *answers.entry(status).or_default() += 1;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    run.record.line(&format!(
        "reads later than {} s after the removal, by status: {answers:?}; requests served {}, not served {}",
        RECOVERY.as_secs(),
        served.load(Ordering::SeqCst),
        refused.load(Ordering::SeqCst)
    ));
    let came = answers.contains_key(&200);
    let other = answers.contains_key(&299);
    Ok(if !came || other {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn call(address: SocketAddr, id: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let request = format!(
        "GET /register/{id} HTTP/1.1\r\nHost: desk.example\r\nPimentotide-Attempt-Id: {id}\r\n\
         Pimentotide-Deadline-Ms: 4000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let head = http::read_head(&mut stream)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    http::read_body(&mut stream, &head, true)?;
    Ok(head.status())
}
