//! Settings of one process, read from one YAML file and checked whole.

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

/// Why settings cannot be used.
#[derive(Debug, Display, From)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{}: {_1}", _0.display())]
    Unreadable(PathBuf, std::io::Error),
    /// The file is wrong.
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
    /// StatsD address; none drops metrics.
    pub metrics: Option<SocketAddr>,
    /// Secret of the deployment.
    pub token: Token,
    /// Control replicas of the deployment.
    pub control: Vec<Peer>,
    /// Entry instances of the deployment.
    pub entries: Vec<Peer>,
    /// Role of an entry.
    pub entry: Option<EntrySettings>,
    /// Role of a control replica.
    pub replica: Option<ReplicaSettings>,
    /// Role of an agent.
    pub agent: Option<AgentSettings>,
}

/// Another instance of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub name: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address it serves on.
    pub address: SocketAddr,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Address to serve callers on.
    pub listen: SocketAddr,
    /// Threads that serve callers.
    pub threads: usize,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Workspace of requests that name none; such requests are refused if none.
    pub workspace: Option<WorkspaceName>,
    /// How long callers keep an answer of `/v1/entries`.
    pub keep: Duration,
    /// Longest time a planned stop waits for running requests.
    pub drain: Duration,
}

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Address to serve other instances on.
    pub listen: SocketAddr,
    /// Address to serve operators on.
    pub operator: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Address to serve entries on.
    pub listen: SocketAddr,
    /// Address to which the upstream announces itself.
    pub engine: SocketAddr,
    /// Longest time a planned stop waits for running requests.
    pub drain: Duration,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all that is wrong with the file at once.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Unreadable(path.to_owned(), e))?;
        let folder = path.parent().unwrap_or(Path::new("."));
        Ok(Self::parse(&text, folder)?)
    }

    /// Checks the text of a settings file in `folder`.
    ///
    /// # Errors
    ///
    /// Returns all that is wrong with the text at once.
    pub fn parse(text: &str, folder: &Path) -> Result<Self, Problems> {
        pimentotide_document::read(text, |top| read::settings(top, folder))
    }
}
