//! Options of a replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use pimentotide_consensus::Options;
use pimentotide_model::InstanceName;

use crate::Token;

/// Addresses, timeouts and limits of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Name of the instance, unique among the replicas.
    pub name: InstanceName,
    /// Address at which the other replicas reach this one.
    pub address: SocketAddr,
    /// Data folder, which no other process may use.
    pub folder: PathBuf,
    /// Token of the deployment.
    pub token: Token,
    /// Replicas that bootstrap a new log, including this one; empty to wait until it is added.
    pub founders: BTreeMap<InstanceName, SocketAddr>,
    /// Timeouts and limits of the log.
    pub log: Options,
    /// Number of compactable entries at which the log is compacted.
    pub compact_after: u64,
    /// Size of the compactable entries at which the log is compacted, in bytes.
    ///
    /// A larger snapshot raises it to its own size, so that the log weighs about as much as the state.
    pub compact_bytes: u64,
    /// Limit for a proposal, a read or a member change.
    pub request_timeout: Duration,
    /// Age of the oldest unsynced write from which the disk counts as failed.
    pub stall: Duration,
}

impl ReplicaOptions {
    /// Default options, for a replica that waits until it is added.
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
            compact_after: 4_096,
            compact_bytes: 1 << 20,
            request_timeout: Duration::from_secs(5),
            stall: Duration::from_secs(3),
        }
    }

    /// Sets the replicas that bootstrap a new log, including this one.
    #[must_use]
    pub fn with_founders<I>(mut self, founders: I) -> Self
    where
        I: IntoIterator<Item = (InstanceName, SocketAddr)>,
    {
        self.founders = founders.into_iter().collect();
        self
    }
}
