//! First answers to orders, retained so that a resent order is applied once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use pimentotide_model::{ErrorKind, Fingerprint, OrderId, Revision, Time};
use serde::{Deserialize, Serialize};

use super::history::Record;
use crate::declare::{Fault, Order};

/// Time for which a resent order receives its first answer.
pub const RESEND_WINDOW: Duration = Duration::from_secs(3_600);

/// Maximum number of answers retained; beyond it the oldest is evicted before its window ends.
pub const MAX_ANSWERS: usize = 4_096;

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The order is in force from this revision on.
    Accepted {
        /// Revision that the order created.
        revision: Revision,
    },
    /// The base of the order is not the current revision.
    Conflict {
        /// Revision that the order is based on.
        base: Revision,
        /// Revision in force.
        current: Revision,
        /// Order that created the revision after `base`; `None` if it is not retained.
        winner: Option<Record>,
    },
    /// The order identifier was used before with different content.
    Mismatch {
        /// Reused identifier.
        id: OrderId,
    },
    /// The resulting declarations or the order itself fail the checks.
    Invalid {
        /// Faults found, bounded in number.
        faults: Vec<Fault>,
    },
}

impl Verdict {
    /// Error kind of the verdict; `None` if the order is accepted.
    pub const fn kind(&self) -> Option<ErrorKind> {
        match self {
            Self::Accepted { .. } => None,
            Self::Conflict { .. } => Some(ErrorKind::RevisionConflict),
            Self::Mismatch { .. } => Some(ErrorKind::KeyMismatch),
            Self::Invalid { .. } => Some(ErrorKind::InvalidDeclaration),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Answered {
    content: Fingerprint,
    verdict: Verdict,
}

/// First answers by order identifier.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Ledger {
    answers: BTreeMap<OrderId, Answered>,
    arrivals: VecDeque<(Time, OrderId)>,
}

impl Ledger {
    /// Returns the answer to an order that was submitted before.
    ///
    /// An order with the same identifier but different content is a mismatch.
    pub(crate) fn find(&self, order: &Order, content: Fingerprint) -> Option<Verdict> {
        let answered = self.answers.get(&order.id)?;
        if answered.content == content {
            return Some(answered.verdict.clone());
        }
        Some(Verdict::Mismatch {
            id: order.id.clone(),
        })
    }

    /// Stores the first answer to an order.
    pub(crate) fn insert(&mut self, id: OrderId, content: Fingerprint, verdict: Verdict, at: Time) {
        self.arrivals.push_back((at, id.clone()));
        self.answers.insert(id, Answered { content, verdict });
        if self.arrivals.len() > MAX_ANSWERS {
            self.evict_oldest();
        }
    }

    /// Evicts the answers that are past the window.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some((at, _)) = self.arrivals.front() {
            if now.since(*at) < RESEND_WINDOW {
                return;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, id)) = self.arrivals.pop_front() {
            self.answers.remove(&id);
        }
    }
}
