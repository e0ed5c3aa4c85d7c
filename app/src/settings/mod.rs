//! Settings of one process, read from one YAML file; every problem is reported at once.

mod addresses;
mod read;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use derive_more::{Display, From};
use pimentotide_document::Problems;
use pimentotide_instance::Token;
use pimentotide_model::{InstanceName, RegionName, UpstreamName, WorkspaceName, ZoneName};

pub use read::{DEFAULT_BODY_BYTES, DEFAULT_KEEP, DEFAULT_LOG};

/// Reason why settings are rejected.
#[derive(Debug, Display, From)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{}: {_1}", _0.display())]
    Unreadable(PathBuf, std::io::Error),
    /// The contents of the file are invalid.
    #[display("{_0}")]
    Invalid(Problems),
}

impl std::error::Error for SettingsError {}

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Region of this instance.
    pub region: RegionName,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Log levels, as in `info` or `info, actix_server=warn`.
    pub log: String,
    /// StatsD address; metrics are dropped if `None`.
    pub metrics: Option<SocketAddr>,
    /// Secret shared by the instances of the deployment.
    pub token: Token,
    /// Control replicas of the deployment.
    pub control: Vec<Peer>,
    /// Entry instances of the deployment.
    pub entries: Vec<Peer>,
    /// Settings of the entry role; `None` if the process does not run it.
    pub entry: Option<EntrySettings>,
    /// Settings of the control replica; `None` if the process does not run it.
    pub replica: Option<ReplicaSettings>,
    /// Settings of the agent role; `None` if the process does not run it.
    pub agent: Option<AgentSettings>,
}

/// Another instance of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub name: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address for other instances and callers.
    pub address: SocketAddr,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Listener for callers.
    pub listen: SocketAddr,
    /// Number of threads that serve callers.
    pub threads: usize,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Workspace of requests that name none; such requests are refused if `None`.
    pub workspace: Option<WorkspaceName>,
    /// Time for which callers may cache an answer of `/v1/entries`.
    pub keep: Duration,
    /// Maximum time that a graceful stop waits for running requests.
    pub drain: Duration,
}

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Listener for other instances.
    pub listen: SocketAddr,
    /// Listener for operators.
    pub operator: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Listener for entries.
    pub listen: SocketAddr,
    /// Listener for the announcements of the upstream.
    pub engine: SocketAddr,
    /// Maximum time that a graceful stop waits for running requests.
    pub drain: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is invalid; reports every problem.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Unreadable(path.to_owned(), e))?;
        let folder = path.parent().unwrap_or(Path::new("."));
        Ok(Self::parse(&text, folder)?)
    }

    /// Parses and checks the text of a settings file; relative paths start at `folder`.
    ///
    /// # Errors
    ///
    /// Returns every problem of the text.
    pub fn parse(text: &str, folder: &Path) -> Result<Self, Problems> {
        pimentotide_document::read(text, |top| read::settings(top, folder))
    }
}
