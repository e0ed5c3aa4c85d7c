//! Deployment of real processes over loopback sockets, for tests.
//!
//! Three control replicas and the entries run as separate processes; the upstreams are
//! stand-ins in the tests. Messages come from the fixtures of the adapter, which alone
//! defines the names on the wire.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use pimentotide_process::{Process, free_ports};
use pimentotide_wire::{Template, normalize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time limit of each wait for an expected state.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const CONTROLS: [u8; 3] = [1, 2, 3];
/// Token of the calls between processes.
pub(crate) const TOKEN: &str = "token-of-this-test";
/// Binary under test.
const BINARY: &str = env!("CARGO_BIN_EXE_pimentotide");
/// Host of the first entry; others follow.
pub(crate) const ENTRY: u8 = 4;

/// Fills in a fixture of the adapter.
pub(crate) fn fixture(name: &str, values: &[(&str, &str)]) -> String {
    Template::open(name).unwrap().fill(values)
}

/// Replaces a text in the body of a message, and sets its length.
pub(crate) fn edit_body(message: &str, from: &str, to: &str) -> String {
    let (head, body) = message.split_once("\r\n\r\n").unwrap();
    let edited = body.replace(from, to);
    let length = |body: &str| format!("Content-Length: {}", body.len());
    let head = head.replace(&length(body), &length(&edited));
    format!("{head}\r\n\r\n{edited}")
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for entry in fs::read_dir(self.folder.path()).unwrap().flatten() {
                if entry.path().extension().is_some_and(|e| e == "log") {
                    let text = fs::read_to_string(entry.path()).unwrap_or_default();
                    println!("{}:\n{text}", entry.path().display());
                }
            }
        }
    }
}

/// Running deployment; its logs are printed if the test fails.
pub(crate) struct Deployment {
    pub(crate) folder: tempfile::TempDir,
    network: u8,
    port: u16,
    pub(crate) controls: Vec<Process>,
    pub(crate) entries: Vec<Process>,
}

impl Deployment {
    /// Starts all processes, each on its own address.
    pub(crate) fn start(network: u8, entries: u8) -> Self {
        Self::start_with(network, entries, |_| Vec::new())
    }

    /// Starts all processes, each with the environment variables that `environment` returns for
    /// its host.
    pub(crate) fn start_with<'a, E>(network: u8, entries: u8, environment: E) -> Self
    where
        E: Fn(u8) -> Vec<(&'static str, &'a Path)>,
    {
        let folder = tempfile::tempdir().unwrap();
        let hosts: Vec<IpAddr> = (1..ENTRY + entries).map(|host| ip(network, host)).collect();
        let port = free_ports(&hosts).unwrap();
        let start = |host: u8, role: &str| {
            let path = settings(folder.path(), network, host, port, role);
            Process::spawn_with(Path::new(BINARY), "serve", &path, &environment(host)).unwrap()
        };
        let controls = CONTROLS.map(|host| start(host, "control")).into();
        let entries = (ENTRY..ENTRY + entries).map(|host| start(host, "entry"));
        Self {
            network,
            port,
            controls,
            entries: entries.collect(),
            folder,
        }
    }

    /// Starts an agent beside an engine, on a host of its own.
    pub(crate) fn spawn_agent(&self, host: u8, engine: SocketAddr) -> Process {
        let path = settings(self.folder.path(), self.network, host, self.port, "agent");
        let text = fs::read_to_string(&path).unwrap();
        fs::write(&path, format!("{text}engine: \"{engine}\"\n")).unwrap();
        let binary = Path::new(env!("CARGO_BIN_EXE_pimentotide"));
        Process::spawn_with(binary, "serve", &path, &[]).unwrap()
    }

    /// Reserves addresses without starting a process; the test provides control replicas at the first
    /// port of their hosts.
    pub(crate) fn reserve(network: u8) -> Self {
        let hosts: Vec<IpAddr> = (1..=ENTRY).map(|host| ip(network, host)).collect();
        Self {
            network,
            port: free_ports(&hosts).unwrap(),
            controls: Vec::new(),
            entries: Vec::new(),
            folder: tempfile::tempdir().unwrap(),
        }
    }

    /// Starts the first entry of reserved addresses.
    pub(crate) fn start_entry(&mut self) {
        let path = settings(self.folder.path(), self.network, ENTRY, self.port, "entry");
        let entry = Process::spawn(Path::new(BINARY), "serve", &path).unwrap();
        self.entries.push(entry);
    }

    /// Kills a control replica and starts it again with its data.
    pub(crate) fn restart_control(&mut self, host: u8) {
        let number = self.control_number(host);
        let control = &mut self.controls[number];
        control.kill();
        let path = self.folder.path().join(format!("control{host}.yaml"));
        *control = Process::spawn(Path::new(BINARY), "serve", &path).unwrap();
    }

    /// Starts a control replica with an empty disk at a host that has none.
    pub(crate) fn add_control(&mut self, host: u8) {
        let path = settings(self.folder.path(), self.network, host, self.port, "control");
        self.controls.push(self.spawn_later(&path));
    }

    /// Kills a control replica and starts it again with an empty disk.
    pub(crate) fn wipe_control(&mut self, host: u8) {
        let number = self.control_number(host);
        self.controls[number].kill();
        fs::remove_dir_all(self.data(host)).unwrap();
        let path = self.folder.path().join(format!("control{host}.yaml"));
        self.controls[number] = self.spawn_later(&path);
    }

    /// Returns the position of a control replica in `controls`; one that was added later is the last.
    pub(crate) fn control_number(&self, host: u8) -> usize {
        let first = CONTROLS.iter().position(|c| *c == host);
        first.unwrap_or(self.controls.len() - 1)
    }

    /// Returns the data folder of a control replica.
    pub(crate) fn data(&self, host: u8) -> PathBuf {
        self.folder.path().join(format!("data{host}"))
    }

    /// Names this replica alone as a seed in the settings of a control replica.
    pub(crate) fn set_seed(&self, host: u8, seed: u8) {
        let path = self.folder.path().join(format!("control{host}.yaml"));
        let text = fs::read_to_string(&path).unwrap();
        let line = text.lines().find(|l| l.starts_with("seeds: ")).unwrap();
        let seeds = format!("seeds: [\"{}\"]", self.control(seed));
        fs::write(&path, text.replace(line, &seeds)).unwrap();
    }

    /// Starts a process that is not part of the first start of the deployment.
    fn spawn_later(&self, path: &Path) -> Process {
        let text = fs::read_to_string(path).unwrap();
        let later = text.replace("first_start: true", "first_start: false");
        fs::write(path, later).unwrap();
        Process::spawn(Path::new(BINARY), "serve", path).unwrap()
    }

    /// Waits until a control replica has logged `text`.
    pub(crate) async fn wait_for_control_log(&self, host: u8, text: &str) {
        let limit = Instant::now() + WAIT_TIMEOUT;
        while !self.control_log(host).contains(text) {
            assert!(Instant::now() < limit, "replica {host} lacks {text}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until all first control replicas are voters.
    pub(crate) async fn wait_for_voters(&self) {
        for host in CONTROLS {
            let limit = Instant::now() + WAIT_TIMEOUT;
            let votes = |line: &str| ["follower", "leader"].iter().any(|r| line.contains(r));
            loop {
                let log = self.control_log(host);
                let mut roles = log.lines().filter(|l| l.contains("\"role_changed\""));
                if roles.any(|l| l.split("\"role\":").nth(1).is_some_and(votes)) {
                    break;
                }
                assert!(Instant::now() < limit, "replica {host} does not vote");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Returns the log of a control replica.
    pub(crate) fn control_log(&self, host: u8) -> String {
        let name = format!("control{host}.log");
        fs::read_to_string(self.folder.path().join(name)).unwrap()
    }

    /// Returns the address of a host at an offset from the first port.
    pub(crate) fn address(&self, host: u8, offset: u16) -> SocketAddr {
        SocketAddr::new(ip(self.network, host), self.port + offset)
    }

    /// Returns the address of a replica for operators and upstreams.
    pub(crate) fn control(&self, host: u8) -> SocketAddr {
        self.address(host, 2)
    }

    /// Returns the value of a metric of an entry, counted from 0; 0 if it is absent.
    pub(crate) async fn entry_metric(&self, number: u8, series: &str) -> u64 {
        let address = self.address(ENTRY + number, metrics_offset("entry"));
        let request = "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
        let answer = wait_for_answer(address, request, "HTTP/1.1 200").await;
        let value = answer.lines().find_map(|l| l.strip_prefix(series));
        value.map_or(0, |v| v.trim().parse().unwrap())
    }

    /// Returns the address of an entry for callers, counted from 0.
    pub(crate) fn entry(&self, number: u8) -> SocketAddr {
        self.address(ENTRY + number, 4)
    }

    /// Waits until each entry has these upstreams.
    pub(crate) async fn wait_for_upstreams(&self, names: &[&str]) {
        let limit = Instant::now() + WAIT_TIMEOUT;
        let is_new = |line: &str, name: &str| {
            line.contains("\"upstream_changed\"") && line.contains(&format!("\"{name}\""))
        };
        for number in 0..self.entries.len() as u8 {
            loop {
                let log = self.entry_log(number);
                if names.iter().all(|n| log.lines().any(|l| is_new(l, n))) {
                    break;
                }
                assert!(Instant::now() < limit, "entry {number} misses an upstream");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Waits until an entry has logged `text`; lines are written after what they tell of.
    pub(crate) async fn wait_for_log(&self, number: u8, text: &str) {
        let limit = Instant::now() + WAIT_TIMEOUT;
        loop {
            let log = self.entry_log(number);
            if log.contains(text) {
                return;
            }
            assert!(Instant::now() < limit, "entry {number} lacks {text}: {log}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the log of an entry, counted from 0.
    pub(crate) fn entry_log(&self, number: u8) -> String {
        let name = format!("entry{}.log", ENTRY + number);
        fs::read_to_string(self.folder.path().join(name)).unwrap()
    }
}

fn ip(network: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 9, network, host))
}

fn settings(folder: &Path, network: u8, host: u8, port: u16, role: &str) -> PathBuf {
    let own = ip(network, host);
    let seeds: Vec<String> = CONTROLS
        .map(|c| format!("\"{}:{}\"", ip(network, c), port + 2))
        .into();
    let text = format!(
        "role: {role}\ninstance: i{host}\nzone: z1\nip: {own}\nports: [{port}, {}]\nseeds: [{}]\n\
         first_start: true\ndata: {}\nlisten: {{callers: \"{own}:{}\", ready: \"{own}:{}\", \
         control: \"{own}:{}\", directory: \"{own}:{}\"}}\nmetrics: \"{own}:{}\"\n\
         token: {TOKEN}\nbounds: {{revoke_ms: 5000, grace_s: 4}}\n",
        port + 1,
        seeds.join(", "),
        folder.join(format!("data{host}")).display(),
        port + 4,
        port + 5,
        port + 2,
        port + 3,
        port + metrics_offset(role),
    );
    let path = folder.join(format!("{role}{host}.yaml"));
    fs::write(&path, text).unwrap();
    path
}

/// Returns the offset of the metrics, at a port that the role does not listen on.
fn metrics_offset(role: &str) -> u16 {
    if role == "control" { 4 } else { 2 }
}

/// Sends a request and returns the answer without its date.
pub(crate) async fn send_request(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let text = String::from_utf8_lossy(&answer).into_owned();
    Some(normalize(&text))
}

/// Repeats the request until the answer begins with `start`.
pub(crate) async fn wait_for_answer(address: SocketAddr, request: &str, start: &str) -> String {
    let limit = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = send_request(address, request).await;
        if let Some(answer) = answer.as_ref().filter(|a| a.starts_with(start)) {
            return answer.clone();
        }
        assert!(
            Instant::now() < limit,
            "{address} answered {answer:?} instead of {start}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Announces a stand-in upstream.
pub(crate) async fn announce(control: SocketAddr, name: &str, address: SocketAddr) {
    let address = address.to_string();
    let values = [("name", name), ("address", &address[..]), ("sequence", "1")];
    wait_for_answer(control, &fixture("announce.http", &values), "HTTP/1.1 200").await;
}
