//! Changes of the list of upstreams, for entries that have an earlier list.
//!
//! A replica remembers which revisions it saw, and at which of them it first saw the present record
//! of each upstream. Deltas start only from revisions that it saw: an upstream that changes and
//! changes back in between looks unchanged to it, though not to an entry that followed another.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pimentotide_model::{Fingerprint, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::delta::DeltaError;
use crate::state::{FleetState, Record, differs};

/// Maximum number of remembered removals.
const MAX_REMOVED: usize = 256;
/// Maximum number of revisions from which deltas are given.
const MAX_REVISIONS: usize = 64;

/// Changed part of the list of upstreams, with the closed zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDelta {
    /// Revision of the list that the entry has.
    pub from: u64,
    /// Revision of the result.
    pub revision: u64,
    /// Zones out of service.
    pub closed: BTreeSet<ZoneName>,
    /// Records that are new or changed.
    pub changed: Vec<Record>,
    /// Upstreams that are no longer in the list.
    pub removed: Vec<UpstreamName>,
    /// Digest of the result.
    pub digest: Fingerprint,
}

impl UpstreamDelta {
    /// Returns the list that the delta makes of `records` at revision `revision`.
    ///
    /// # Errors
    ///
    /// Fails if the delta starts from another revision or the result has another digest.
    pub fn apply<I>(&self, revision: u64, records: I) -> Result<Vec<Record>, DeltaError>
    where
        I: IntoIterator<Item = Record>,
    {
        if revision != self.from {
            return Err(DeltaError::OtherBase);
        }
        let all = records.into_iter().chain(self.changed.iter().cloned());
        let mut list: BTreeMap<UpstreamName, Record> =
            all.map(|r| (r.announcement.upstream.clone(), r)).collect();
        for upstream in &self.removed {
            list.remove(upstream);
        }
        if digest(list.values()) == self.digest {
            Ok(list.into_values().collect())
        } else {
            Err(DeltaError::WrongDigest)
        }
    }
}

/// Revisions at which a replica first saw the present records.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHistory {
    /// Recorded revisions in order; empty before the first list.
    revisions: VecDeque<u64>,
    records: BTreeMap<UpstreamName, (Record, u64)>,
    removed: BTreeMap<UpstreamName, u64>,
    digest: Fingerprint,
}

impl UpstreamHistory {
    /// Records the list of upstreams of a state.
    pub fn record(&mut self, state: &FleetState) {
        let revision = state.revision();
        if self.revisions.back().is_some_and(|r| revision <= *r) {
            return;
        }
        self.revisions.push_back(revision);
        if self.revisions.len() > MAX_REVISIONS {
            self.revisions.pop_front();
        }
        let upstreams = state.upstreams();
        let gone: Vec<UpstreamName> = self
            .records
            .keys()
            .filter(|name| !upstreams.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            self.records.remove(&name);
            self.removed.insert(name, revision);
        }
        for (name, record) in upstreams {
            let known = self.records.get(name);
            if known.is_none_or(|(old, _)| is_changed(old, record)) {
                self.removed.remove(name);
                self.records
                    .insert(name.clone(), (record.clone(), revision));
            }
        }
        self.forget_removals();
        self.digest = digest(upstreams.values());
    }

    /// Drops the oldest removals, and with them the revisions before.
    fn forget_removals(&mut self) {
        while self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.values().min().copied();
            self.removed.retain(|_, at| Some(*at) != oldest);
            self.revisions.retain(|r| Some(*r) >= oldest);
        }
    }

    /// Returns the changes from the list at `from` to that of `state`.
    ///
    /// `None` if `state` is not the latest one recorded, if `from` is not an earlier recorded
    /// revision, or if more than half of the upstreams have changed.
    pub fn delta(&self, state: &FleetState, from: u64) -> Option<UpstreamDelta> {
        let revision = *self.revisions.back()?;
        let known = from < revision && self.revisions.contains(&from);
        if !known || state.revision() != revision {
            return None;
        }
        let later = self.records.iter().filter(|(_, (_, at))| *at > from);
        let changed: Vec<Record> = later
            .filter_map(|(name, _)| state.upstreams().get(name).cloned())
            .collect();
        let removed = self.removed.iter().filter(|(_, at)| **at > from);
        let removed: Vec<UpstreamName> = removed.map(|(name, _)| name.clone()).collect();
        if (changed.len() + removed.len()) * 2 > state.upstreams().len() {
            return None;
        }
        Some(UpstreamDelta {
            from,
            revision,
            closed: state.closed().clone(),
            changed,
            removed,
            digest: self.digest,
        })
    }
}

/// Whether a record differs from an earlier one in anything that entries act on.
fn is_changed(old: &Record, new: &Record) -> bool {
    old.cold_index != new.cold_index || differs(&old.announcement, &new.announcement)
}

/// Digests what entries act on; sequence numbers and times of receipt change without a revision.
fn digest<'a, I>(records: I) -> Fingerprint
where
    I: Iterator<Item = &'a Record>,
{
    let texts: Vec<String> = records
        .map(|r| {
            let a = &r.announcement;
            format!(
                "{} {} {} {} {} {} {} {} {}",
                a.upstream,
                a.service,
                a.address,
                a.zone,
                a.stage,
                a.slots,
                a.born,
                r.cold_index,
                a.cold_ms > 0
            )
        })
        .collect();
    Fingerprint::of(texts.iter().map(String::as_bytes))
}
