//! Entries and agents known to a replica from their beacons.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pimentotide_fleet::list_entries;
use pimentotide_instance::BootInstant;
use pimentotide_platform::{Directory, Entries, Place};

use super::super::FleetSettings;
use super::super::beacon::{AgentBeacon, Beacon, BeaconVersion, EntryBeacon};
use super::super::directory::{MAX_ADDRESSES, list_ttl};
use super::slow::SlowEngines;
use crate::lines::ProcessSeen;

/// Silence after which a process is no longer listed; four beacon intervals.
const BEACON_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Silence after which a process is removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Processes by address; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    table: Arc<Mutex<ProcessTable>>,
    slow: SlowEngines,
}

#[derive(Debug, Default)]
struct ProcessTable {
    entries: ReceivedBeacons<EntryBeacon>,
    agents: ReceivedBeacons<AgentBeacon>,
}

/// Latest beacon of each address, and when it was received.
///
/// By the boot clock, since a replica that resumes from a suspension would otherwise list the processes
/// that were live before it.
type ReceivedBeacons<B> = BTreeMap<SocketAddr, (B, BootInstant)>;

/// Stores a beacon unless a newer one of its address is stored.
///
/// Returns whether the address is new or its state changed.
fn store<B, K, F>(
    received: &mut ReceivedBeacons<B>,
    address: SocketAddr,
    beacon: B,
    order: F,
    state: K,
) -> bool
where
    F: Fn(&B) -> BeaconVersion,
    K: Fn(&B) -> (bool, bool),
{
    let now = BootInstant::now();
    received.retain(|_, (_, at)| now.since(*at) < REMOVAL_TIMEOUT);
    let stored = received.get(&address).map(|(b, _)| b);
    if stored.is_some_and(|stored| order(stored) > order(&beacon)) {
        return false;
    }
    let differs = stored.map(&state) != Some(state(&beacon));
    received.insert(address, (beacon, now));
    differs
}

fn live<B>(received: &ReceivedBeacons<B>) -> impl Iterator<Item = &B> {
    let now = BootInstant::now();
    let alive = received
        .values()
        .filter(move |(_, at)| now.since(*at) < BEACON_TIMEOUT);
    alive.map(|(beacon, _)| beacon)
}

impl Roster {
    /// Opens an empty roster.
    pub(super) fn open() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, ProcessTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a received beacon and logs a new process or state.
    pub(super) fn receive(&self, beacon: Beacon) {
        let mut table = self.lock();
        match beacon {
            Beacon::Slow(slow) => self.slow.receive(&slow),
            Beacon::Entry(entry) => {
                let (callers, state) = (entry.callers, (entry.accepting, entry.stopping));
                let states = |b: &EntryBeacon| (b.accepting, b.stopping);
                if store(&mut table.entries, callers, entry, |b| b.order, states) {
                    let (accepting, stopping) = state;
                    pimentotide_observe::event(&ProcessSeen {
                        process: callers.to_string(),
                        role: "entry",
                        accepting,
                        stopping,
                    });
                }
            }
            Beacon::Agent(agent) => {
                let calls = agent.calls;
                let states = |b: &AgentBeacon| (b.seat.is_some(), false);
                if store(&mut table.agents, calls, agent, |b| b.order, states) {
                    pimentotide_observe::event(&ProcessSeen {
                        process: calls.to_string(),
                        role: "agent",
                        accepting: false,
                        stopping: false,
                    });
                }
            }
        }
    }

    /// Returns the entries that callers may use.
    ///
    /// If no entry accepts callers, all live ones are listed, because they refuse
    /// requests with a reason.
    pub(super) fn entries(&self) -> Vec<SocketAddr> {
        let table = self.lock();
        let alive: Vec<&EntryBeacon> = live(&table.entries).filter(|b| !b.stopping).collect();
        let accepting: Vec<SocketAddr> = alive
            .iter()
            .filter(|b| b.accepting)
            .map(|b| b.callers)
            .collect();
        if accepting.is_empty() {
            return alive.iter().map(|b| b.callers).collect();
        }
        accepting
    }

    /// Returns the live entries, each with the start by the order of its beacons, ms since the Unix epoch.
    pub(super) fn entry_starts(&self) -> BTreeSet<(SocketAddr, u64)> {
        let table = self.lock();
        let live = live(&table.entries).filter(|b| !b.stopping);
        live.map(|b| (b.callers, b.order.born)).collect()
    }

    /// Returns the slow engines.
    pub(super) fn slow(&self) -> &SlowEngines {
        &self.slow
    }

    /// Returns the number of live entries.
    pub(super) fn entry_count(&self) -> usize {
        live(&self.lock().entries).count()
    }

    /// Returns the beacons of the live agents whose engines belong to `group`.
    pub(super) fn agents(&self, group: &str) -> Vec<AgentBeacon> {
        let table = self.lock();
        let members =
            live(&table.agents).filter(|a| a.seat.as_ref().is_some_and(|seat| seat.group == group));
        members.cloned().collect()
    }
}

/// Directory for callers, backed by the roster of this replica.
#[derive(Clone, Debug)]
pub(super) struct RosterDirectory {
    roster: Roster,
    ttl: Duration,
}

impl RosterDirectory {
    pub(super) fn new(roster: Roster, settings: &FleetSettings) -> Self {
        Self {
            roster,
            ttl: list_ttl(settings),
        }
    }
}

impl Directory for RosterDirectory {
    fn entries(&self, place: &Place) -> Entries {
        Entries {
            addresses: list_entries(self.roster.entries(), place, MAX_ADDRESSES),
            ttl: self.ttl,
        }
    }
}
