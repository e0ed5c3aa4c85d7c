//! An answer without a length, whose entry is killed while a slow client reads it.
//!
//! One worker of three gives one answer in 50 without a length, for 5 s at a time.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::deploy::{CALLERS, Deployment, WORKER};
use crate::net::{self, End, Link};
use crate::worker::{self, Worker};
use crate::{Record, Verdict};

const BODY_BYTES: usize = 256 << 10;
/// Bytes after which the entry is killed.
const KILL_AFTER: usize = 64 << 10;
/// Bytes a second that the client reads.
const READ_RATE: f64 = 512.0 * 1024.0;
/// Receive window of the client.
const WINDOW: i32 = 8 << 10;
/// Answers without a length, and kills, in one run.
const CUTS: usize = 3;
/// Requests after which a run gives up.
const MAX_REQUESTS: usize = 4_000;
/// One answer in so many of the faulty worker has no length, while it is faulty.
const UNFRAMED_IN: u64 = 50;
/// Times for which that worker is faulty, and sound.
const FAULTY: f64 = 5.0;
const SOUND: f64 = 3.0;

const CONFIG: &str = r#"{"version":1,"routeTable":[{"name":"r-read","host":"desk.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":8000,"targetLatencyMs":300,"priority":1,"service":"order-desk","maxAttempts":2,"public":true}],"services":[{"name":"order-desk","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn body(id: &str) -> Vec<u8> {
    let line = format!("register entry of {id}\n");
    line.bytes().cycle().take(BODY_BYTES).collect()
}

pub fn run(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let stage = Deployment::start(3, 5)?;
    if !stage.configure(CONFIG) {
        return Ok(Verdict::NotRun);
    }
    let given = AtomicU64::new(0);
    let answer: worker::Run = Arc::new(move |worker, _, link, head, _| {
        let id = head.get("pimentotide-attempt-id").unwrap_or("").to_owned();
        let faulty = worker.number == 0 && worker.record.seconds() % (FAULTY + SOUND) < FAULTY;
        let unframed = faulty && given.fetch_add(1, Ordering::SeqCst) % UNFRAMED_IN == UNFRAMED_IN - 1;
        worker.record.line(format!("worker {} runs {id}, without a length {unframed}", worker.number));
        let framing = match unframed {
            true => "Connection: close\r\n".to_owned(),
            false => format!("Content-Length: {BODY_BYTES}\r\n"),
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nPimentotide-Attempt-Id: {id}\r\nPimentotide-Server-Stamp: {}\r\n\
             Content-Type: text/plain\r\n{framing}\r\n",
            worker::stamp(worker, head)
        );
        let sent = link.stream.write_all(text.as_bytes());
        let sent = sent.and_then(|()| link.stream.write_all(&body(&id)));
        if unframed {
            let sent = sent.is_ok();
            worker.record.line(format!("worker {} has sent {BODY_BYTES} bytes for {id}: {sent}", worker.number));
            worker::close(link);
        }
    });
    let zones = ["accra-a", "accra-b", "tema-c"];
    let _workers: Vec<Arc<Worker>> = (0..3)
        .map(|n| {
            let address = stage.address(60 + n as u8, WORKER);
            Worker::spawn(n, "order-desk", zones[n], address, stage.controls(), record.clone(), answer.clone())
        })
        .collect();
    let entries = stage.of("entry");
    for entry in &entries {
        if !stage.wait_ready(*entry) {
            return Ok(Verdict::NotRun);
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    let (mut answered, mut broken, mut cuts, mut sent) = (0, 0, 0, 0);
    for n in 0..MAX_REQUESTS {
        if cuts == CUTS {
            break;
        }
        sent += 1;
        let entry = entries[n % entries.len()];
        let id = format!("{:016x}", 0x5100 + n);
        let stream = net::connect_narrow(stage.at(entry, CALLERS), WINDOW)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let mut link = Link::new(stream);
        let headers = [
            ("Host", "desk.example"),
            ("Pimentotide-Attempt-Id", id.as_str()),
            ("Pimentotide-Deadline-Ms", "8000"),
        ];
        link.stream.write_all(net::request("GET", "/read/entry", &headers, 0).as_bytes())?;
        let name = &stage.machines[entry].name;
        record.line(format!("client sends {id} to {name}"));
        let Ok(Some(head)) = link.head() else {
            record.line(format!("client gets no answer to {id}"));
            continue;
        };
        let slow = head.get("content-length").is_none();
        cuts += usize::from(slow);
        let start = Instant::now();
        let mut killed = false;
        let (got, end) = link.body(&head, false, |read| {
            if trouble && slow && !killed && read.len() >= KILL_AFTER {
                killed = true;
                record.line(format!("platform kills {name} (SIGKILL)"));
                stage.kill(entry);
            }
            if slow {
                let due = Duration::from_secs_f64(read.len() as f64 / READ_RATE);
                std::thread::sleep(due.saturating_sub(start.elapsed()));
            }
        });
        let whole = got == body(&id);
        let stamped = head.get("pimentotide-server-stamp").is_some();
        record.line(format!(
            "client has the answer to {id}: {}, stamp {stamped}, content-length {:?}, transfer-encoding {:?}, \
             {} bytes, ended {end:?}, whole {whole}",
            head.first,
            head.get("content-length"),
            head.get("transfer-encoding"),
            got.len(),
        ));
        let success = (200..300).contains(&head.status()) && stamped;
        if success && whole && end != End::Cut {
            answered += 1;
        }
        if success && end != End::Cut && !whole {
            record.line(format!("MIXED: the answer to {id} looks complete and is not"));
            broken += 1;
        }
        if killed {
            std::thread::sleep(Duration::from_millis(500));
            stage.spawn(entry, false)?;
            if !stage.wait_ready(entry) {
                return Ok(Verdict::NotRun);
            }
        }
    }
    record.line(format!("{sent} requests, {cuts} answers without a length, {answered} whole answers, {broken} that look complete and are not"));
    Ok(match broken {
        0 if cuts < CUTS || !trouble && answered < sent => Verdict::NotRun,
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
