//! Which entry addresses a caller should use, and for how long.

use std::time::Duration;

use pimentotide_model::{AdminState, InstanceName, Time, ZoneName};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Time for which a caller may keep an answer, at least.
const KEEP_LEAST: Duration = Duration::from_secs(5);
/// Time for which a caller may keep an answer, at most.
const KEEP_MOST: Duration = Duration::from_secs(10);
/// Silence after which an entry is left out.
const SILENCE: Duration = Duration::from_secs(3);

/// An entry as another entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryState {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Address for callers, `IP:PORT`.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether the entry is stopping.
    pub stopping: bool,
    /// Last sign of life.
    #[serde(rename = "heard")]
    pub last_seen: Time,
}

/// Addresses in the order in which a caller should try them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Addresses, best first.
    pub addresses: Vec<String>,
    /// Time for which the answer may be kept.
    #[serde(rename = "keep")]
    pub ttl: Duration,
}

/// Orders entry addresses for a caller in `zone`: nearest first, spread evenly.
///
/// `standing` tells whether operators have a zone in service. Entries that
/// stop, are silent or stand in a zone that is out are left out. Should none
/// remain, those in zones that are out are named, because they still serve
/// callers; should none of these be alive, all are named.
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
    let live = |e: &EntryState| !e.stopping && now.since(e.last_seen) < SILENCE;
    let open = |e: &EntryState| live(e) && standing(&e.zone) == Standing::In;
    let mut chosen: Vec<&EntryState> = entries.iter().filter(|e| open(e)).collect();
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
    let ttl = rng.random_range(KEEP_LEAST.as_secs()..=KEEP_MOST.as_secs());
    Advice {
        addresses: ranked
            .into_iter()
            .map(|(_, _, e)| e.address.clone())
            .collect(),
        ttl: Duration::from_secs(ttl),
    }
}
