//! Settings of a process, read from a YAML file and validated as a whole.

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
    /// Relays requests of callers to upstreams.
    #[display("entry")]
    Entry,
    /// Replicates the shared state.
    #[display("control")]
    Control,
    /// Manages the model engine on the same instance.
    #[display("agent")]
    Agent,
}

/// Reason why settings are rejected.
#[derive(Debug, Display)]
pub enum FleetSettingsError {
    /// The file cannot be read.
    #[display("cannot be read: {_0}")]
    Read(std::io::Error),
    /// The file is malformed YAML or has a wrong key or value.
    #[display("not valid: {_0}")]
    Parse(serde_yaml_ng::Error),
    /// An address or a folder that the role requires is missing.
    #[display("the role {_0} needs `{_1}`")]
    Missing(RoleKind, &'static str),
    /// `ports` is not a range of at least two ports; carries its value.
    #[display("`ports` has to hold at least two ports, found {_0:?}")]
    Ports(Vec<u16>),
    /// The secret of the deployment is invalid.
    #[display("`token`: {_0}")]
    Token(pimentotide_instance::TokenError),
}

impl std::error::Error for FleetSettingsError {}

/// Settings of a process.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetSettings {
    /// Role that the process runs.
    pub role: RoleKind,
    /// Name of the instance.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// IP address of the instance, used for calls and beacons.
    pub ip: IpAddr,
    /// Addresses of the listeners.
    #[serde(default)]
    pub listen: Listeners,
    /// First and last port for traffic between processes; calls use the first, beacons the next.
    pub ports: Vec<u16>,
    /// Addresses of some control replicas, with the port for operators.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole deployment, which creates the log.
    #[serde(default)]
    pub first_start: bool,
    /// Data folder on the instance's disk; required by the control role.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Address of the local engine; required by the agent role.
    #[serde(default)]
    pub engine: Option<SocketAddr>,
    /// Maximum open descriptors; `None` applies the default connection limit.
    #[serde(default)]
    pub descriptors: Option<u64>,
    /// Number of instances with a disk that may be lost at once without loss of the log.
    #[serde(default = "one")]
    pub loss: usize,
    /// Time limits and retry budget.
    #[serde(default)]
    pub bounds: Bounds,
    /// Secret shared by the processes of the deployment.
    pub token: String,
    /// Address of the metrics endpoint; `None` disables it.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Whether agents switch their group to better expert placements.
    #[serde(default = "yes")]
    pub rebalance: bool,
    /// Log filter.
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
    /// For readiness checks of an entry.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// For operators and announcements.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// For the directory of entries.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
}

/// Time limits and retry budget that the deployment guarantees.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time within which a revoked key stops working, ms.
    pub revoke_ms: u64,
    /// Time after a disturbance of the control replicas within which they bear the next one, ms.
    pub settle_ms: u64,
    /// Time for which a replica is up until it bears the loss of another one, seconds.
    pub catch_up_s: f64,
    /// Time from the stop signal to the exit of a process, seconds.
    pub grace_s: f64,
    /// Retries allowed per request.
    pub repeat_ratio: f64,
    /// Window in which retries are counted, seconds.
    pub repeat_window_s: f64,
    /// Retries allowed per window regardless of the number of requests.
    pub repeat_allowance: f64,
    /// Maximum time for which callers may cache the list of entries, seconds.
    pub keep_s: f64,
    /// Maximum stall of a request that depends on a failed upstream, ms.
    pub stall_ms: u64,
    /// Whether engines reject orders with an outdated fencing token.
    pub fenced: bool,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            revoke_ms: 5_000,
            settle_ms: 3_000,
            catch_up_s: 4.0,
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or for the reasons of [`parse`](Self::parse).
    pub fn open(path: &Path) -> Result<Self, FleetSettingsError> {
        let text = std::fs::read_to_string(path).map_err(FleetSettingsError::Read)?;
        Self::parse(&text)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed, a key that the role requires is missing, or ports or secret are invalid.
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

    /// Returns the secret of the deployment.
    ///
    /// # Errors
    ///
    /// Fails if the secret is invalid; [`parse`](Self::parse) rejects such settings.
    pub fn secret(&self) -> Result<Token, FleetSettingsError> {
        Token::open(&self.token).map_err(FleetSettingsError::Token)
    }

    /// Returns the address at which this process serves RPC calls of other processes.
    pub fn calls(&self) -> SocketAddr {
        self.calls_at(self.ip)
    }

    /// Returns the address for calls at another instance; all instances use the same ports.
    pub fn calls_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.ports[0])
    }

    /// Returns the address for beacons at another instance.
    pub fn beacons_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.ports[0] + 1)
    }

    /// Returns the addresses of the seeds for calls, by replica name.
    pub fn seed_calls(&self) -> BTreeMap<String, SocketAddr> {
        let calls = self.seeds.iter().map(|s| self.calls_at(s.ip()));
        calls
            .map(|address| (address.to_string(), address))
            .collect()
    }

    /// Returns the time after a disturbance of the control replicas within which they bear the next.
    pub fn settle_time(&self) -> Duration {
        Duration::from_millis(self.bounds.settle_ms)
    }

    /// Returns the time for which a replica is up until it bears the loss of another one.
    pub fn catch_up_time(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.catch_up_s)
    }

    /// Returns the time from the stop signal to the exit of a process.
    pub fn grace_time(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s)
    }

    /// Returns the lease of an entry on its last confirmed configuration.
    ///
    /// The lease is short enough that a revoked key stops working in time even if
    /// the confirmation was requested just before the revocation.
    pub fn lease(&self) -> Duration {
        const LEASE_RATIO: f64 = 0.58;
        Duration::from_millis(self.bounds.revoke_ms).mul_f64(LEASE_RATIO)
    }
}
