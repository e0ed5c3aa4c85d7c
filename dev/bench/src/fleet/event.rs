//! Settings and events of the model deployment.

use std::time::Duration;

use pimentotide_model::{AdminState, LoadReport, Spread, Time};
use pimentotide_routing::{CacheEvent, CreditId, EntryDemand};

use super::chooser::Policy;

/// Zone taken out or brought back at a time.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// When operators give it.
    pub at: Time,
    /// Zone number.
    pub zone: usize,
    /// Administrative state from then on.
    pub standing: AdminState,
}

/// Shape of the deployment.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Policy of all entries.
    pub policy: Policy,
    /// Entries.
    pub entries: usize,
    /// Slowdown of each engine.
    pub engines: Vec<f64>,
    /// Requests that an engine runs at once.
    pub capacity: u32,
    /// Lag of load reports.
    pub lag: Duration,
    /// Nearness in the profile.
    pub spread: Spread,
    /// Candidates drawn by the placer.
    pub choices: usize,
    /// Orders of operators.
    pub orders: Vec<Order>,
    /// Seed.
    pub seed: u64,
}

#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    Deliver {
        engine: usize,
        request: usize,
        credit: Option<CreditId>,
    },
    Refused {
        request: usize,
        report: LoadReport,
    },
    Reached {
        engine: usize,
        version: u64,
    },
    First(usize),
    Last {
        request: usize,
        cached: u32,
    },
    Report {
        engine: usize,
    },
    Reported {
        engine: usize,
        report: LoadReport,
        taken: Time,
    },
    Cache {
        engine: usize,
        event: CacheEvent,
    },
    Snapshot {
        entry: usize,
        engine: usize,
    },
    Ask {
        engine: usize,
        entry: usize,
        demand: EntryDemand,
    },
    Granted {
        engine: usize,
        entry: usize,
        credit: CreditId,
    },
    GiveBack {
        engine: usize,
        credit: CreditId,
    },
    EntryTick {
        entry: usize,
    },
    Order(usize),
    Declared,
}
