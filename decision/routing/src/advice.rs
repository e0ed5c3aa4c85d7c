//! Which entry addresses a caller should use, and for how long.

use std::time::Duration;

use pimentotide_model::{AdminState, InstanceName, Time, ZoneName};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Shortest time for which a caller may cache an answer.
const MIN_TTL: Duration = Duration::from_secs(5);
/// Longest time for which a caller may cache an answer.
const MAX_TTL: Duration = Duration::from_secs(10);
/// Time without a health report after which an entry is left out.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// State of an entry, as last reported to another entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryState {
    /// Instance that runs the entry.
    pub instance: InstanceName,
    /// Address for callers, `IP:PORT`.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether the entry is shutting down and accepts no new callers.
    pub stopping: bool,
    /// Time of its last health report.
    #[serde(rename = "heard")]
    pub last_seen: Time,
}

/// Entry addresses for a caller, in the order to try them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Addresses, best first.
    pub addresses: Vec<String>,
    /// Time for which the caller may cache the answer.
    #[serde(rename = "keep")]
    pub ttl: Duration,
}

/// Orders entry addresses for a caller in `zone`, its own zone first and
/// shuffled within each group.
///
/// `standing` returns whether operators have a zone in service. Entries that
/// are stopping, timed out or in a zone out of service are left out. If none
/// remain, live entries of zones out of service are returned, because they
/// still serve callers; if none are live, all entries are returned.
pub fn advise<R, F>(
    zone: Option<&ZoneName>,
    entries: &[EntryState],
    standing: F,
    now: Time,
    rng: &mut R,
) -> Advice
where
    R: Rng,
    F: Fn(&ZoneName) -> AdminState,
{
    let live = |e: &EntryState| !e.stopping && now.since(e.last_seen) < ENTRY_TIMEOUT;
    let in_service = |e: &EntryState| live(e) && standing(&e.zone) == AdminState::In;
    let mut chosen: Vec<&EntryState> = entries.iter().filter(|e| in_service(e)).collect();
    if chosen.is_empty() {
        chosen = entries.iter().filter(|e| live(e)).collect();
    }
    if chosen.is_empty() {
        chosen = entries.iter().collect();
    }
    let mut ranked: Vec<(bool, u64, &EntryState)> = chosen
        .into_iter()
        .map(|e| (zone != Some(&e.zone), rng.random(), e))
        .collect();
    ranked.sort_unstable_by_key(|(far, draw, _)| (*far, *draw));
    let ttl = rng.random_range(MIN_TTL.as_secs()..=MAX_TTL.as_secs());
    Advice {
        addresses: ranked
            .into_iter()
            .map(|(_, _, e)| e.address.clone())
            .collect(),
        ttl: Duration::from_secs(ttl),
    }
}
