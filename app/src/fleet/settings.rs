//! Settings of a process, checked whole.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use derive_more::Display;
use pimentotide_instance::Token;
use serde::{Deserialize, Serialize};

/// Role of a process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleKind {
    /// Answers callers.
    #[display("entry")]
    Entry,
    /// Keeps the shared state.
    #[display("control")]
    Control,
    /// Looks after the engine beside it.
    #[display("agent")]
    Agent,
}

/// Why settings cannot be used.
#[derive(Debug, Display)]
pub enum FleetSettingsError {
    /// The file cannot be read.
    #[display("cannot be read: {_0}")]
    Read(std::io::Error),
    /// The file does not say what is expected.
    #[display("not valid: {_0}")]
    Parse(serde_yaml_ng::Error),
    /// The role needs an address or a folder that is missing.
    #[display("the role {_0} needs `{_1}`")]
    Missing(RoleKind, &'static str),
    /// The range of ports for other processes is too small.
    #[display("`ports` has to hold at least two ports, found {_0:?}")]
    Ports(Vec<u16>),
    /// The secret of the deployment cannot be used.
    #[display("`token`: {_0}")]
    Token(pimentotide_instance::TokenError),
}

impl std::error::Error for FleetSettingsError {}

/// Settings of a process.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetSettings {
    /// Role.
    pub role: RoleKind,
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the instance.
    pub ip: IpAddr,
    /// Listeners.
    #[serde(default)]
    pub listen: Listeners,
    /// First and last port for the deployment's other processes.
    pub ports: Vec<u16>,
    /// Addresses of some control replicas, at the port for operators.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Folder on the instance's disk.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Address of the engine beside the process.
    #[serde(default)]
    pub engine: Option<SocketAddr>,
    /// Most open descriptors.
    #[serde(default)]
    pub descriptors: Option<u64>,
    /// Instances with a disk that may be lost at once.
    #[serde(default = "one")]
    pub loss: usize,
    /// Time limits and budgets.
    #[serde(default)]
    pub bounds: Bounds,
    /// Secret of the deployment.
    pub token: String,
    /// Address at which scrapers read metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Whether agents move their group to better expert maps.
    #[serde(default = "yes")]
    pub rebalance: bool,
    /// Log levels.
    #[serde(default = "default_log")]
    pub log: String,
}

fn one() -> usize {
    1
}

fn yes() -> bool {
    true
}

fn default_log() -> String {
    crate::settings::DEFAULT_LOG.to_owned()
}

/// Addresses to listen on.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listeners {
    /// For callers.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// For the question whether the entry is ready.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// For operators and announcements.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// For callers that ask which entries to use.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
}

/// Time limits and budgets that the deployment promises to keep.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time within which a key that was taken away stops working, ms.
    pub revoke_ms: u64,
    /// Time that a process has from the signal to stop to its end, seconds.
    pub grace_s: f64,
    /// Repeated sends allowed for each request.
    pub repeat_ratio: f64,
    /// Window over which repeated sends are counted, seconds.
    pub repeat_window_s: f64,
    /// Repeated sends allowed in a window in any case.
    pub repeat_allowance: f64,
    /// Longest time for which callers may keep the list of entries, seconds.
    pub keep_s: f64,
    /// Time for which a request stalls that depends on a dead upstream, ms.
    pub stall_ms: u64,
    /// Whether engines refuse orders with an old fencing number.
    pub fenced: bool,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            revoke_ms: 5_000,
            grace_s: 8.0,
            repeat_ratio: 0.2,
            repeat_window_s: 10.0,
            repeat_allowance: 50.0,
            keep_s: 5.0,
            stall_ms: 1_500,
            fenced: false,
        }
    }
}

impl FleetSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or lacks what its role needs.
    pub fn open(path: &Path) -> Result<Self, FleetSettingsError> {
        let text = std::fs::read_to_string(path).map_err(FleetSettingsError::Read)?;
        Self::parse(&text)
    }

    /// Checks settings given as text.
    ///
    /// # Errors
    ///
    /// Fails if something that the role needs is missing or not valid.
    pub fn parse(text: &str) -> Result<Self, FleetSettingsError> {
        let settings: Self = serde_yaml_ng::from_str(text).map_err(FleetSettingsError::Parse)?;
        let missing = settings.missing();
        if let Some(key) = missing {
            return Err(FleetSettingsError::Missing(settings.role, key));
        }
        match settings.ports[..] {
            [first, last] if first < last => {}
            _ => return Err(FleetSettingsError::Ports(settings.ports)),
        }
        settings.secret()?;
        Ok(settings)
    }

    fn missing(&self) -> Option<&'static str> {
        let listen = &self.listen;
        let needed: &[(&'static str, bool)] = match self.role {
            RoleKind::Entry => &[
                ("listen.callers", listen.callers.is_none()),
                ("listen.ready", listen.ready.is_none()),
            ],
            RoleKind::Control => &[
                ("listen.control", listen.control.is_none()),
                ("data", self.data.is_none()),
            ],
            RoleKind::Agent => &[("engine", self.engine.is_none())],
        };
        needed.iter().find(|(_, lacks)| *lacks).map(|(key, _)| *key)
    }

    /// Secret of the deployment.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be used, which [`parse`](Self::parse) has checked.
    pub fn secret(&self) -> Result<Token, FleetSettingsError> {
        Token::open(&self.token).map_err(FleetSettingsError::Token)
    }

    /// Address for calls of the deployment's other processes.
    pub fn calls(&self) -> SocketAddr {
        self.calls_at(self.ip)
    }

    /// Address for calls at another instance; ports are the same on all.
    pub fn calls_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.ports[0])
    }

    /// Address for beacons at another instance.
    pub fn beacons_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.ports[0] + 1)
    }

    /// Addresses of the seeds for calls, by the names of their replicas.
    pub fn seed_calls(&self) -> BTreeMap<String, SocketAddr> {
        let calls = self.seeds.iter().map(|s| self.calls_at(s.ip()));
        calls
            .map(|address| (address.to_string(), address))
            .collect()
    }

    /// Time for which an entry may act on what it last confirmed.
    ///
    /// Short enough that a key taken away stops working in time although the
    /// confirmation was asked for just before.
    pub fn lease(&self) -> Duration {
        const PART: f64 = 0.58;
        Duration::from_millis(self.bounds.revoke_ms).mul_f64(PART)
    }
}
