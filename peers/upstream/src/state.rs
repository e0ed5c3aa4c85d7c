//! State that an upstream reports to its agent.

use std::net::SocketAddr;

use pimentotide_model::{AdapterName, GroupName, ModelName, ServiceKind, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// State of an upstream, posted to [`crate::ANNOUNCE_PATH`] on its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// Address that accepts work.
    pub address: SocketAddr,
    /// Start time of the upstream, Unix time in microseconds; increases with each start.
    pub started: u64,
    /// Kind of upstream, a model engine or a plain service.
    pub kind: ServiceKind,
    /// Services that a plain upstream offers.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Loaded models.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
    /// Loaded adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Maximum number of concurrent requests when warm.
    pub capacity: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Counter that increases with every unit of work, such as a token; `None` if not reported.
    #[serde(default)]
    pub progress: Option<u64>,
    /// Expert-parallel group whose ranks it hosts.
    #[serde(default)]
    pub group: Option<GroupName>,
    /// Changes of the prefix cache since the last post, in order.
    #[serde(default)]
    pub cache: Vec<CacheEvent>,
}

/// Model loaded by an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: ModelName,
    /// Version of the model.
    pub version: VersionName,
}

/// Change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, from 1 at each start of the engine.
    pub sequence: u64,
    /// Kind of change.
    pub change: CacheChange,
    /// Hash of the block, see [`crate::block_hashes`].
    pub block: u64,
}

/// Kind of change to a block of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was added to the cache.
    Stored,
    /// The block was evicted from the cache.
    Evicted,
}
