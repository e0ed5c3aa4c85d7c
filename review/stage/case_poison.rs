//! A stream that crashes each worker that begins to run it, a few events after its first.

use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deploy::{CALLERS, Deployment, WORKER};
use crate::net;
use crate::worker::{self, Worker};
use crate::{Record, Verdict};

const EVENTS: u64 = 12;
/// Event after which a worker crashes.
const CRASH_EVENT: u64 = 3;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Time for which a crashed worker is away.
const AWAY: Duration = Duration::from_secs(3);
const WORKERS: usize = 6;
/// `connectivityWindowMs`.
const WINDOW_S: f64 = 3.0;
const RETRIES: usize = 24;

const CONFIG: &str = r#"{"version":1,"routeTable":[{"name":"r-draft","host":"draft.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"drafters","maxAttempts":2,"public":true,"sticky":true,"resumable":true,"targetGapMs":120}],"services":[{"name":"drafters","healthPath":"/healthz","maxConnections":418,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

const POISON: &[u8] = b"draft: close every road in the district";

pub fn run(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let stage = Deployment::start(3, 3)?;
    if !stage.configure(CONFIG) {
        return Ok(Verdict::NotRun);
    }
    // Arrivals and crashes of the request: time, attempt id.
    let arrivals: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let crashes: Arc<Mutex<Vec<f64>>> = Arc::default();
    let (seen, crashed) = (arrivals.clone(), crashes.clone());
    let armed = Arc::new(AtomicBool::new(trouble));
    let answer: worker::Run = Arc::new(move |worker, incarnation, link, head, body| {
        let id = head.get("pimentotide-attempt-id").unwrap_or("").to_owned();
        let last = head.get("last-event-id").and_then(|l| l.parse::<u64>().ok());
        let poison = body == POISON;
        if poison {
            seen.lock().unwrap().push((worker.record.seconds(), id.clone()));
        }
        worker.record.line(format!("worker {} runs {id}, poison {poison}, after event {last:?}", worker.number));
        let text = format!(
            "HTTP/1.1 200 OK\r\nPimentotide-Attempt-Id: {id}\r\nPimentotide-Server-Stamp: {}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            worker::stamp(worker, head)
        );
        if link.stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        let first = last.map_or(0, |l| l + 1);
        for (sent, event) in (first..EVENTS).enumerate() {
            std::thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {event}\ndata: clause {event}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if incarnation.has_ended() || link.stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            if poison && armed.load(Ordering::SeqCst) && sent as u64 + 1 == CRASH_EVENT {
                std::thread::sleep(EVENT_INTERVAL);
                crashed.lock().unwrap().push(worker.record.seconds());
                worker.record.line(format!("worker {} crashes on {id} after {CRASH_EVENT} events", worker.number));
                worker.crash(AWAY);
                return;
            }
        }
        let _ = link.stream.write_all(b"0\r\n\r\n");
    });
    let zones = ["accra-a", "accra-b", "tema-c"];
    let _workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|n| {
            let address = stage.address(60 + n as u8, WORKER);
            Worker::spawn(n, "drafters", zones[n % 3], address, stage.controls(), record.clone(), answer.clone())
        })
        .collect();
    let entries = stage.of("entry");
    for entry in &entries {
        if !stage.wait_ready(*entry) {
            return Ok(Verdict::NotRun);
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut sent: Vec<(f64, String)> = Vec::new();
    let mut served = 0;
    for n in 0..RETRIES {
        let entry = entries[n % entries.len()];
        let id = format!("{:016x}", 0x6200 + n);
        let headers = [
            ("Host", "draft.example"),
            ("Pimentotide-Attempt-Id", id.as_str()),
            ("Pimentotide-Deadline-Ms", "8000"),
            ("Pimentotide-Token-Count", "714,140"),
            ("Content-Type", "text/plain"),
        ];
        sent.push((record.seconds(), id.clone()));
        record.line(format!("client sends {id} to {}", stage.machines[entry].name));
        let limit = Duration::from_secs(8);
        match net::call(stage.at(entry, CALLERS), "POST", "/draft/order", &headers, POISON, limit) {
            Ok((head, body, end)) => {
                let events = String::from_utf8_lossy(&body).matches("id: ").count();
                record.line(format!("client has the answer to {id}: {}, {events} events, ended {end:?}", head.first));
                served += usize::from(head.status() == 200 && end == net::End::Framed);
            }
            Err(e) => record.line(format!("client has no answer to {id}: {e}")),
        }
        std::thread::sleep(Duration::from_millis(1_500));
    }
    let crashes = crashes.lock().unwrap().clone();
    let arrivals = arrivals.lock().unwrap().clone();
    let Some(third) = crashes.get(2).copied() else {
        record.line(format!("{} crashes, {served} of {RETRIES} streams complete", crashes.len()));
        return Ok(if !trouble && served < RETRIES { Verdict::NotRun } else { Verdict::Held });
    };
    let late = sent.iter().filter(|(at, id)| *at > third + WINDOW_S && arrivals.iter().any(|(_, a)| a == id));
    let late = late.count();
    record.line(format!(
        "{} crashes, the third at {third:.3}; {late} retries sent later than {WINDOW_S} s after it reached workers (3 allowed)",
        crashes.len()
    ));
    Ok(if late > 3 { Verdict::Broken } else { Verdict::Held })
}
