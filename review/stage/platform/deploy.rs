//! A small deployment: the project's programs as the deploy file starts them, on loopback addresses.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::net;

pub const CALLERS: u16 = 18_227;
pub const READY: u16 = 18_220;
pub const CONTROL: u16 = 18_229;
pub const DIRECTORY: u16 = 18_231;
pub const CALLS: u16 = 17_340;
pub const WORKER: u16 = 18_122;

/// Machine with one process.
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub ip: Ipv4Addr,
    child: Mutex<Option<Child>>,
}

/// Running deployment; its processes end when it is dropped.
pub struct Deployment {
    pub folder: PathBuf,
    net: (u8, u8),
    pub machines: Vec<Machine>,
    pub bounds: &'static str,
}

const ZONES: [&str; 3] = ["accra-a", "accra-b", "tema-c"];
/// Bounds of the small site, as the template of the settings names them.
pub const BOUNDS: &str = "  revoke_ms: 5000\n  settle_ms: 3000\n  grace_s: 8\n  repeat_ratio: 0.2\n  \
    repeat_window_s: 10\n  repeat_allowance: 94\n  keep_s: 5\n  stall_ms: 1500\n  fenced: true\n";

impl Deployment {
    /// Starts `controls` control replicas and `entries` entries.
    pub fn start(controls: usize, entries: usize) -> io::Result<Self> {
        let net = free_net()?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut deployment = Self { folder, net, machines: Vec::new(), bounds: BOUNDS };
        for n in 0..controls {
            deployment.add("control", n, 1 + n as u8);
        }
        for n in 0..entries {
            deployment.add("entry", n, 41 + n as u8);
        }
        for index in 0..deployment.machines.len() {
            deployment.spawn(index, true)?;
        }
        Ok(deployment)
    }

    fn add(&mut self, role: &'static str, n: usize, host: u8) {
        self.machines.push(Machine {
            name: format!("{role}-{}-{}", ZONES[n % 3], n / 3 + 1),
            role,
            ip: self.ip(host),
            child: Mutex::new(None),
        });
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(host)), port)
    }

    pub fn of(&self, role: &str) -> Vec<usize> {
        let all = 0..self.machines.len();
        all.filter(|m| self.machines[*m].role == role).collect()
    }

    pub fn at(&self, machine: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.machines[machine].ip), port)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.of("control").into_iter().map(|m| self.at(m, CONTROL)).collect()
    }

    /// Starts the process of a machine.
    pub fn spawn(&self, index: usize, first: bool) -> io::Result<()> {
        let machine = &self.machines[index];
        let file = self.folder.join(format!("{}.yaml", machine.name));
        fs::write(&file, self.settings(machine, first))?;
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new("target/release/pimentotide")
            .arg("serve")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *machine.child.lock().unwrap() = Some(child);
        Ok(())
    }

    fn settings(&self, machine: &Machine, first: bool) -> String {
        let ip = machine.ip;
        let zone = machine.name.split_once('-').unwrap().1.rsplit_once('-').unwrap().0;
        let listen = match machine.role {
            "control" => format!("  control: \"{ip}:{CONTROL}\"\n"),
            _ => format!(
                "  callers: \"{ip}:{CALLERS}\"\n  ready: \"{ip}:{READY}\"\n  directory: \"{ip}:{DIRECTORY}\"\n"
            ),
        };
        let controls = self.of("control").into_iter();
        // Later files name machines that run.
        let named = controls.filter(|m| first || self.machines[*m].child.lock().unwrap().is_some());
        let seeds: Vec<String> = named.take(3).map(|m| format!("\"{}\"", self.at(m, CONTROL))).collect();
        let data = match machine.role {
            "control" => format!("data: \"{}/data-{}\"\n", self.folder.display(), machine.name),
            _ => String::new(),
        };
        format!(
            "role: \"{}\"\ninstance: \"{}\"\nzone: \"{zone}\"\nip: \"{ip}\"\nlisten:\n{listen}ports: [{CALLS},{}]\n\
             seeds: [{}]\nfirst_start: {first}\n{data}descriptors: 4100\nloss: 1\nbounds:\n{}metrics: {ip}:9464\n\
             token: pimentotide-internal-calls\nlog: info, actix_server=warn, jsonrpsee_server=warn\n",
            machine.role,
            machine.name,
            CALLS + 15,
            seeds.join(","),
            self.bounds,
        )
    }

    /// Adds a core machine with an empty disk to the running deployment.
    pub fn join_core(&mut self) -> io::Result<usize> {
        let n = self.of("control").len();
        self.add("control", n, 1 + n as u8);
        let index = self.machines.len() - 1;
        self.spawn(index, false)?;
        Ok(index)
    }

    /// Empties the disk of a machine whose process has ended.
    pub fn wipe(&self, machine: usize) -> io::Result<()> {
        fs::remove_dir_all(self.folder.join(format!("data-{}", self.machines[machine].name)))
    }

    /// Sends SIGTERM to the process of a machine.
    pub fn stop(&self, machine: usize) {
        if let Some(child) = self.machines[machine].child.lock().unwrap().as_ref() {
            net::terminate(child.id());
        }
    }

    /// Whether the process of a machine has ended.
    pub fn has_ended(&self, machine: usize) -> bool {
        let mut child = self.machines[machine].child.lock().unwrap();
        if child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_)))) {
            *child = None;
        }
        child.is_none()
    }

    /// Kills the process of a machine with SIGKILL.
    pub fn kill(&self, machine: usize) {
        if let Some(mut child) = self.machines[machine].child.lock().unwrap().take() {
            // Fails only if the process has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Puts a configuration in force; waits until a control replica acknowledges it.
    pub fn configure(&self, document: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            for control in self.controls() {
                let headers = [("Content-Type", "application/json")];
                let limit = Duration::from_secs(1);
                let sent = net::call(control, "PUT", "/-/config", &headers, document.as_bytes(), limit);
                if sent.is_ok_and(|(head, ..)| head.status() == 200) {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, machine: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let limit = Duration::from_millis(500);
            let asked = net::call(self.at(machine, READY), "GET", "/-/readyz", &[], b"", limit);
            if asked.is_ok_and(|(head, ..)| head.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in 0..self.machines.len() {
            self.kill(machine);
        }
        if std::env::var("KEEP").is_err() {
            // The folder is left behind if it cannot be removed.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Finds a loopback network on which the ports of the deployment are free.
fn free_net() -> io::Result<(u8, u8)> {
    let seed = std::process::id() as u64 ^ crate::now_ms();
    for n in 0..200u64 {
        let draw = seed.wrapping_add(n).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        let net = (20 + (draw % 200) as u8, (draw / 200 % 250) as u8);
        let free = (1..80u8).all(|host| {
            let ip = Ipv4Addr::new(127, net.0, net.1, host);
            TcpListener::bind((ip, CALLS)).is_ok()
        });
        if free {
            return Ok(net);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
