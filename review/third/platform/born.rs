//! A server starts again under its id after the clock of its machine was set back, and then drains.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, ZONES};
use crate::http;
use crate::server::{Handler, Server, Spec, stamp};
use crate::{Run, Verdict};

/// Step of the clock of the server's machine, and its length (`clock_step` of the site file).
const STEP_MS: i64 = 2_400;
const STEP_TIME: Duration = Duration::from_millis(6_000);
/// Time from the step to the first end of the server.
const FLAP_AFTER: Duration = Duration::from_millis(1_000);
/// Time for which the server is down and then up: half of the period of `srv_flap` of the site file.
const FLAP: Duration = Duration::from_millis(700);
/// Times that it goes down and up, which takes less than the 6.5 s of the site file.
const FLAPS: usize = 4;
/// Time after which it is up for the last time: the clock is right again.
const LAST_START: Duration = Duration::from_millis(7_300);
/// `drainMs` of the deployment.
const DRAIN_MS: u64 = 2_500;
/// Time for which the server goes on beyond that.
const STAY: Duration = Duration::from_secs(6);
/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(40);
const CALLERS: usize = 8;
/// Servers, so that one of them is no larger share than the pages name.
const SERVERS: usize = 10;
/// Events of a stream, and the time for each.
const EVENTS: u32 = 5;
const EVENT_TIME: Duration = Duration::from_millis(10);

pub fn run(run: &Run) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    let fleet = Fleet::start(3, 2).map_err(text)?;
    let control = fleet.control_addresses();
    let config = r#"{"version":1,"routeTable":[{"name":"r-1","host":"desk.example","pathPrefix":"/drafts/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"drafters","maxAttempts":2,"public":true,"resumable":true,"targetGapMs":120}],"services":[{"name":"drafters","healthPath":"/healthz","maxConnections":418,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
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
        let id = head.get("pimentotide-attempt-id").unwrap_or_default();
        let after = head.get("last-event-id").and_then(|v| v.parse().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\nPimentotide-Attempt-Id: {id}\r\nPimentotide-Server-Stamp: {}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
            stamp(id)
        );
        stream.write_all(head.as_bytes())?;
        for event in after.unwrap_or(0) + 1..=EVENTS {
            std::thread::sleep(EVENT_TIME);
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    });
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let clock = Arc::new(AtomicI64::new(0));
    let spec = |n: usize, clock: &Arc<AtomicI64>| Spec {
        id: format!("i-drafter-{n}"),
        service: "drafters".into(),
        zone: ZONES[n % 3].to_owned(),
        address: format!("{}:{}", fleet.ip(3, n), fleet.ports.server())
            .parse()
            .expect("an address"),
        slots: 12,
        control: control.clone(),
        clock_ms: clock.clone(),
        handler: handler.clone(),
        arrivals: arrivals.clone(),
        record: run.record.clone(),
        reads_bodies: true,
    };
    // The servers that go down and up without a step of the clock, to tell the two apart.
    let steps = std::env::var("STEP").map_or(true, |v| v != "0");
    let steady = Arc::new(AtomicI64::new(0));
    let others: Result<Vec<Server>, _> = (1..SERVERS)
        .map(|n| Server::start(spec(n, &steady)))
        .collect();
    let _others = others.map_err(text)?;
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the entries are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let address = fleet.entries[n % 2].address(fleet.ports.callers());
            let (stop, answered) = (stop.clone(), answered.clone());
            let record = run.record.clone();
            std::thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("c{n}-{number}");
                    let sent_ms = record.now_ms();
                    let status = call(address, &id).unwrap_or(0);
                    record.line(&format!("{id} sent at {sent_ms} to {address}: {status}"));
                    answered.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    let mut server = Server::start(spec(0, &clock)).map_err(text)?;
    std::thread::sleep(Duration::from_secs(4));
    if run.trouble {
        let since = Instant::now();
        let until = |at: Duration| std::thread::sleep(at.saturating_sub(since.elapsed()));
        if steps {
            let text =
                format!("the clock of the machine of i-drafter-0 steps ahead by {STEP_MS} ms");
            run.record.line(&text);
            clock.store(STEP_MS, Ordering::SeqCst);
        }
        for turn in 0..FLAPS {
            let down = FLAP_AFTER + FLAP * 2 * turn as u32;
            until(down);
            server.crash();
            until(down + FLAP);
            server = Server::start(spec(0, &clock)).map_err(text)?;
        }
        until(STEP_TIME);
        run.record
            .line("the clock of the machine of i-drafter-0 is right");
        clock.store(0, Ordering::SeqCst);
        until(LAST_START - FLAP);
        server.crash();
        until(LAST_START);
        server = Server::start(spec(0, &clock)).map_err(text)?;
    }
    std::thread::sleep(Duration::from_secs(4));
    let Some((by, drained_ms)) = server.drain() else {
        return Err("nobody acknowledged that the server drains".into());
    };
    run.record
        .line(&format!("{by} acknowledged that i-drafter-0 drains"));
    std::thread::sleep(Duration::from_millis(DRAIN_MS) + STAY);
    let withdrawn = server.withdraw();
    let gone_ms = run.record.now_ms();
    run.record
        .line(&format!("i-drafter-0 deregistered: {withdrawn}"));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    server.crash();
    let arrivals = arrivals.lock().expect("not poisoned");
    let servers: BTreeSet<&str> = arrivals.iter().map(|a| a.server.as_str()).collect();
    let at = |from: u64, to: u64| {
        let there = arrivals
            .iter()
            .filter(|a| a.server == "i-drafter-0" && a.ran);
        there.filter(|a| (from..to).contains(&a.at_ms)).count()
    };
    let before = at(0, drained_ms);
    let during = at(drained_ms, drained_ms + DRAIN_MS);
    let late = at(drained_ms + DRAIN_MS, gone_ms);
    for a in arrivals.iter() {
        let after = a.at_ms as i64 - drained_ms as i64;
        run.record.line(&format!(
            "{} {} at {}, {after} ms after the acknowledgement",
            if a.ran { "run" } else { "rejected" },
            a.id,
            a.server
        ));
    }
    run.record.line(&format!(
        "{} answered; servers {servers:?}; at i-drafter-0 {before} before the acknowledgement, {during} within \
         {DRAIN_MS} ms after it, {late} later",
        answered.load(Ordering::SeqCst)
    ));
    if before == 0 {
        return Err("the server got no requests".into());
    }
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends one request over a new connection and returns the status.
fn call(address: SocketAddr, id: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let request = format!(
        "POST /drafts/{id} HTTP/1.1\r\nHost: desk.example\r\nPimentotide-Attempt-Id: {id}\r\n\
         Pimentotide-Deadline-Ms: 8000\r\nContent-Length: 5\r\nConnection: close\r\n\r\ndraft"
    );
    stream.write_all(request.as_bytes())?;
    let head = http::read_head(&mut stream)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    http::read_body(&mut stream, &head, true)?;
    Ok(head.status())
}
