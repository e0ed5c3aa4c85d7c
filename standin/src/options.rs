//! Options of a stand-in engine.

use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_model::{ModelName, ServiceKind, ServiceName, VersionName};

/// Options of one stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to serve on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Agent that receives announcements; `None` sends none.
    pub agent: Option<SocketAddr>,
    /// Kind of service: model engine or plain service.
    pub kind: ServiceKind,
    /// Loaded model; empty for a plain service.
    pub model: ModelName,
    /// Loaded version; empty for a plain service.
    pub version: VersionName,
    /// Services offered by a plain service.
    pub services: Vec<ServiceName>,
    /// Maximum concurrency when warm.
    pub capacity: u32,
    /// Maximum concurrency right after a start.
    pub initial_capacity: u32,
    /// Completed runs that raise the current capacity by one.
    pub completions_per_slot: u32,
    /// Time to the first token of an uncached prompt.
    pub first_token_delay: Duration,
    /// Time between tokens.
    pub token_gap: Duration,
    /// Interval between announcements.
    pub announce_interval: Duration,
    /// Maximum number of prompt blocks in the cache.
    pub cache_blocks: usize,
}

impl EngineOptions {
    /// Returns options of a model engine on a free loopback port.
    pub fn model(model: ModelName, version: VersionName) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            agent: None,
            kind: ServiceKind::Model,
            model,
            version,
            services: Vec::new(),
            capacity: 16,
            initial_capacity: 2,
            completions_per_slot: 2,
            first_token_delay: Duration::from_millis(20),
            token_gap: Duration::from_millis(5),
            announce_interval: Duration::from_millis(200),
            cache_blocks: 4096,
        }
    }

    /// Returns options of a plain service on a free loopback port.
    pub fn plain(services: Vec<ServiceName>) -> Self {
        let none = (ModelName::from(""), VersionName::from(""));
        let base = Self::model(none.0, none.1);
        Self {
            kind: ServiceKind::Plain,
            services,
            first_token_delay: Duration::from_millis(5),
            ..base
        }
    }
}
