//! The processes under test, with the proxies and stand-in upstreams around them.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use pimentotide_process::{Process, free_ports};
use rand::RngExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, RwLock};

use crate::caller::{Caller, RequestIds};
use crate::history::{Disturbance, History, Recorder, Target};
use crate::proxy::{Forwarding, Proxy};
use crate::upstream::{Mode, StandIn};
use crate::{SoakError, SoakOptions, operator};
use pimentotide_wire::{Message, Template, read_message};

/// Number of replicas that the settings name.
const SEEDS: usize = 3;
/// Number of entries.
pub(crate) const ENTRIES: usize = 3;
/// Number of stand-in upstreams.
pub(crate) const UPSTREAMS: usize = 5;
/// Host of the first replacement of a replica.
const FIRST_REPLACEMENT: usize = 100;
/// Timeout of an operator's request.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the exit of a process that is stopping.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// A process that can be restarted on the same settings.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) process: Process,
    settings: PathBuf,
    pub(crate) data: PathBuf,
}

/// The deployment under test.
#[derive(Debug)]
pub(crate) struct Cluster {
    binary: PathBuf,
    seed: u64,
    folder: tempfile::TempDir,
    network: u8,
    port: u16,
    /// Seeds that the settings name, by the number of the replica.
    seeds: std::sync::Mutex<Vec<SocketAddr>>,
    terms: Terms,
    /// Keys that fill the configuration up, each after a comma.
    pub(crate) extra_keys: String,
    /// Number of replacements so far.
    replacements: AtomicUsize,
    /// Shared by faults of replicas; exclusive while the loss of a disk needs all others sound.
    pub(crate) soundness: RwLock<()>,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) request_ids: Arc<RequestIds>,
    pub(crate) call: Template,
    declare: Template,
    read: Template,
    pub(crate) controls: Vec<Mutex<Member>>,
    pub(crate) entries: Vec<Mutex<Member>>,
    pub(crate) upstreams: Vec<StandIn>,
    pub(crate) control_proxies: Vec<Proxy>,
    pub(crate) entry_proxies: Vec<Proxy>,
}

impl Cluster {
    /// Starts all processes and upstreams.
    pub(crate) async fn spawn(options: &SoakOptions) -> Result<Self, SoakError> {
        let folder = tempfile::tempdir()?;
        let terms = Terms {
            loss: options.loss,
            grace_s: options.grace_s(),
        };
        let replicas = 2 * terms.loss + 1;
        let hosts: Vec<IpAddr> = (1..=replicas + ENTRIES)
            .map(|host| ip(options.network, host))
            .collect();
        let port = free_ports(&hosts);
        let port = port.ok_or_else(|| SoakError::Process("no free ports".to_owned()))?;
        let layout = Layout {
            folder: folder.path(),
            network: options.network,
            port,
            terms,
        };
        let seeds: Vec<SocketAddr> = (0..replicas)
            .map(|number| SocketAddr::new(ip(options.network, 1 + number), port + 2))
            .collect();
        let (mut controls, mut entries) = (Vec::new(), Vec::new());
        let (mut control_proxies, mut entry_proxies) = (Vec::new(), Vec::new());
        for number in 0..replicas {
            let host = 1 + number;
            let (member, listener) =
                layout.spawn_member(&options.binary, "control", host, &seeds, true)?;
            controls.push(Mutex::new(member));
            control_proxies.push(Proxy::bind(listener).await?);
        }
        for number in 0..ENTRIES {
            let host = 1 + replicas + number;
            let (member, listener) =
                layout.spawn_member(&options.binary, "entry", host, &seeds, true)?;
            entries.push(Mutex::new(member));
            entry_proxies.push(Proxy::bind(listener).await?);
        }
        let recorder = Arc::new(Recorder::new());
        let addresses: Vec<SocketAddr> = control_proxies.iter().map(Proxy::address).collect();
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            upstreams.push(StandIn::spawn(number, addresses.clone(), recorder.clone()).await?);
        }
        Ok(Self {
            binary: options.binary.clone(),
            seed: options.seed,
            folder,
            network: options.network,
            port,
            seeds: std::sync::Mutex::new(seeds),
            terms,
            extra_keys: extra_keys(options.extra_keys()),
            soundness: RwLock::default(),
            replacements: AtomicUsize::new(0),
            recorder,
            request_ids: Arc::default(),
            call: Template::open("soak/call.http")?,
            declare: Template::open("soak/declare.http")?,
            read: Template::open("soak/read.http")?,
            controls,
            entries,
            upstreams,
            control_proxies,
            entry_proxies,
        })
    }

    pub(crate) fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entry_proxies.iter().map(Proxy::address).collect()
    }

    /// Request that declares a version; odd and even versions have different routes. `changes`
    /// replace values of a valid one.
    pub(crate) fn declaration(&self, version: u64, keys: &str, changes: &[(&str, &str)]) -> String {
        let parity = if version % 2 == 1 { "odd" } else { "even" };
        let version = version.to_string();
        let valid = [
            ("version", &version[..]),
            ("parity", parity),
            ("keys", keys),
            ("service", "s1"),
            ("weight", "1"),
            ("timeout", "3000"),
            ("prefix", "/n/"),
            ("end", "}"),
        ];
        // The first value of a name is the one that counts.
        let values: Vec<(&str, &str)> = changes.iter().chain(&valid).copied().collect();
        self.declare.fill(&values)
    }

    pub(crate) fn read_request(&self) -> String {
        self.read.fill(&[])
    }

    /// Returns the address of a random replica for operators.
    pub(crate) fn random_control(&self) -> SocketAddr {
        let number = rand::rng().random_range(0..self.controls.len());
        self.control_proxies[number].address()
    }

    /// Sends an operator's request to a random replica; `None` without a complete answer.
    pub(crate) async fn send_to_control(&self, message: &str) -> Option<Message> {
        let address = self.random_control();
        let exchange = async {
            let mut stream = TcpStream::connect(address).await.ok()?;
            stream.write_all(message.as_bytes()).await.ok()?;
            read_message(&mut stream).await.filter(|m| m.complete)
        };
        tokio::time::timeout(CONTROL_TIMEOUT, exchange)
            .await
            .ok()
            .flatten()
    }

    /// Starts a process again on its settings.
    pub(crate) fn restart(&self, member: &mut Member) -> Result<(), String> {
        let text = fs::read_to_string(&member.settings).map_err(|e| e.to_string())?;
        let later = text.replace("first_start: true", "first_start: false");
        fs::write(&member.settings, later).map_err(|e| e.to_string())?;
        member.process = Process::spawn(&self.binary, "serve", &member.settings)?;
        Ok(())
    }

    /// Starts a replica with an empty disk, at an address that none has had; returns it with its address.
    pub(crate) fn spawn_replacement(
        &self,
        number: usize,
    ) -> Result<(Member, SocketAddr), SoakError> {
        let layout = Layout {
            folder: self.folder.path(),
            network: self.network,
            port: self.port,
            terms: self.terms,
        };
        let host = FIRST_REPLACEMENT + self.replacements.fetch_add(1, Ordering::SeqCst);
        let mut seeds = self.lock_seeds().clone();
        seeds[number] = SocketAddr::new(ip(self.network, host), self.port + 2);
        layout.spawn_member(&self.binary, "control", host, &seeds, false)
    }

    /// Names a replacement instead of the replica `number` in all settings, as the platform does.
    pub(crate) fn rewrite_seeds(&self, number: usize, address: SocketAddr) {
        let mut seeds = self.lock_seeds();
        let (old, new) = (format!("\"{}\"", seeds[number]), format!("\"{address}\""));
        seeds[number] = address;
        let rewritten = fs::read_dir(self.folder.path()).and_then(|files| {
            for file in files {
                let path = file?.path();
                if path.extension().is_some_and(|e| e == "yaml") {
                    rewrite(&path, &old, &new)?;
                }
            }
            Ok(())
        });
        if let Err(e) = rewritten {
            eprintln!("naming a replacement failed: {e}");
        }
    }

    fn lock_seeds(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a fault or planned work that began at `from` and ends now.
    pub(crate) fn record_disturbance(
        &self,
        name: &'static str,
        target: Target,
        planned: bool,
        from: u64,
    ) {
        let until = self.recorder.now();
        self.recorder.history().disturbances.push(Disturbance {
            name,
            target,
            planned,
            from,
            until,
        });
    }

    /// Whether more than `2 * ENTRIES` requests in a row are served within `limit`.
    pub(crate) async fn serves_within(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut caller = Caller::new(self, 0);
        let mut served = 0;
        while Instant::now() < end {
            served = if caller.call().await { served + 1 } else { 0 };
            if served > 2 * ENTRIES {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Ends the faults of connections and upstreams.
    pub(crate) async fn heal(&self) {
        for proxy in self.control_proxies.iter().chain(&self.entry_proxies) {
            proxy.set_forwarding(Forwarding::Plain);
        }
        for upstream in &self.upstreams {
            upstream.proxy.set_forwarding(Forwarding::Plain);
            upstream.set_mode(Mode::Normal);
        }
        let now = self.recorder.now();
        self.recorder.history().healed = now;
    }

    /// Reads the final configuration, with retries until a replica returns it.
    pub(crate) async fn read_back(&self) {
        let end = Instant::now() + STOP_TIMEOUT;
        let mut read = false;
        while Instant::now() < end && !read {
            read = operator::read(self).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        self.recorder.history().unread = !read;
    }

    /// Stops the entries gracefully, records their exits and kills the replicas.
    pub(crate) async fn stop(&self) -> History {
        for entry in &self.entries {
            self.stop_entry(&mut *entry.lock().await).await;
        }
        for control in &self.controls {
            control.lock().await.process.kill();
        }
        self.recorder.history().clone()
    }

    /// Signals an entry to stop, waits until it exits and records the stop.
    pub(crate) async fn stop_entry(&self, entry: &mut Member) {
        let signalled = self.recorder.now();
        entry.process.terminate();
        let start = Instant::now();
        let mut overdue = false;
        while start.elapsed() < STOP_TIMEOUT && !entry.process.has_exited() {
            if !overdue && start.elapsed() > Duration::from_secs(self.terms.grace_s) {
                overdue = true;
                self.record_overdue(entry, signalled);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let code = entry.process.exit_code();
        entry.process.kill();
        let ended = self.recorder.now();
        self.recorder.history().stops.push((signalled, ended, code));
    }

    /// Writes what the threads of an entry wait for beside its log, for the trace of a late exit.
    fn record_overdue(&self, entry: &Member, signalled: u64) {
        let path = entry
            .settings
            .with_extension(format!("overdue-{signalled}"));
        if let Err(e) = fs::write(&path, entry.process.thread_states()) {
            eprintln!("{}: {e}", path.display());
        }
    }

    /// Copies the logs to a folder that outlives the soak.
    pub(crate) fn keep_logs(&self) -> PathBuf {
        let name = format!("soak-{}-{}", std::process::id(), self.seed);
        let copy = std::env::temp_dir().join(name);
        let copied = fs::create_dir_all(&copy).and_then(|()| {
            for entry in fs::read_dir(self.folder.path())?.flatten() {
                if entry.path().is_file() {
                    fs::copy(entry.path(), copy.join(entry.file_name()))?;
                }
            }
            Ok(())
        });
        if let Err(e) = copied {
            eprintln!("copying the logs failed: {e}");
        }
        copy
    }
}

/// Terms of the deployment in the settings files.
#[derive(Clone, Copy, Debug)]
struct Terms {
    /// Number of disks that may be lost at once.
    loss: usize,
    /// Grace period of a stop, in seconds.
    grace_s: u64,
}

/// Addresses and files of the processes.
struct Layout<'a> {
    folder: &'a Path,
    network: u8,
    port: u16,
    terms: Terms,
}

impl Layout<'_> {
    /// Starts a process; returns it with the address that its clients use.
    fn spawn_member(
        &self,
        binary: &Path,
        role: &str,
        host: usize,
        seeds: &[SocketAddr],
        first_start: bool,
    ) -> Result<(Member, SocketAddr), SoakError> {
        let offset = if role == "control" { 2 } else { 4 };
        let address = ip(self.network, host);
        let data = self.folder.join(format!("data{host}"));
        let port = self.port;
        let seeds = seeds.iter().take(SEEDS);
        let seeds: Vec<String> = seeds.map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            "role: {role}\ninstance: {role}-{host}\nzone: z1\nip: {address}\n\
             ports: [{port}, {}]\nseeds: [{}]\nfirst_start: {first_start}\ndata: {}\n\
             listen: {{callers: \"{address}:{}\", ready: \"{address}:{}\", \
             control: \"{address}:{}\"}}\n\
             token: token-of-this-soak\nloss: {}\nbounds: {{revoke_ms: 5000, grace_s: {}}}\n",
            port + 1,
            seeds.join(", "),
            data.display(),
            port + 4,
            port + 5,
            port + 2,
            self.terms.loss,
            self.terms.grace_s,
        );
        let settings = self.folder.join(format!("{role}-{host}.yaml"));
        fs::write(&settings, &text)?;
        let process = Process::spawn(binary, "serve", &settings).map_err(SoakError::Process)?;
        let member = Member {
            process,
            settings,
            data,
        };
        Ok((member, SocketAddr::new(address, port + offset)))
    }
}

fn extra_keys(count: usize) -> String {
    (0..count).fold(String::new(), |mut keys, number| {
        keys.push_str(&format!(",\"key-of-nobody-{number:012}\""));
        keys
    })
}

/// Replaces a text in a file by a new file, so that no process reads a part of it.
fn rewrite(path: &Path, old: &str, new: &str) -> std::io::Result<()> {
    let text = fs::read_to_string(path)?.replace(old, new);
    let written = path.with_extension("new");
    fs::write(&written, text)?;
    fs::rename(written, path)
}

fn ip(network: u8, host: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 10, network, host as u8))
}
