//! Settings of a replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use pimentotide_consensus::Options;
use pimentotide_model::InstanceName;

use crate::Token;

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address at which the other replicas reach this one.
    pub address: SocketAddr,
    /// Data folder.
    pub folder: PathBuf,
    /// Secret of the deployment.
    pub token: Token,
    /// Replicas that found a new log together, this one included; none to wait for being added.
    pub founders: BTreeMap<InstanceName, SocketAddr>,
    /// Times and bounds of the log.
    pub log: Options,
    /// Entries after which the log is compacted.
    pub compact: u64,
    /// Longest wait for a proposal, a read or a change.
    pub patience: Duration,
    /// Longest wait for the disk before it counts as failed.
    pub stall: Duration,
}

impl ReplicaOptions {
    /// Settings with the usual times and bounds, for a replica that waits for being added.
    pub fn new<P>(name: InstanceName, address: SocketAddr, folder: P, token: Token) -> Self
    where
        P: Into<PathBuf>,
    {
        Self {
            name,
            address,
            folder: folder.into(),
            token,
            founders: BTreeMap::new(),
            log: Options::default(),
            compact: 4_096,
            patience: Duration::from_secs(5),
            stall: Duration::from_secs(3),
        }
    }

    /// Names the replicas that found a new log together.
    #[must_use]
    pub fn with_founders<I>(mut self, founders: I) -> Self
    where
        I: IntoIterator<Item = (InstanceName, SocketAddr)>,
    {
        self.founders = founders.into_iter().collect();
        self
    }
}
