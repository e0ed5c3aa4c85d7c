//! First answers to orders, kept so that a resent order is applied once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use pimentotide_model::{ErrorKind, Fingerprint, OrderId, Revision, Time};
use serde::{Deserialize, Serialize};

use super::history::Record;
use crate::declare::{Fault, Order};

/// Time for which a resent order gets its first answer.
pub const RESEND_WINDOW: Duration = Duration::from_secs(3_600);

/// Most answers kept; beyond it the oldest is dropped before its time.
pub const MAX_ANSWERS: usize = 4_096;

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// In force from this revision on.
    Accepted {
        /// Revision that the order made.
        revision: Revision,
    },
    /// Another order came first.
    Conflict {
        /// Revision that the order was made against.
        base: Revision,
        /// Revision in force.
        current: Revision,
        /// Order that followed `base` in its place; none if it is no longer known.
        winner: Option<Record>,
    },
    /// The order identifier was used before with other content.
    Mismatch {
        /// Identifier.
        id: OrderId,
    },
    /// The declarations that it would make are wrong.
    Invalid {
        /// Every fault.
        faults: Vec<Fault>,
    },
}

impl Verdict {
    /// Kind of error that the verdict amounts to; none if the order is accepted.
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
    /// Looks up the answer to an order that was given before.
    pub(crate) fn find(&self, order: &Order, content: Fingerprint) -> Option<Verdict> {
        let answered = self.answers.get(&order.id)?;
        if answered.content == content {
            return Some(answered.verdict.clone());
        }
        Some(Verdict::Mismatch {
            id: order.id.clone(),
        })
    }

    /// Keeps the first answer to an order.
    pub(crate) fn keep(&mut self, id: OrderId, content: Fingerprint, verdict: Verdict, at: Time) {
        self.arrivals.push_back((at, id.clone()));
        self.answers.insert(id, Answered { content, verdict });
        if self.arrivals.len() > MAX_ANSWERS {
            self.drop_oldest();
        }
    }

    /// Drops the answers that are past the window.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some((at, _)) = self.arrivals.front() {
            if now.since(*at) < RESEND_WINDOW {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.arrivals.pop_front() {
            self.answers.remove(&id);
        }
    }
}
