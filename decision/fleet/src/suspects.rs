//! Contents that crash upstreams, as all entries share them.
//!
//! An entry reports the crash of an upstream with the contents that ran there, and later which
//! of the suspected contents ran soundly. Requests that run beside a crashing one are suspected
//! too, and may be again when both are retried. So two crashes refuse a content only for a
//! while, after which it may run again: a sound run clears it, and a third crash refuses it for
//! as long as the crashes are kept. Parts of prompts that other requests share are refused in
//! the same way, after more crashes.

use std::collections::BTreeSet;
use std::time::Duration;

use pimentotide_model::{Fingerprint, Time};
use pimentotide_outcome::{Crash, CrashHistory, Strikes};
use serde::{Deserialize, Serialize};

use crate::prompts::{Blame, Prompt, SuspectPrompts};

/// Number of crashes after which a content is refused for [`PROBATION`].
const PROBATION_STRIKES: usize = 2;
/// Number of crashes after which a content is refused until they expire.
const MAX_STRIKES: usize = 3;
/// Number of crashes after which a part of prompts is refused until they expire.
const MAX_PART_STRIKES: usize = 5;
/// Duration of a refusal that is not final.
pub const PROBATION: Duration = Duration::from_secs(60);

/// Suspected and refused contents, as entries receive them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectView {
    /// Log index of the last change.
    pub revision: u64,
    /// Contents that a sound run clears; entries report such runs.
    pub suspected: BTreeSet<Fingerprint>,
    /// Contents that no entry sends to an upstream.
    pub refused: BTreeSet<Fingerprint>,
    /// Parts of prompts that a sound run clears.
    pub suspected_parts: BTreeSet<Fingerprint>,
    /// Parts of prompts; no entry sends a request that has all parts of one of these sets.
    pub refused_parts: Vec<BTreeSet<Fingerprint>>,
}

impl SuspectView {
    /// Whether a sound run clears this content or part.
    pub fn is_suspected(&self, digest: &Fingerprint) -> bool {
        self.suspected.contains(digest) || self.suspected_parts.contains(digest)
    }

    /// Whether both views suspect and refuse the same.
    fn is_same(&self, other: &Self) -> bool {
        self.suspected == other.suspected
            && self.refused == other.refused
            && self.suspected_parts == other.suspected_parts
            && self.refused_parts == other.refused_parts
    }
}

/// Whether a content under which upstreams crashed is refused.
fn is_refused(strikes: Strikes, at: Time) -> bool {
    is_final(strikes) || strikes.count == PROBATION_STRIKES && at < strikes.last + PROBATION
}

/// Whether parts that are blamed for crashes are refused.
fn is_blame_refused(blame: &Blame, at: Time) -> bool {
    blame.crashes >= MAX_PART_STRIKES || at < blame.last + PROBATION
}

/// Whether a content is refused until its crashes expire; a sound run no longer clears it.
fn is_final(strikes: Strikes) -> bool {
    strikes.count >= MAX_STRIKES
}

/// Suspicion from reported crashes: the replicated one, or that of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Suspects {
    history: CrashHistory,
    prompts: SuspectPrompts,
    view: SuspectView,
    /// Time at which a crash or a probation ends; `None` without crashes.
    next_change: Option<Time>,
}

impl Suspects {
    pub(crate) fn view(&self) -> &SuspectView {
        &self.view
    }

    /// Whether a content is refused until its crashes expire.
    pub(crate) fn is_final(&self, content: Fingerprint) -> bool {
        self.history.strikes(content).is_some_and(is_final)
    }

    /// Records a crash; true if it changed what entries act on.
    pub(crate) fn report<I>(&mut self, index: u64, crash: &Crash, prompts: I, at: Time) -> bool
    where
        I: IntoIterator<Item = Prompt>,
    {
        self.history.report(crash, at);
        self.prompts.add(prompts);
        self.refresh(index, at)
    }

    /// Clears contents and parts that ran soundly; true if it changed what entries act on.
    pub(crate) fn clear(&mut self, index: u64, sound: &[Fingerprint], at: Time) -> bool {
        let suspected = sound.iter().filter(|d| self.view.is_suspected(d));
        let suspected: Vec<Fingerprint> = suspected.copied().collect();
        if suspected.is_empty() {
            return false;
        }
        for digest in suspected {
            self.history.clear(digest);
            self.prompts.clear(digest);
        }
        self.refresh(index, at)
    }

    /// Removes what has expired.
    pub(crate) fn expire(&mut self, index: u64, at: Time) {
        if self.next_change.is_some_and(|due| due <= at) {
            self.history.expire(at);
            self.refresh(index, at);
        }
    }

    /// Derives the view from the crashes; returns whether it has changed.
    fn refresh(&mut self, index: u64, at: Time) -> bool {
        let strikes = self.history.all_strikes();
        let contents = |keep: &dyn Fn(Strikes) -> bool| -> BTreeSet<Fingerprint> {
            let kept = strikes.iter().filter(|(_, s)| keep(**s));
            kept.map(|(content, _)| *content).collect()
        };
        self.prompts.retain_recorded(&self.history);
        let blames = self.prompts.blame(&self.history);
        let refused_blames = blames.iter().filter(|b| is_blame_refused(b, at));
        let view = SuspectView {
            revision: index,
            suspected: contents(&|s| !is_final(s)),
            refused: contents(&|s| is_refused(s, at)),
            suspected_parts: self.prompts.parts(),
            refused_parts: refused_blames.map(|b| b.parts.clone()).collect(),
        };
        let last_crashes = strikes.values().map(|s| s.last);
        let last_crashes = last_crashes.chain(blames.iter().map(|b| b.last));
        let probations = last_crashes.map(|last| last + PROBATION);
        let ends = probations.filter(|end| *end > at);
        self.next_change = ends.chain(self.history.next_expiry()).min();
        let changed = !view.is_same(&self.view);
        if changed {
            self.view = view;
        }
        changed
    }
}
