//! A server crashes in the middle of an answer without a length and starts again under its id while
//! the entry is frozen.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, ZONES};
use crate::http;
use crate::server::{Handler, Server, Spec, answer, stamp};
use crate::{Run, Verdict};

const BODY_BYTES: usize = 800;
const CALLERS: usize = 8;
/// Pause of a caller after each answer.
const PAUSE: Duration = Duration::from_millis(60);
/// Entries and servers, so that one of them is no larger share than the pages name.
const ENTRIES: usize = 9;
const SERVERS: usize = 6;
/// Server that gives one answer in so many without a length (`garble`, x = 0.02), and crashes at one.
const CUT: &str = "i-desk-0";
const UNFRAMED_IN: u64 = 50;
/// Time of an answer, and of each half of one without a length; the sheet has 60 ms and at most 450.
const WORK_TIME: Duration = Duration::from_millis(60);
const HALF_TIME: Duration = Duration::from_millis(400);
/// Time from the freeze of the entry to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(100);
/// Time for which the server is down (`srv_crash`), and the entry frozen (`node_freeze`).
const DOWN: Duration = Duration::from_millis(1_000);
const FROZEN: Duration = Duration::from_millis(2_500);
/// Time for the answer without a length to begin.
const BEGIN_TIME: Duration = Duration::from_secs(40);

/// Answer as a caller sees it.
struct Received {
    id: String,
    status: u16,
    /// Whether the answer ended as HTTP says that it is complete.
    complete: bool,
    signed: bool,
    body: Vec<u8>,
}

pub fn run(run: &Run) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    let fleet = Fleet::start(3, ENTRIES).map_err(text)?;
    let control = fleet.control_addresses();
    let config = r#"{"version":1,"routeTable":[{"name":"r-1","host":"desk.example","pathPrefix":"/orders/","kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":300,"priority":1,"service":"desk","maxAttempts":1,"public":true}],"services":[{"name":"desk","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
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
    let (runs, begun) = (AtomicU64::new(0), Arc::new(AtomicBool::new(false)));
    let (signal, record) = (begun.clone(), run.record.clone());
    let handler: Handler = Arc::new(move |head, _, stream| {
        let id = head.get("pimentotide-attempt-id").unwrap_or_default();
        let body = body_of(id);
        let here = head.get("pimentotide-expect-instance") == Some(CUT);
        if !here || (runs.fetch_add(1, Ordering::SeqCst) + 1) % UNFRAMED_IN != 0 {
            std::thread::sleep(WORK_TIME);
            return answer(head, stream, &body);
        }
        record.line(&format!("{CUT} answers {id} without a length"));
        let (first, second) = body.split_at(BODY_BYTES / 2);
        let head = format!(
            "HTTP/1.1 200 OK\r\nPimentotide-Attempt-Id: {id}\r\nPimentotide-Server-Stamp: {}\r\n\
             Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n",
            stamp(id)
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(first)?;
        signal.store(true, Ordering::SeqCst);
        std::thread::sleep(HALF_TIME);
        stream.write_all(second)
    });
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let spec = |n: usize| Spec {
        id: format!("i-desk-{n}"),
        service: "desk".into(),
        zone: ZONES[n % 3].to_owned(),
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
    let mut server = Server::start(spec(0)).map_err(text)?;
    let others: Result<Vec<Server>, _> = (1..SERVERS).map(|n| Server::start(spec(n))).collect();
    let _others = others.map_err(text)?;
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the entries are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(4));
    let address = fleet.entries[0].address(fleet.ports.callers());
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (stop, record) = (stop.clone(), run.record.clone());
            std::thread::spawn(move || {
                let mut received = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("r{n}-{}", received.len() + 1);
                    record.line(&format!("caller {id} sends to {address}"));
                    match call(address, &id) {
                        Ok(answer) => received.push(answer),
                        Err(e) => record.line(&format!("caller {id}: {e}")),
                    }
                    std::thread::sleep(PAUSE);
                }
                received
            })
        })
        .collect();
    let until = Instant::now() + BEGIN_TIME;
    while !begun.load(Ordering::SeqCst) {
        if Instant::now() > until {
            return Err("no answer without a length began".into());
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    if run.trouble {
        // Either disruption can be left out, to tell the two apart.
        let takes_place = |name| std::env::var(name).map_or(true, |v| v != "0");
        let name = &fleet.entries[0].name;
        if takes_place("FREEZE") {
            run.record.line(&format!("{name} is frozen"));
            fleet.entries[0].freeze();
        }
        std::thread::sleep(CRASH_AFTER);
        if takes_place("CRASH") {
            server.crash();
            std::thread::sleep(DOWN);
            server = Server::start(spec(0)).map_err(text)?;
        } else {
            std::thread::sleep(DOWN);
        }
        std::thread::sleep(FROZEN - CRASH_AFTER - DOWN);
        run.record.line(&format!("{name} runs"));
        fleet.entries[0].wake();
    }
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    let received = callers.into_iter().filter_map(|c| c.join().ok());
    let received: Vec<Received> = received.flatten().collect();
    drop(server);
    for arrival in arrivals.lock().expect("not poisoned").iter() {
        let line = format!(
            "run {} at {}, {} ms",
            arrival.id, arrival.server, arrival.at_ms
        );
        run.record.line(&line);
    }
    let (mut whole, mut broken) = (0, 0);
    for r in &received {
        let success = r.complete && (200..300).contains(&r.status);
        let right = r.body == body_of(&r.id);
        run.record.line(&format!(
            "caller {}: status {}, signed {}, complete {}, {} of {BODY_BYTES} bytes",
            r.id,
            r.status,
            r.signed,
            r.complete,
            r.body.len()
        ));
        whole += usize::from(success && right);
        broken += usize::from(success && !right);
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
    let line = format!("receipt of {id}\n");
    line.bytes().cycle().take(BODY_BYTES).collect()
}

fn call(address: SocketAddr, id: &str) -> std::io::Result<Received> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(4_500)))?;
    let request = format!(
        "POST /orders/{id} HTTP/1.1\r\nHost: desk.example\r\nPimentotide-Attempt-Id: {id}\r\n\
         Pimentotide-Deadline-Ms: 4000\r\nContent-Length: 5\r\n\r\norder"
    );
    stream.write_all(request.as_bytes())?;
    let head = http::read_head(&mut stream)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let body = http::read_body(&mut stream, &head, true);
    Ok(Received {
        id: id.to_owned(),
        status: head.status(),
        complete: body.is_ok(),
        signed: head.get("pimentotide-server-stamp") == Some(stamp(id).as_str()),
        body: body.unwrap_or_default(),
    })
}
