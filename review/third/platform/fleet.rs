//! Starts the product's processes on loopback addresses, with settings filled in as the deploy file's
//! template does, and ends them.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

/// Signals on Linux, on x86-64 and arm64 alike.
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;
const SIGKILL: usize = 9;
/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize) -> i32;
}

/// Program of all roles in `deploy/system.toml`.
const PROGRAM: &str = "target/release/pimentotide";
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports(pub u16);

impl Ports {
    pub fn callers(self) -> u16 {
        self.0
    }
    pub fn ready(self) -> u16 {
        self.0 + 1
    }
    pub fn control(self) -> u16 {
        self.0 + 2
    }
    pub fn directory(self) -> u16 {
        self.0 + 3
    }
    pub fn metrics(self) -> u16 {
        self.0 + 4
    }
    pub fn server(self) -> u16 {
        self.0 + 5
    }
    pub fn inner(self) -> (u16, u16) {
        (self.0 + 10, self.0 + 25)
    }
}

/// One machine with its process.
pub struct Node {
    pub name: String,
    pub ip: String,
    pub settings: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command
            .args(["serve", &self.settings.to_string_lossy()])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("LANG", "C.UTF-8")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: one system call on numbers, which is allowed between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn wake(&self) {
        self.signal(SIGCONT);
    }

    fn signal(&self, signal: i32) {
        let id = self.child.as_ref().and_then(|c| i32::try_from(c.id()).ok());
        if let Some(id) = id {
            // SAFETY: takes two numbers; the process is a child that has not been waited for.
            unsafe { kill(id, signal) };
        }
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Small deployment: control replicas and entries over three zones.
pub struct Fleet {
    pub control: Vec<Node>,
    pub entries: Vec<Node>,
    pub ports: Ports,
    /// First two numbers of all addresses of the deployment.
    prefix: String,
    folder: PathBuf,
}

impl Fleet {
    /// Starts everything and waits until the control replicas have a leader.
    pub fn start(controls: usize, entries: usize) -> io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("pimentotide-case-{id}"));
        std::fs::create_dir_all(&folder)?;
        let prefix = format!("127.{}", 64 + id % 128);
        let ports = free_ports(&prefix, id)?;
        let mut fleet = Self {
            control: Vec::new(),
            entries: Vec::new(),
            ports,
            prefix,
            folder,
        };
        let seeds: Vec<String> = (0..controls.min(3))
            .map(|n| format!("\"{}:{}\"", fleet.ip(1, n), ports.control()))
            .collect();
        let seeds = format!("[{}]", seeds.join(", "));
        for n in 0..controls {
            let node = fleet.node("control", 1, n, &seeds, true)?;
            fleet.control.push(node);
        }
        for n in 0..entries {
            let node = fleet.node("entry", 2, n, &seeds, true)?;
            fleet.entries.push(node);
        }
        for node in fleet.control.iter_mut().chain(&mut fleet.entries) {
            node.start()?;
        }
        Ok(fleet)
    }

    /// Adds a machine of the core with an empty disk, which is told of some that run.
    pub fn add_control(&mut self, known: &[usize]) -> io::Result<()> {
        let seeds = known.iter().map(|n| {
            let address = self.control[*n].address(self.ports.control());
            format!("\"{address}\"")
        });
        let seeds = format!("[{}]", seeds.collect::<Vec<_>>().join(", "));
        let mut node = self.node("control", 1, self.control.len(), &seeds, false)?;
        node.start()?;
        self.control.push(node);
        Ok(())
    }

    /// Address of machine `n` of a class; class 3 is for servers.
    pub fn ip(&self, class: u8, n: usize) -> String {
        format!("{}.{class}.{}", self.prefix, n + 1)
    }

    fn node(
        &self,
        role: &str,
        class: u8,
        n: usize,
        seeds: &str,
        first_start: bool,
    ) -> io::Result<Node> {
        let (ip, ports) = (self.ip(class, n), self.ports);
        let name = format!("{role}-{n}");
        let (first, last) = ports.inner();
        let data = self.folder.join(format!("{name}-data"));
        let listen = match role {
            "control" => format!("  control: \"{ip}:{}\"\n", ports.control()),
            _ => format!(
                "  callers: \"{ip}:{}\"\n  ready: \"{ip}:{}\"\n  directory: \"{ip}:{}\"\n",
                ports.callers(),
                ports.ready(),
                ports.directory()
            ),
        };
        let disk = match role {
            "control" => format!("data: \"{}\"\n", data.display()),
            _ => String::new(),
        };
        let zone = ZONES[n % ZONES.len()];
        let text = format!(
            "role: \"{role}\"\ninstance: \"{name}\"\nzone: \"{zone}\"\nip: \"{ip}\"\nlisten:\n{listen}\
             ports: [{first}, {last}]\nseeds: {seeds}\nfirst_start: {first_start}\n{disk}descriptors: 4096\n\
             loss: 1\nbounds:\n  revoke_ms: 5000\n  settle_ms: 3000\n  grace_s: 8.0\n  \
             repeat_ratio: 0.2\n  repeat_window_s: 10\n  repeat_allowance: 94\n  keep_s: 5\n  \
             stall_ms: 1500\n  fenced: true\nmetrics: {ip}:{}\ntoken: pimentotide-internal-calls\n\
             log: info, actix_server=warn, jsonrpsee_server=warn\n",
            ports.metrics()
        );
        let settings = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text)?;
        Ok(Node {
            log: self.folder.join(format!("{name}.log")),
            name,
            ip,
            settings,
            child: None,
        })
    }

    /// Addresses for operators and servers.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let port = self.ports.control();
        self.control.iter().map(|n| n.address(port)).collect()
    }

    /// Waits until every entry answers that it is ready.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let end = Instant::now() + within;
        self.entries.iter().all(|entry| {
            let address = entry.address(self.ports.ready());
            while Instant::now() < end {
                let answer = http::call(address, "GET", "/-/readyz", "", Duration::from_secs(1));
                if matches!(answer, Ok((200, _))) {
                    return true;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.control.clear();
        self.entries.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Finds a range of ports that nothing uses on the deployment's addresses.
fn free_ports(prefix: &str, id: u32) -> io::Result<Ports> {
    for turn in 0..200_u32 {
        let base = 20_000 + ((id * 37 + turn * 101) % 10_000) as u16;
        let free = (0..30).all(|n| {
            let bound = |ip: &str| TcpListener::bind((ip, base + n)).is_ok();
            (1..=3).all(|class| bound(&format!("{prefix}.{class}.1")))
        });
        if free {
            return Ok(Ports(base));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
