//! Crashes of upstreams and the contents that ran on them.
//!
//! Reports of the same crash are merged. Crashes of many upstreams of a zone at once are
//! attributed to the zone, except for a content that ran on all of them. The loss of a whole
//! instance counts only when it happens twice to the same content.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use pimentotide_model::{Fingerprint, Incarnation, Time, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};

/// Number of lost instances that count as one crash of a content.
const LOSSES_PER_STRIKE: usize = 2;
/// Time after which a crash expires.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Number of upstreams of a zone whose crashes within [`ZONE_CRASH_WINDOW`] are
/// attributed to the zone.
const MIN_ZONE_CRASHES: usize = 3;
/// Time window in which crashes of one zone are related.
const ZONE_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of crashes; the oldest are evicted first.
const MAX_CRASHES: usize = 256;
/// Maximum number of suspects per crash.
const MAX_SUSPECTS_PER_CRASH: usize = 512;
/// Number of excused crashes that count as one crash of a content.
const EXCUSES_PER_STRIKE: usize = 2;

/// Process that observed a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Witness {
    /// An entry that lost the whole instance.
    Entry,
    /// A process that proved that the instance survived the crash of its upstream: its agent, or an
    /// entry whose connection the instance refused.
    Agent,
}

/// Crash of one incarnation of an upstream with the requests running on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Upstream that crashed.
    pub upstream: UpstreamName,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
    /// Zone of the upstream; `None` if the reporter has no record of it.
    pub zone: Option<ZoneName>,
    /// Process that observed the crash.
    pub witness: Witness,
    /// Contents of the running requests.
    pub suspects: Vec<Fingerprint>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Event {
    upstream: UpstreamName,
    incarnation: Incarnation,
    zone: Option<ZoneName>,
    witness: Witness,
    at: Time,
    suspects: BTreeSet<Fingerprint>,
    /// Suspects excused by the failure of the zone.
    excused: BTreeSet<Fingerprint>,
}

/// Crashes under one content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strikes {
    /// Number of crashes that count against the content.
    pub count: usize,
    /// Time of the last crash, also of one that does not count.
    pub last: Time,
}

/// Crashes of the last minutes, identical on every replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashHistory {
    events: VecDeque<Event>,
}

/// Crashes under one content, by how they count.
#[derive(Clone, Copy, Default)]
struct Tally {
    crashes: usize,
    losses: usize,
    excused: usize,
    last: Time,
}

impl Tally {
    fn add(&mut self, event: &Event, content: Fingerprint) {
        self.last = self.last.max(event.at);
        match (event.witness, event.excused.contains(&content)) {
            (Witness::Agent, true) => self.excused += 1,
            (Witness::Agent, false) => self.crashes += 1,
            (Witness::Entry, false) => self.losses += 1,
            (Witness::Entry, true) => {}
        }
    }

    fn strikes(self) -> Strikes {
        let excused = usize::from(self.excused >= EXCUSES_PER_STRIKE);
        Strikes {
            count: self.crashes + self.losses / LOSSES_PER_STRIKE + excused,
            last: self.last,
        }
    }
}

impl CrashHistory {
    /// Returns whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Records a crash; reports of the same crash are merged.
    ///
    /// Returns whether the crash is part of a zone failure, which excuses contents.
    pub fn report(&mut self, crash: &Crash, at: Time) -> bool {
        self.expire(at);
        self.merge(crash, at);
        let excuses = self.excuse_zone_failure(crash.zone.as_ref(), at);
        self.enforce_limits();
        excuses
    }

    /// Removes a content from all crashes.
    pub fn clear(&mut self, content: Fingerprint) {
        for event in &mut self.events {
            event.suspects.remove(&content);
            event.excused.remove(&content);
        }
        self.events.retain(|e| !e.suspects.is_empty());
    }

    /// Removes expired crashes.
    pub fn expire(&mut self, at: Time) {
        self.events.retain(|e| at < e.at + CRASH_RETENTION);
    }

    /// Returns the time at which the first crash expires; `None` if there is none.
    pub fn next_expiry(&self) -> Option<Time> {
        self.events.iter().map(|e| e.at + CRASH_RETENTION).min()
    }

    /// Returns the crashes under a content; `None` if none counts.
    pub fn strikes(&self, content: Fingerprint) -> Option<Strikes> {
        let mut tally = Tally::default();
        for event in self.events.iter().filter(|e| e.suspects.contains(&content)) {
            tally.add(event, content);
        }
        Some(tally.strikes()).filter(|s| s.count > 0)
    }

    /// Returns the contents under which upstreams crashed.
    pub fn all_strikes(&self) -> BTreeMap<Fingerprint, Strikes> {
        let mut tallies: BTreeMap<Fingerprint, Tally> = BTreeMap::new();
        for event in &self.events {
            for content in &event.suspects {
                tallies.entry(*content).or_default().add(event, *content);
            }
        }
        let strikes = tallies.into_iter().map(|(c, t)| (c, t.strikes()));
        strikes.filter(|(_, s)| s.count > 0).collect()
    }

    /// Returns the crashes that the instance of the upstream survived, each with its time and contents.
    pub fn crashes(&self) -> impl Iterator<Item = (Time, &BTreeSet<Fingerprint>)> {
        let survived = self.events.iter().filter(|e| e.witness == Witness::Agent);
        survived.map(|e| (e.at, &e.suspects))
    }

    /// Returns the contents that are excused from a crash.
    pub fn excused(&self) -> BTreeSet<Fingerprint> {
        let excused = self.events.iter().flat_map(|e| &e.excused);
        excused.copied().collect()
    }

    fn merge(&mut self, crash: &Crash, at: Time) {
        let existing = self
            .events
            .iter_mut()
            .find(|e| e.upstream == crash.upstream && e.incarnation == crash.incarnation);
        if let Some(event) = existing {
            event.witness = event.witness.max(crash.witness);
            event.zone = event.zone.take().or_else(|| crash.zone.clone());
            event.suspects.extend(&crash.suspects);
            return;
        }
        self.events.push_back(Event {
            upstream: crash.upstream.clone(),
            incarnation: crash.incarnation,
            zone: crash.zone.clone(),
            witness: crash.witness,
            at,
            suspects: crash.suspects.iter().copied().collect(),
            excused: BTreeSet::new(),
        });
    }

    /// Excuses the requests of a zone that lost many upstreams at once.
    ///
    /// A content that ran on all of these upstreams remains suspected.
    fn excuse_zone_failure(&mut self, zone: Option<&ZoneName>, at: Time) -> bool {
        let Some(zone) = zone else {
            return false;
        };
        let recent =
            |e: &Event| e.zone.as_ref() == Some(zone) && at.since(e.at) <= ZONE_CRASH_WINDOW;
        let crashes: Vec<&Event> = self.events.iter().filter(|e| recent(e)).collect();
        let upstreams: BTreeSet<&UpstreamName> = crashes.iter().map(|e| &e.upstream).collect();
        if upstreams.len() < MIN_ZONE_CRASHES {
            return false;
        }
        let common = crashes[1..]
            .iter()
            .fold(crashes[0].suspects.clone(), |common, e| {
                common.intersection(&e.suspects).copied().collect()
            });
        for event in self.events.iter_mut().filter(|e| recent(e)) {
            event.excused = event.suspects.difference(&common).copied().collect();
        }
        true
    }

    fn enforce_limits(&mut self) {
        while self.events.len() > MAX_CRASHES {
            self.events.pop_front();
        }
        for event in &mut self.events {
            while event.suspects.len() > MAX_SUSPECTS_PER_CRASH {
                event.suspects.pop_last();
            }
        }
    }
}
