//! Helpers of the review's scripts: processes, an operator, a client and a stand-in worker.
//! Only the standard library is used.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub control: u16,
    pub directory: u16,
    pub worker: u16,
    pub calls: u16,
}

impl From<u16> for Ports {
    fn from(base: u16) -> Self {
        Ports {
            callers: base,
            ready: base + 1,
            control: base + 2,
            directory: base + 3,
            worker: base + 4,
            calls: base + 8,
        }
    }
}

/// One run of a script.
pub struct Run {
    pub dir: PathBuf,
    record: Mutex<File>,
    start: Instant,
    pub ports: Ports,
    net: (u8, u8),
    nodes: Mutex<BTreeMap<String, Node>>,
    /// Whether the script ends, so that nothing more is started.
    over: AtomicBool,
    pub trouble: bool,
    /// Workers that spoil some of their streams, and give some of their other answers without a length.
    /// Each entry is a worker with the seconds from and until which it does so.
    pub faulty: Mutex<Vec<(String, f64, f64)>>,
    answers: AtomicU64,
}

struct Node {
    child: Child,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

impl Run {
    /// Opens `record.txt` in the folder named by `CASE_DIR`, and a temporary folder.
    pub fn open(name: &str) -> Arc<Run> {
        let case = PathBuf::from(std::env::var("CASE_DIR").unwrap_or_else(|_| ".".into()));
        let file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(case.join("record.txt"));
        let record = file.expect("record.txt can be written");
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-{name}-{pid}"));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let net = ((20 + pid % 200) as u8, ((pid / 200) % 250) as u8);
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        let run = Run {
            ports: free_ports(net),
            dir,
            record: Mutex::new(record),
            start: Instant::now(),
            net,
            nodes: Mutex::default(),
            over: AtomicBool::new(false),
            trouble,
            faulty: Mutex::default(),
            answers: AtomicU64::new(0),
        };
        run.note(&format!("case {name}, with the disruption: {trouble}"));
        Arc::new(run)
    }

    /// Starts a stand-in worker as a process of its own.
    pub fn start_worker(&self, name: &str, zone: &str, machine: u8, faulty: bool) {
        let p = self.ports;
        let mut nodes = self.nodes.lock().unwrap();
        if self.over.load(Ordering::SeqCst) {
            return;
        }
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(name))
            .unwrap();
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["worker", name, zone])
            .args([
                machine.to_string(),
                self.net.0.to_string(),
                self.net.1.to_string(),
                p.callers.to_string(),
            ])
            .arg(u8::from(faulty).to_string())
            .arg((unix_ms() - self.start.elapsed().as_millis() as u64).to_string())
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(Stdio::null())
            .spawn()
            .expect("this program can be started");
        self.note(&format!("worker {name} starts"));
        nodes.insert(name.to_owned(), Node { child });
    }

    /// What a worker that is a process of its own has recorded.
    pub fn worker_notes(&self, name: &str) -> String {
        fs::read_to_string(self.dir.join(name)).unwrap_or_default()
    }

    /// The run as a worker process sees it; it records to its standard output.
    pub fn attach(net: (u8, u8), base: u16, started: u64) -> Arc<Run> {
        let record = OpenOptions::new()
            .write(true)
            .open("/dev/stdout")
            .expect("standard output");
        Arc::new(Run {
            ports: Ports::from(base),
            dir: PathBuf::new(),
            record: Mutex::new(record),
            start: Instant::now() - Duration::from_millis(unix_ms().saturating_sub(started)),
            net,
            nodes: Mutex::default(),
            over: AtomicBool::new(false),
            trouble: true,
            faulty: Mutex::default(),
            answers: AtomicU64::new(0),
        })
    }

    /// Seconds since the start of the script.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    /// Waits until this second of the script.
    pub fn until(&self, second: f64) {
        let left = second - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }

    pub fn ip(&self, machine: u8) -> String {
        format!("127.{}.{}.{}", self.net.0, self.net.1, machine)
    }

    pub fn address(&self, machine: u8, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(machine)).parse().unwrap()
    }

    /// Writes the settings of a machine as `deploy/settings.yaml` lays them out.
    pub fn settings(
        &self,
        name: &str,
        role: &str,
        machine: u8,
        zone: &str,
        seeds: &[u8],
        first: bool,
    ) {
        let p = self.ports;
        let ip = self.ip(machine);
        let seeds: Vec<String> = seeds
            .iter()
            .map(|s| format!("\"{}:{}\"", self.ip(*s), p.control))
            .collect();
        let mut text = format!(
            "role: \"{role}\"\ninstance: \"{name}\"\nzone: \"{zone}\"\nip: \"{ip}\"\nlisten:\n"
        );
        match role {
            "entry" => {
                text += &format!(
                    "  callers: \"{ip}:{}\"\n  ready: \"{ip}:{}\"\n",
                    p.callers, p.ready
                );
                text += &format!("  directory: \"{ip}:{}\"\n", p.directory);
            }
            _ => text += &format!("  control: \"{ip}:{}\"\n", p.control),
        }
        text += &format!(
            "ports: [{}, {}]\nseeds: [{}]\nfirst_start: {first}\n",
            p.calls,
            p.calls + 15,
            seeds.join(",")
        );
        if role == "control" {
            text += &format!("data: \"{}\"\n", self.dir.join(name).join("disk").display());
        }
        // Bounds of Accra Order Drafting Router Fleet.
        text += "descriptors: 4100\nloss: 1\nbounds:\n  revoke_ms: 5000\n  grace_s: 8\n  repeat_ratio: 0.2\n  repeat_window_s: 10\n  repeat_allowance: 94\n  keep_s: 5\n  stall_ms: 1500\n  fenced: true\n";
        text += "token: pimentotide-internal-calls\nlog: info, actix_server=warn, jsonrpsee_server=warn\n";
        fs::create_dir_all(self.dir.join(name)).unwrap();
        fs::write(self.dir.join(name).join("settings.conf"), text).unwrap();
    }

    /// Starts the program of a machine by the command of the deploy file.
    pub fn start(&self, name: &str) {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(name).join("log"))
            .unwrap();
        let errors = log.try_clone().unwrap();
        let child = Command::new("target/release/pimentotide")
            .arg("serve")
            .arg(self.dir.join(name).join("settings.conf"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|e| {
                self.note(&format!("cannot start the program: {e}"));
                std::process::exit(NOT_RUN);
            });
        self.note(&format!("{name} starts"));
        self.nodes
            .lock()
            .unwrap()
            .insert(name.to_owned(), Node { child });
    }

    pub fn signal(&self, name: &str, signal: i32) {
        let nodes = self.nodes.lock().unwrap();
        if let Some(node) = nodes.get(name) {
            // SAFETY: sends a signal to a process that this script started and has not waited for.
            unsafe { kill(node.child.id() as i32, signal) };
        }
        let what = match signal {
            SIGKILL => "is killed",
            SIGTERM => "gets SIGTERM",
            SIGSTOP => "freezes",
            SIGCONT => "wakes",
            _ => "gets a signal",
        };
        drop(nodes);
        self.note(&format!("{name} {what}"));
    }

    /// Kills a machine and waits for its end.
    pub fn end(&self, name: &str) {
        self.signal(name, SIGKILL);
        if let Some(mut node) = self.nodes.lock().unwrap().remove(name) {
            let _ = node.child.wait();
        }
    }

    /// Waits until a process has ended by itself; true if it did in this time.
    pub fn ended(&self, name: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let mut nodes = self.nodes.lock().unwrap();
            match nodes.get_mut(name).map(|n| n.child.try_wait()) {
                Some(Ok(None)) => {}
                _ => {
                    nodes.remove(name);
                    drop(nodes);
                    self.note(&format!("{name} has ended"));
                    return true;
                }
            }
            drop(nodes);
            sleep_ms(5);
        }
        false
    }

    /// Empties the disk of a machine.
    pub fn wipe(&self, name: &str) {
        let _ = fs::remove_dir_all(self.dir.join(name).join("disk"));
        self.note(&format!("{name} has lost its disk"));
    }

    /// Ends all processes and the script.
    pub fn finish(&self, code: i32, verdict: &str) -> ! {
        self.note(verdict);
        self.note(&format!("exit {code}"));
        println!("{verdict} (exit {code})");
        self.over.store(true, Ordering::SeqCst);
        let nodes = std::mem::take(&mut *self.nodes.lock().unwrap());
        for (_, mut node) in nodes {
            unsafe { kill(node.child.id() as i32, SIGKILL) };
            let _ = node.child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
        std::process::exit(code)
    }

    /// One call of the operator: goes from daemon to daemon, a second for each, until one answers clearly.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &str,
        daemons: &[u8],
        limit: Duration,
    ) -> Option<(u16, f64)> {
        let until = Instant::now() + limit;
        let mut turn = 0;
        while Instant::now() < until {
            let daemon = daemons[turn % daemons.len()];
            turn += 1;
            let to = self.address(daemon, self.ports.control);
            let answer = http(
                to,
                method,
                path,
                &[],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            let told = match &answer {
                Ok(a) => format!("{}", a.status),
                Err(e) => format!("no answer ({e})"),
            };
            self.note(&format!("operator: {method} {path} to {to}: {told}"));
            match answer {
                Ok(a) if a.status < 500 && a.status != 408 && a.status != 429 => {
                    return Some((a.status, self.now()))
                }
                _ => sleep_ms(100),
            }
        }
        None
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, machine: u8, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let ready = self.address(machine, self.ports.ready);
        while Instant::now() < until {
            let answer = http(ready, "GET", "/-/readyz", &[], b"", Duration::from_secs(1));
            if answer.is_ok_and(|a| a.status == 200) {
                self.note(&format!("entry {machine} is ready"));
                return true;
            }
            sleep_ms(100);
        }
        false
    }
}

/// Finds ports that are free on the script's addresses.
fn free_ports(net: (u8, u8)) -> Ports {
    let mut base = 20_000 + (std::process::id() % 300) as u16 * 32;
    loop {
        let free = (0..32).all(|p| {
            [1u8, 2, 3].iter().all(|m| {
                TcpListener::bind((format!("127.{}.{}.{m}", net.0, net.1).as_str(), base + p))
                    .is_ok()
            })
        });
        if free {
            return Ports::from(base);
        }
        base += 32;
    }
}

/// Answer to a call.
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Calls over a new connection.
pub fn http(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    let _ = stream.set_nodelay(true);
    write_request(&mut stream, &to.to_string(), method, path, headers, body)?;
    read_answer(&mut stream, until)
}

/// Sends a request on a connection.
pub fn write_request(
    stream: &mut TcpStream,
    host: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {host}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "PUT" || method == "POST" {
        if method == "PUT" {
            head += "Content-Type: application/json\r\n";
        }
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

fn early(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

/// Reads bytes until `done` says where the part ends.
fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>, until: Instant) -> io::Result<usize> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "no answer in time"));
    }
    stream.set_read_timeout(Some(left))?;
    let mut part = [0; 16 << 10];
    let read = stream.read(&mut part).map_err(|e| match e.kind() {
        io::ErrorKind::WouldBlock => io::Error::new(io::ErrorKind::TimedOut, "no answer in time"),
        _ => e,
    })?;
    buffer.extend_from_slice(&part[..read]);
    Ok(read)
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

/// Reads one whole answer; one that ends early is an error that names what came.
pub fn read_answer(stream: &mut TcpStream, until: Instant) -> io::Result<Answer> {
    let mut buffer = Vec::new();
    let end = loop {
        if let Some(end) = find(&buffer, b"\r\n\r\n") {
            break end;
        }
        if read_more(stream, &mut buffer, until)? == 0 {
            return Err(early(&format!(
                "closed after {} bytes, before the end of a head",
                buffer.len()
            )));
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines
        .next()
        .and_then(|l| l.split(' ').nth(1))
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let headers: BTreeMap<String, String> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let mut rest = buffer.split_off(end + 4);
    let mut body = Vec::new();
    if headers
        .get("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"))
    {
        loop {
            let Some(line) = find(&rest, b"\r\n") else {
                if read_more(stream, &mut rest, until)? == 0 {
                    return Err(early(&format!(
                        "status {status}, then cut after {} bytes of the body",
                        body.len()
                    )));
                }
                continue;
            };
            let size = usize::from_str_radix(String::from_utf8_lossy(&rest[..line]).trim(), 16)
                .unwrap_or(0);
            while rest.len() < line + 2 + size + 2 {
                if read_more(stream, &mut rest, until)? == 0 {
                    return Err(early(&format!(
                        "status {status}, then cut after {} bytes of the body",
                        body.len()
                    )));
                }
            }
            body.extend_from_slice(&rest[line + 2..line + 2 + size]);
            rest = rest.split_off(line + 2 + size + 2);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = headers
        .get("content-length")
        .and_then(|l| l.parse::<usize>().ok())
    {
        while rest.len() < length {
            if read_more(stream, &mut rest, until)? == 0 {
                return Err(early(&format!(
                    "status {status}, then cut after {} of {length} bytes",
                    rest.len()
                )));
            }
        }
        body = rest;
    } else {
        while read_more(stream, &mut rest, until)? > 0 {}
        body = rest;
    }
    Ok(Answer {
        status,
        headers,
        body,
    })
}

/// Request that reached a stand-in worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub worker: String,
    pub zone: String,
    pub id: String,
    /// Whether the worker began to work on it.
    pub ran: bool,
}

/// How a stand-in worker answers.
#[derive(Clone, Copy, PartialEq)]
pub enum Kind {
    /// Works for this time, ms, then answers as a whole.
    Whole(u64),
    /// Sends this many events with this pause, ms.
    Stream(u64, u64),
    /// Sends this many events with this pause, ms, then crashes its worker.
    Crash(u64, u64),
}

/// Stand-in worker: announces itself, answers requests and records them.
pub struct Worker;

impl Worker {
    pub fn start(
        run: &Arc<Run>,
        id: &str,
        service: &str,
        zone: &str,
        machine: u8,
        controls: Vec<u8>,
        arrivals: Arc<Mutex<Vec<Arrival>>>,
    ) {
        let address = run.address(machine, run.ports.worker);
        let listener = TcpListener::bind(address).unwrap_or_else(|e| {
            run.note(&format!("worker {id} cannot listen: {e}"));
            std::process::exit(NOT_RUN);
        });
        let (of, name, place) = (run.clone(), id.to_owned(), zone.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (of, name, place, arrivals) =
                    (of.clone(), name.clone(), place.clone(), arrivals.clone());
                thread::spawn(move || serve_connection(&of, &name, &place, &arrivals, stream));
            }
        });
        let (of, name, service, zone) = (
            run.clone(),
            id.to_owned(),
            service.to_owned(),
            zone.to_owned(),
        );
        thread::spawn(move || {
            let (born, mut sequence, mut turn) = (unix_ms(), 0u64, machine as usize);
            loop {
                sequence += 1;
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
                );
                for _ in 0..controls.len() {
                    let to = of.address(controls[turn % controls.len()], of.ports.control);
                    let path = format!("/-/instances/{name}");
                    let answer = http(
                        to,
                        "PUT",
                        &path,
                        &[],
                        body.as_bytes(),
                        Duration::from_secs(1),
                    );
                    if answer.is_ok_and(|a| a.status / 100 == 2) {
                        break;
                    }
                    turn += 1;
                }
                // About every heartbeatMs.
                sleep_ms(1200);
            }
        });
    }
}

static STAMP: AtomicU64 = AtomicU64::new(1);

fn event(n: u64, id: &str) -> String {
    format!("id: {n}\ndata: piece {n} of {id}\n\n")
}

/// Half of a body of 800 bytes.
pub fn half(id: &str, number: u8) -> String {
    format!("{id} half {number} of 2 {}\n", "x".repeat(380))
}

/// Wrong bytes in place of a piece; its line ends stay.
fn spoil(piece: &str) -> String {
    piece
        .chars()
        .map(|c| if c == '\n' { c } else { '#' })
        .collect()
}

/// Whether this is one in 50 of the answers of a faulty worker.
fn spoils(run: &Run, worker: &str) -> bool {
    let faulty = run.faulty.lock().unwrap();
    let now = run.now();
    let is_now = |f: &&(String, f64, f64)| f.0 == worker && (f.1..f.2).contains(&now);
    if faulty.iter().find(is_now).is_none() {
        return false;
    }
    run.answers.fetch_add(1, Ordering::Relaxed) % 50 == 20
}

fn serve_connection(
    run: &Run,
    worker: &str,
    zone: &str,
    arrivals: &Mutex<Vec<Arrival>>,
    mut stream: TcpStream,
) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let until = Instant::now() + Duration::from_secs(15);
        let end = loop {
            if let Some(end) = find(&buffer, b"\r\n\r\n") {
                break end;
            }
            if !matches!(read_more(&mut stream, &mut buffer, until), Ok(n) if n > 0) {
                return;
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let mut rest = buffer.split_off(end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers: BTreeMap<String, String> = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
            .collect();
        let length: usize = headers
            .get("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        while rest.len() < length {
            if !matches!(read_more(&mut stream, &mut rest, until), Ok(n) if n > 0) {
                return;
            }
        }
        buffer = rest.split_off(length);
        let id = headers
            .get("pimentotide-attempt-id")
            .cloned()
            .unwrap_or_default();
        let expected = headers.get("pimentotide-expect-instance");
        let ran = expected.is_none_or(|e| e == worker);
        let at = run.now();
        arrivals.lock().unwrap().push(Arrival {
            at,
            worker: worker.to_owned(),
            zone: zone.to_owned(),
            id: id.clone(),
            ran,
        });
        if !ran {
            run.note(&format!("worker {worker}: {first} {id}: 421"));
            let text = format!("HTTP/1.1 421 Misdirected Request\r\nPimentotide-Not-Executed: 1\r\nPimentotide-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let stamp = format!("{worker}.{}", STAMP.fetch_add(1, Ordering::Relaxed));
        let kind = kind_of(&first);
        let common = format!("Pimentotide-Attempt-Id: {id}\r\nPimentotide-Server-Stamp: {stamp}\r\nPimentotide-Instance-Load: 1,0,6\r\n");
        let sent = match kind {
            Kind::Whole(work) if spoils(run, worker) => {
                // An answer without a length ends with its connection.
                run.note(&format!(
                    "worker {worker}: {first} {id} begins to answer without a length"
                ));
                let text = format!(
                    "HTTP/1.1 200 OK\r\n{common}Connection: close\r\n\r\n{}",
                    half(&id, 1)
                );
                let sent = stream.write_all(text.as_bytes());
                sleep_ms(work);
                let sent = sent.and_then(|()| stream.write_all(half(&id, 2).as_bytes()));
                let told = if sent.is_ok() {
                    "answered"
                } else {
                    "its caller is gone"
                };
                run.note(&format!(
                    "worker {worker}: {first} {id} ran from {at:.3}: {told}"
                ));
                return;
            }
            Kind::Whole(work) => {
                sleep_ms(work);
                let body = half(&id, 1) + &half(&id, 2);
                let text = format!(
                    "HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(text.as_bytes())
            }
            Kind::Stream(events, pause) | Kind::Crash(events, pause) => {
                let text = format!("HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                let mut sent = stream.write_all(text.as_bytes());
                // A stream that is resumed goes on after the last event that its caller has.
                let last: u64 = headers
                    .get("last-event-id")
                    .and_then(|l| l.parse().ok())
                    .unwrap_or(0);
                let spoilt = spoils(run, worker);
                for n in 1 + last
                    ..=events
                        + if matches!(kind, Kind::Crash(..)) {
                            last
                        } else {
                            0
                        }
                {
                    if sent.is_err() {
                        break;
                    }
                    sleep_ms(pause);
                    let mut event = event(n, &id);
                    if spoilt && (6..=7).contains(&n) {
                        // These two come with the next one; the second is wrong bytes.
                        continue;
                    }
                    if spoilt && n == 8 {
                        event = format!(
                            "{}{}{event}",
                            crate::standin::event(6, &id),
                            spoil(&crate::standin::event(7, &id))
                        );
                        run.note(&format!("worker {worker}: spoils piece 7 of {id}"));
                    }
                    sent = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
                }
                if matches!(kind, Kind::Crash(..)) {
                    sleep_ms(pause);
                    run.note(&format!(
                        "worker {worker}: {first} {id} ran from {at:.3}: it crashes the worker"
                    ));
                    // SAFETY: ends this process, which is a worker of its own.
                    unsafe { kill(std::process::id() as i32, SIGKILL) };
                }
                sent.and_then(|()| stream.write_all(b"0\r\n\r\n"))
            }
        };
        let told = if sent.is_ok() {
            "answered"
        } else {
            "its caller is gone"
        };
        run.note(&format!(
            "worker {worker}: {first} {id} ran from {at:.3}: {told}"
        ));
        if sent.is_err() {
            return;
        }
    }
}

/// How a worker answers a request: the last part of its path says it.
fn kind_of(first: &str) -> Kind {
    let path = first.split(' ').nth(1).unwrap_or_default();
    let last = path.rsplit('/').next().unwrap_or_default();
    let mut parts = last.split('-');
    match (parts.next(), parts.next(), parts.next()) {
        (Some("crash"), Some(n), Some(p)) => {
            Kind::Crash(n.parse().unwrap_or(0), p.parse().unwrap_or(10))
        }
        (Some("stream"), Some(n), Some(p)) => {
            Kind::Stream(n.parse().unwrap_or(1), p.parse().unwrap_or(10))
        }
        (Some("work"), Some(ms), _) => Kind::Whole(ms.parse().unwrap_or(10)),
        _ => Kind::Whole(20),
    }
}

/// Configuration of one plain service with a route of each kind.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, timeout: u64, more: &str| {
        format!("{{\"name\":\"{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":300,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2,\"public\":true,\"sticky\":false{more}}}")
    };
    format!(
        "{{\"version\":{version},\"routeTable\":[{},{},{}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route("read", "idempotent", 2000, ""),
        route("lodge", "non_idempotent", 2000, ""),
        route("draft", "streaming", 8000, ",\"resumable\":true,\"targetGapMs\":120"),
    )
}
