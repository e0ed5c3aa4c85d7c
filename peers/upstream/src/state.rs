//! What an upstream says of itself.

use std::net::SocketAddr;

use pimentotide_model::{AdapterName, GroupName, ModelName, ServiceKind, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// State of an upstream, posted to its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// Address that takes work.
    pub address: SocketAddr,
    /// Rises with each start of the upstream, Unix time in microseconds.
    pub started: u64,
    /// Whether a model engine or a plain service.
    pub kind: ServiceKind,
    /// Services that a plain upstream offers.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Models that are loaded.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
    /// Adapters that are loaded.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Requests it runs at once when warm.
    pub capacity: u32,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Rises with every step of its work, as with each token; none if it does not tell.
    #[serde(default)]
    pub progress: Option<u64>,
    /// Group whose ranks it hosts.
    #[serde(default)]
    pub group: Option<GroupName>,
    /// Changes of the prefix cache since the last post, in order.
    #[serde(default)]
    pub cache: Vec<CacheEvent>,
}

/// A model in memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: ModelName,
    /// Version of the model.
    pub version: VersionName,
}

/// One change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's sequence, from 1 at each start.
    pub sequence: u64,
    /// What happened.
    pub change: CacheChange,
    /// Hash of the block, as by [`crate::block_hashes`].
    pub block: u64,
}

/// What happened to a block of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block is cached.
    Stored,
    /// The block was dropped.
    Evicted,
}
