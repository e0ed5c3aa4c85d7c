//! Stand-in of a server behind the product: announces itself, answers health checks and requests.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::record::Record;

/// Interval of announcements, as `heartbeatMs` in the deploy page's example.
const BEAT: Duration = Duration::from_millis(1_200);

/// Request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub server: String,
    pub at_ms: u64,
    /// Whether the server began to work on it.
    pub ran: bool,
}

/// Answers one request that the server runs; the head names its attempt.
pub type Handler = Arc<dyn Fn(&Head, &[u8], &mut TcpStream) -> io::Result<()> + Send + Sync>;

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub control: Vec<SocketAddr>,
    /// Offset of the clock of the server's machine.
    pub clock_ms: Arc<AtomicI64>,
    pub handler: Handler,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub record: Record,
    /// Whether bodies are read before the handler runs.
    pub reads_bodies: bool,
}

/// One start of a server.
pub struct Server {
    pub spec: Spec,
    pub born: u64,
    alive: Arc<AtomicBool>,
    beats: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    open: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(spec: Spec) -> io::Result<Self> {
        let listener = TcpListener::bind(spec.address)?;
        listener.set_nonblocking(true)?;
        let clock = spec.clock_ms.load(Ordering::SeqCst);
        let born = u64::try_from(unix_ms() as i64 + clock).unwrap_or_default();
        let mut server = Self {
            born,
            alive: Arc::new(AtomicBool::new(true)),
            beats: Arc::new(AtomicBool::new(true)),
            draining: Arc::default(),
            sequence: Arc::default(),
            open: Arc::default(),
            threads: Vec::new(),
            spec,
        };
        let text = format!(
            "server {} starts, born {born} (clock {clock} ms)",
            server.spec.id
        );
        server.spec.record.line(&text);
        let (alive, open, spec) = (
            server.alive.clone(),
            server.open.clone(),
            server.spec.clone(),
        );
        server.threads.push(std::thread::spawn(move || {
            serve(&listener, &alive, &open, &spec)
        }));
        let (alive, beats, sequence) = (
            server.alive.clone(),
            server.beats.clone(),
            server.sequence.clone(),
        );
        let draining = server.draining.clone();
        let spec = server.spec.clone();
        server.threads.push(std::thread::spawn(move || {
            let mut next = 0;
            while alive.load(Ordering::SeqCst) {
                if beats.load(Ordering::SeqCst) {
                    let state = match draining.load(Ordering::SeqCst) {
                        true => "draining",
                        false => "ready",
                    };
                    beat(&spec, born, &sequence, state, &mut next);
                }
                let mut slept = Duration::ZERO;
                while slept < BEAT && alive.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(20));
                    slept += Duration::from_millis(20);
                }
            }
        }));
        Ok(server)
    }

    /// Announces that the server drains, as all later announcements do; returns who acknowledged it,
    /// and when.
    pub fn drain(&self) -> Option<(SocketAddr, u64)> {
        self.draining.store(true, Ordering::SeqCst);
        // An announcement that is on its way still says that it is ready.
        std::thread::sleep(Duration::from_millis(50));
        let mut next = 0;
        let acknowledged = beat(&self.spec, self.born, &self.sequence, "draining", &mut next)?;
        Some((acknowledged, self.spec.record.now_ms()))
    }

    /// Deregisters the server.
    pub fn withdraw(&self) -> bool {
        self.beats.store(false, Ordering::SeqCst);
        let path = format!("/-/instances/{}", self.spec.id);
        let within = Duration::from_secs(3);
        http::call_any(&self.spec.control, "DELETE", &path, "", within).is_some()
    }

    /// Ends the process at once: nothing listens, open connections are reset or closed.
    pub fn crash(mut self) {
        self.spec
            .record
            .line(&format!("server {} ends", self.spec.id));
        self.end();
    }

    fn end(&mut self) {
        self.alive.store(false, Ordering::SeqCst);
        for stream in self.open.lock().expect("not poisoned").values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        for thread in std::mem::take(&mut self.threads) {
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Sends one announcement, to the next daemon after each failure; returns who acknowledged it.
fn beat(
    spec: &Spec,
    born: u64,
    sequence: &AtomicU64,
    state: &str,
    next: &mut usize,
) -> Option<SocketAddr> {
    let sequence = sequence.fetch_add(1, Ordering::SeqCst) + 1;
    let body = format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
         \"state\":\"{state}\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[],\
         \"born\":{born},\"sequence\":{sequence}}}",
        spec.service, spec.address, spec.zone, spec.slots
    );
    let path = format!("/-/instances/{}", spec.id);
    for _ in 0..spec.control.len() * 2 {
        let address = spec.control[*next % spec.control.len()];
        let answer = http::call(address, "PUT", &path, &body, Duration::from_secs(1));
        let status = answer.map_or(0, |(status, _)| status);
        if state != "ready" || sequence == 1 || status != 200 {
            let text = format!("beat {} {state} {sequence} to {address}: {status}", spec.id);
            spec.record.line(&text);
        }
        if (200..300).contains(&status) {
            return Some(address);
        }
        *next += 1;
    }
    None
}

fn serve(
    listener: &TcpListener,
    alive: &Arc<AtomicBool>,
    open: &Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    spec: &Spec,
) {
    let mut number = 0;
    while alive.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        number += 1;
        if let Ok(copy) = stream.try_clone() {
            open.lock().expect("not poisoned").insert(number, copy);
        }
        let (open, spec) = (open.clone(), spec.clone());
        std::thread::spawn(move || {
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let _ = connection(stream, &spec);
            open.lock().expect("not poisoned").remove(&number);
        });
    }
}

fn connection(mut stream: TcpStream, spec: &Spec) -> io::Result<()> {
    let Some(head) = http::read_head(&mut stream)? else {
        return Ok(());
    };
    let body = match spec.reads_bodies {
        true => http::read_body(&mut stream, &head, false)?,
        false => Vec::new(),
    };
    let name = format!("Pimentotide-Instance-Id: {}\r\n", spec.id);
    if head.path().starts_with("/healthz") {
        let answer =
            format!("HTTP/1.1 200 OK\r\n{name}Content-Length: 0\r\nConnection: close\r\n\r\n");
        return stream.write_all(answer.as_bytes());
    }
    let own = head
        .get("pimentotide-expect-instance")
        .is_none_or(|id| id == spec.id);
    let arrival = Arrival {
        id: head
            .get("pimentotide-attempt-id")
            .unwrap_or_default()
            .to_owned(),
        server: spec.id.clone(),
        at_ms: spec.record.now_ms(),
        ran: own,
    };
    spec.arrivals.lock().expect("not poisoned").push(arrival);
    if !own {
        let answer = "HTTP/1.1 421 Misdirected Request\r\nPimentotide-Not-Executed: 1\r\n\
                      Content-Length: 0\r\nConnection: close\r\n\r\n";
        return stream.write_all(answer.as_bytes());
    }
    (spec.handler)(&head, &body, &mut stream)
}

/// Writes an answer with the server's signature and a body with its length.
pub fn answer(head: &Head, stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let id = head.get("pimentotide-attempt-id").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 200 OK\r\nPimentotide-Attempt-Id: {id}\r\nPimentotide-Server-Stamp: {}\r\n\
         Content-Type: application/octet-stream\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        stamp(id),
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)
}

/// Signature of the answer to an attempt.
pub fn stamp(id: &str) -> String {
    format!("3e1b.{id}.c9f2a4d1")
}
