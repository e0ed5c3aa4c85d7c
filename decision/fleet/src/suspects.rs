//! Contents that crash upstreams, as all entries share them.
//!
//! An entry reports the crash of an upstream with the contents that ran there, and later which
//! of the suspected contents ran soundly. Requests that run beside a crashing one are suspected
//! too, and may be again when both are retried. So two crashes refuse a content only for a
//! while, after which it may run again: a sound run clears it, and a third crash refuses it for
//! as long as the crashes are kept.

use std::collections::BTreeSet;
use std::time::Duration;

use pimentotide_model::{Fingerprint, Time};
use pimentotide_outcome::{Crash, CrashHistory, Strikes};
use serde::{Deserialize, Serialize};

/// Number of crashes after which a content is refused for [`PROBATION`].
const PROBATION_STRIKES: usize = 2;
/// Number of crashes after which a content is refused until they expire.
const MAX_STRIKES: usize = 3;
/// Duration of a refusal after [`PROBATION_STRIKES`] crashes.
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
}

/// Whether a content under which upstreams crashed is refused.
fn is_refused(strikes: Strikes, at: Time) -> bool {
    is_final(strikes) || strikes.count == PROBATION_STRIKES && at < strikes.last + PROBATION
}

/// Whether a content is refused until its crashes expire; a sound run no longer clears it.
pub(crate) fn is_final(strikes: Strikes) -> bool {
    strikes.count >= MAX_STRIKES
}

/// Replicated suspicion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SharedSuspects {
    history: CrashHistory,
    view: SuspectView,
    /// Time at which a crash or a probation ends; `None` without crashes.
    next_change: Option<Time>,
}

impl SharedSuspects {
    pub(crate) fn view(&self) -> &SuspectView {
        &self.view
    }

    /// Records a crash; true if it changed what entries act on.
    pub(crate) fn report(&mut self, index: u64, crash: &Crash, at: Time) -> bool {
        self.history.report(crash, at);
        self.refresh(index, at)
    }

    /// Clears contents that ran soundly; true if it changed what entries act on.
    pub(crate) fn clear(&mut self, index: u64, contents: &[Fingerprint], at: Time) -> bool {
        for content in contents {
            if self.view.suspected.contains(content) {
                self.history.clear(*content);
            }
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
        let suspected = contents(&|s| !is_final(s));
        let refused = contents(&|s| is_refused(s, at));
        let probations = strikes.values().map(|s| s.last + PROBATION);
        let ends = probations.filter(|end| *end > at);
        self.next_change = ends.chain(self.history.next_expiry()).min();
        let changed = suspected != self.view.suspected || refused != self.view.refused;
        if changed {
            self.view = SuspectView {
                revision: index,
                suspected,
                refused,
            };
        }
        changed
    }
}
