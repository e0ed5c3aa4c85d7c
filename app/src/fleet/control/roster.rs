//! Entries and agents as a replica knows them from their beacons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use pimentotide_platform::{Directory, Entries, Place};

use super::super::FleetSettings;
use super::super::beacon::{AgentBeacon, Beacon, EntryBeacon, Order};
use super::super::directory::{MAX_ADDRESSES, keep};
use crate::lines::ProcessSeen;

/// Silence after which a process is no longer named to others; four beacons.
const SILENCE: Duration = Duration::from_millis(1_600);
/// Silence after which a process is forgotten.
const FORGET: Duration = Duration::from_secs(30);
/// Processes by address.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    known: Arc<Mutex<Known>>,
}

#[derive(Debug, Default)]
struct Known {
    entries: Heard<EntryBeacon>,
    agents: Heard<AgentBeacon>,
}

/// Newest beacon of each address, and when it was heard.
type Heard<B> = BTreeMap<SocketAddr, (B, Instant)>;

/// Takes a beacon over unless a newer one of the address is known; true if it is new or differs.
fn take<B, K, F>(heard: &mut Heard<B>, address: SocketAddr, beacon: B, order: F, state: K) -> bool
where
    F: Fn(&B) -> Order,
    K: Fn(&B) -> (bool, bool),
{
    let now = Instant::now();
    heard.retain(|_, (_, at)| now.duration_since(*at) < FORGET);
    let known = heard.get(&address).map(|(b, _)| b);
    if known.is_some_and(|known| order(known) > order(&beacon)) {
        return false;
    }
    let differs = known.map(&state) != Some(state(&beacon));
    heard.insert(address, (beacon, now));
    differs
}

fn fresh<B>(heard: &Heard<B>) -> impl Iterator<Item = &B> {
    let now = Instant::now();
    let alive = heard
        .values()
        .filter(move |(_, at)| now.duration_since(*at) < SILENCE);
    alive.map(|(beacon, _)| beacon)
}

impl Roster {
    /// Starts without processes.
    pub(super) fn open() -> Self {
        Self::default()
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a beacon.
    pub(super) fn hear(&self, beacon: Beacon) {
        let mut known = self.known();
        match beacon {
            Beacon::Entry(entry) => {
                let (callers, state) = (entry.callers, (entry.accepting, entry.stopping));
                let states = |b: &EntryBeacon| (b.accepting, b.stopping);
                if take(&mut known.entries, callers, entry, |b| b.order, states) {
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
                if take(&mut known.agents, calls, agent, |b| b.order, states) {
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

    /// Entries that callers may be sent to.
    ///
    /// If none accepts callers, those that are alive are named all the same: they
    /// refuse with a reason.
    pub(super) fn entries(&self) -> Vec<SocketAddr> {
        let known = self.known();
        let alive: Vec<&EntryBeacon> = fresh(&known.entries).filter(|b| !b.stopping).collect();
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

    /// Number of entries that are alive.
    pub(super) fn entry_count(&self) -> usize {
        fresh(&self.known().entries).count()
    }

    /// Agents that are alive.
    pub(super) fn agents(&self) -> Vec<AgentBeacon> {
        fresh(&self.known().agents).cloned().collect()
    }
}

/// Answers callers from the roster.
#[derive(Clone, Debug)]
pub(super) struct Counter {
    roster: Roster,
    keep: Duration,
}

impl Counter {
    pub(super) fn new(roster: Roster, settings: &FleetSettings) -> Self {
        Self {
            roster,
            keep: keep(settings),
        }
    }
}

impl Directory for Counter {
    fn entries(&self, _place: &Place) -> Entries {
        let mut addresses = self.roster.entries();
        addresses.truncate(MAX_ADDRESSES);
        Entries {
            addresses,
            keep: self.keep,
        }
    }
}
