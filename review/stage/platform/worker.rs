//! Stand-in workers: they announce themselves and run requests.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::net::{self, Head, Link};
use crate::{Record, now_ms};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a worker does with a request that it runs.
pub type Run = Arc<dyn Fn(&Arc<Worker>, &Incarnation, &mut Link, &Head, &[u8]) + Send + Sync>;

/// A worker that may start again.
pub struct Worker {
    pub number: usize,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    controls: Vec<SocketAddr>,
    pub record: Record,
    run: Run,
    starts: AtomicU64,
    running: Mutex<Option<Arc<IncarnationState>>>,
}

/// One start of a worker.
pub type Incarnation = Arc<IncarnationState>;

pub struct IncarnationState {
    pub id: String,
    pub born: u64,
    ended: AtomicBool,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    next: AtomicU64,
}

impl IncarnationState {
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

impl Worker {
    pub fn spawn(
        number: usize,
        service: &str,
        zone: &str,
        address: SocketAddr,
        controls: Vec<SocketAddr>,
        record: Record,
        run: Run,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            number,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: 12,
            controls,
            record,
            run,
            starts: AtomicU64::new(0),
            running: Mutex::new(None),
        });
        worker.start();
        worker
    }

    /// Starts a new incarnation.
    pub fn start(self: &Arc<Self>) {
        let start = self.starts.fetch_add(1, Ordering::SeqCst) + 1;
        let incarnation = Arc::new(IncarnationState {
            id: format!("i-{:02x}{:06x}", self.number, start),
            born: now_ms(),
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
            next: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(self.address).expect("the address of a worker is free");
        listener.set_nonblocking(true).expect("a listener can be made nonblocking");
        *self.running.lock().unwrap() = Some(incarnation.clone());
        let (worker, accepting) = (self.clone(), incarnation.clone());
        thread::spawn(move || accept(worker, accepting, listener));
        let worker = self.clone();
        thread::spawn(move || announce(worker, incarnation));
    }
}

fn accept(worker: Arc<Worker>, incarnation: Incarnation, listener: TcpListener) {
    while !incarnation.has_ended() {
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let key = incarnation.next.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    incarnation.connections.lock().unwrap().insert(key, copy);
                }
                let (worker, incarnation) = (worker.clone(), incarnation.clone());
                thread::spawn(move || {
                    serve(&worker, &incarnation, stream);
                    incarnation.connections.lock().unwrap().remove(&key);
                });
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
}

fn serve(worker: &Arc<Worker>, incarnation: &Incarnation, stream: TcpStream) {
    let mut link = Link::new(stream);
    while let Ok(Some(head)) = link.head() {
        if incarnation.has_ended() {
            return;
        }
        if head.target() == "/healthz" {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nPimentotide-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                incarnation.id
            );
            if link.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let (body, end) = link.body(&head, true, |_| ());
        if end != net::End::Framed {
            return;
        }
        if head.get("pimentotide-expect-instance").is_some_and(|id| id != incarnation.id) {
            let id = head.get("pimentotide-attempt-id").unwrap_or("");
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nPimentotide-Attempt-Id: {id}\r\n\
                 Pimentotide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            let _ = link.stream.write_all(answer.as_bytes());
            continue;
        }
        (worker.run)(worker, incarnation, &mut link, &head, &body);
        if head.get("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
            return;
        }
    }
}

fn announce(worker: Arc<Worker>, incarnation: Incarnation) {
    let mut sequence = 0;
    let mut turn = worker.number;
    while !incarnation.has_ended() {
        sequence += 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            worker.service, worker.address, worker.zone, worker.slots, incarnation.born
        );
        let path = format!("/-/instances/{}", incarnation.id);
        let headers = [("Content-Type", "application/json")];
        let mut acknowledged = false;
        for _ in 0..worker.controls.len() {
            let control = worker.controls[turn % worker.controls.len()];
            let limit = Duration::from_secs(1);
            let sent = net::call(control, "PUT", &path, &headers, body.as_bytes(), limit);
            acknowledged = sent.is_ok_and(|(head, ..)| head.status() == 200);
            if acknowledged || incarnation.has_ended() {
                break;
            }
            turn += 1;
        }
        thread::sleep(if acknowledged { HEARTBEAT } else { Duration::from_millis(200) });
    }
}

/// Stamp of a run.
pub fn stamp(worker: &Worker, head: &Head) -> String {
    format!("{:02x}.{}", worker.number, head.get("pimentotide-attempt-id").unwrap_or(""))
}

/// Ends an answer by the orderly close of its connection.
pub fn close(link: &mut Link) {
    let _ = link.stream.shutdown(Shutdown::Write);
    let _ = link.stream.set_read_timeout(Some(Duration::from_secs(2)));
    let mut rest = [0; 1024];
    while matches!(link.stream.read(&mut rest), Ok(n) if n > 0) {}
}
