//! What a stand-in engine is like.

use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_model::{ModelName, ServiceKind, ServiceName, VersionName};

/// Options of one stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to serve on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Agent to announce to; none announces nowhere.
    pub agent: Option<SocketAddr>,
    /// Whether a model engine or a plain service.
    pub kind: ServiceKind,
    /// Model that is loaded.
    pub model: ModelName,
    /// Version that is loaded.
    pub version: VersionName,
    /// Services that a plain service offers.
    pub services: Vec<ServiceName>,
    /// Requests at once when warm.
    pub capacity: u32,
    /// Requests at once right after a start.
    pub initial: u32,
    /// Completions that raise what it bears by one.
    pub completions: u32,
    /// Time to the first token of an uncached prompt.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_gap: Duration,
    /// Time between announcements.
    pub announce: Duration,
    /// Prompt blocks kept in the cache.
    pub blocks: usize,
}

impl EngineOptions {
    /// A model engine on a free loopback port.
    pub fn model(model: ModelName, version: VersionName) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            agent: None,
            kind: ServiceKind::Model,
            model,
            version,
            services: Vec::new(),
            capacity: 16,
            initial: 2,
            completions: 2,
            first_token: Duration::from_millis(20),
            token_gap: Duration::from_millis(5),
            announce: Duration::from_millis(200),
            blocks: 4096,
        }
    }

    /// A plain service on a free loopback port.
    pub fn plain(services: Vec<ServiceName>) -> Self {
        let none = (ModelName::from(""), VersionName::from(""));
        let base = Self::model(none.0, none.1);
        Self {
            kind: ServiceKind::Plain,
            services,
            first_token: Duration::from_millis(5),
            ..base
        }
    }
}
