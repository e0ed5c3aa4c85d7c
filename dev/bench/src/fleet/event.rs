//! Settings and events of the simulated deployment.

use std::time::Duration;

use pimentotide_model::{AdminState, LoadReport, Spread, Time};
use pimentotide_routing::{CacheEvent, CreditId, EntryDemand};

use super::chooser::Policy;

/// Scheduled change of the administrative state of a zone.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// Time at which the operator gives the order.
    pub at: Time,
    /// Index of the zone.
    pub zone: usize,
    /// New administrative state.
    pub standing: AdminState,
}

/// Parameters of the simulated deployment.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Policy of all entries.
    pub policy: Policy,
    /// Number of entries, a multiple of three.
    pub entries: usize,
    /// Slowdown factor of each engine, one item per engine.
    pub engines: Vec<f64>,
    /// Concurrent requests per engine.
    pub capacity: u32,
    /// Delay of load reports.
    pub lag: Duration,
    /// Zone preference in the profile.
    pub spread: Spread,
    /// Number of candidates that the placer draws per request.
    pub choices: usize,
    /// Operator orders during the run.
    pub orders: Vec<Order>,
    /// Seed of all random draws of the deployment.
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
    FirstToken(usize),
    LastToken {
        request: usize,
        cached: u32,
    },
    Report {
        engine: usize,
    },
    Reported {
        engine: usize,
        report: LoadReport,
        taken_at: Time,
    },
    Cache {
        engine: usize,
        event: CacheEvent,
    },
    Snapshot {
        entry: usize,
        engine: usize,
    },
    Demand {
        engine: usize,
        entry: usize,
        demand: EntryDemand,
    },
    Granted {
        engine: usize,
        entry: usize,
        credit: CreditId,
    },
    ReturnCredit {
        engine: usize,
        credit: CreditId,
    },
    EntryTick {
        entry: usize,
    },
    Order(usize),
    Declared,
}
