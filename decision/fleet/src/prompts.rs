//! Parts of prompts that crash upstreams, found among the prompts that ran on crashed ones.
//!
//! A part is blamed for the crashes of upstreams that ran requests with it, if these are
//! several and no single request ran on all of them. Parts that stand in the same crashes cannot
//! be told apart, so only requests with all of them are refused; what runs soundly with one of
//! them clears it. Once a part is blamed for a crash, no other part is.

use std::collections::{BTreeMap, BTreeSet};

use pimentotide_model::{Fingerprint, Time};
use pimentotide_outcome::CrashHistory;
use serde::{Deserialize, Serialize};

/// Number of crashes from which a part is blamed.
const MIN_CRASHES: usize = 3;
/// Maximum number of prompts kept; those of no recorded crash are removed first.
const MAX_PROMPTS: usize = 8_192;

/// Shared parts of a request's prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Digest of the request's content.
    pub content: Fingerprint,
    /// Digests of the parts that other requests may share.
    pub parts: BTreeSet<Fingerprint>,
}

/// Parts that together are blamed for crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Blame {
    /// Parts that stand in the same crashes.
    pub(crate) parts: BTreeSet<Fingerprint>,
    /// Number of these crashes.
    pub(crate) crashes: usize,
    /// Time of the last one.
    pub(crate) last: Time,
}

/// Prompts of the contents that ran on crashed upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SuspectPrompts {
    parts: BTreeMap<Fingerprint, BTreeSet<Fingerprint>>,
}

impl SuspectPrompts {
    /// Adds the prompts of a reported crash.
    pub(crate) fn add<I>(&mut self, prompts: I)
    where
        I: IntoIterator<Item = Prompt>,
    {
        for prompt in prompts {
            let parts = self.parts.entry(prompt.content).or_default();
            parts.extend(prompt.parts);
        }
    }

    /// Removes a content or a part that ran soundly.
    pub(crate) fn clear(&mut self, digest: Fingerprint) {
        self.parts.remove(&digest);
        for parts in self.parts.values_mut() {
            parts.remove(&digest);
        }
    }

    /// Removes the prompts of contents that `history` no longer holds.
    pub(crate) fn retain_recorded(&mut self, history: &CrashHistory) {
        let recorded: BTreeSet<Fingerprint> = history
            .crashes()
            .flat_map(|(_, suspects)| suspects)
            .copied()
            .collect();
        self.parts.retain(|content, _| recorded.contains(content));
        while self.parts.len() > MAX_PROMPTS {
            self.parts.pop_first();
        }
    }

    /// Returns all parts.
    pub(crate) fn parts(&self) -> BTreeSet<Fingerprint> {
        self.parts.values().flatten().copied().collect()
    }

    /// Returns the parts that are blamed, those under most crashes first.
    pub(crate) fn blame(&self, history: &CrashHistory) -> Vec<Blame> {
        let crashes: Vec<_> = history.crashes().collect();
        let mut unexplained = self.crashes_by_part(&crashes);
        unexplained.retain(|_, crashes| crashes.len() >= MIN_CRASHES);
        let mut blames = Vec::new();
        loop {
            let most = unexplained.values().max_by_key(|c| c.len()).cloned();
            let Some(most) = most.filter(|c| c.len() >= MIN_CRASHES) else {
                return blames;
            };
            let parts: BTreeSet<Fingerprint> = unexplained
                .iter()
                .filter(|(_, crashes)| **crashes == most)
                .map(|(part, _)| *part)
                .collect();
            unexplained.retain(|part, _| !parts.contains(part));
            if ran_one_content(&most, &crashes) {
                continue;
            }
            for other in unexplained.values_mut() {
                other.retain(|crash| !most.contains(crash));
            }
            let times = most.iter().map(|crash| crashes[*crash].0);
            blames.push(Blame {
                parts,
                crashes: most.len(),
                last: times.max().unwrap_or_default(),
            });
        }
    }

    /// Returns the positions of the crashes of upstreams that ran a part, by part.
    fn crashes_by_part(
        &self,
        crashes: &[(Time, &BTreeSet<Fingerprint>)],
    ) -> BTreeMap<Fingerprint, BTreeSet<usize>> {
        let mut by_part: BTreeMap<Fingerprint, BTreeSet<usize>> = BTreeMap::new();
        for (position, (_, suspects)) in crashes.iter().enumerate() {
            let prompts = suspects.iter().filter_map(|c| self.parts.get(c));
            for part in prompts.flatten() {
                by_part.entry(*part).or_default().insert(position);
            }
        }
        by_part
    }
}

/// Whether one content ran on the upstreams of all these crashes, which then explains them.
fn ran_one_content(
    positions: &BTreeSet<usize>,
    crashes: &[(Time, &BTreeSet<Fingerprint>)],
) -> bool {
    let mut suspects = positions.iter().map(|position| crashes[*position].1);
    let Some(first) = suspects.next() else {
        return false;
    };
    let rest: Vec<_> = suspects.collect();
    first
        .iter()
        .any(|content| rest.iter().all(|s| s.contains(content)))
}
