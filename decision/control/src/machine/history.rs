//! Accepted orders: summaries for operators and full changes for lagging holders.

use std::collections::VecDeque;

use pimentotide_model::{OrderId, Revision, Time};
use serde::{Deserialize, Serialize};

use crate::declare::{Action, Order};

/// Maximum number of summaries retained.
pub const MAX_RECORDS: usize = 1_000;

/// Maximum number of full changes retained.
pub const MAX_CHANGES: usize = 64;

/// Maximum size of all full changes retained.
pub const MAX_CHANGES_BYTES: usize = 256 << 10;

/// Summary of one accepted order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision that the order created.
    pub revision: Revision,
    /// Identifier of the order.
    pub id: OrderId,
    /// Operator that submitted the order.
    pub actor: String,
    /// Log time at which the order was applied.
    pub at: Time,
    /// One-line description of the action.
    pub summary: String,
}

/// Action of an accepted order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the action created.
    pub revision: Revision,
    /// Change to the declarations.
    pub action: Action,
}

/// Accepted orders, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct History {
    records: VecDeque<Record>,
    changes: VecDeque<Change>,
    sizes: VecDeque<u32>,
}

impl History {
    /// Adds an accepted order.
    pub(crate) fn push(&mut self, order: &Order, revision: Revision, at: Time) {
        self.records.push_back(Record {
            revision,
            id: order.id.clone(),
            actor: order.actor.clone(),
            at,
            summary: order.action.to_string(),
        });
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
        self.push_change(&order.action, revision);
    }

    /// Summaries, oldest first.
    pub(crate) fn records(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.records.iter()
    }

    /// Summary of the order that created `revision`; `None` if it is not retained.
    pub(crate) fn record(&self, revision: Revision) -> Option<&Record> {
        self.records.iter().find(|r| r.revision == revision)
    }

    /// All changes after `revision`; `None` if they are no longer all retained.
    pub(crate) fn changes_after(&self, revision: Revision) -> Option<Vec<Change>> {
        let first = self.changes.front()?.revision;
        if revision.0.saturating_add(1) < first.0 {
            return None;
        }
        let newer = self.changes.iter().filter(|c| c.revision > revision);
        Some(newer.cloned().collect())
    }

    fn push_change(&mut self, action: &Action, revision: Revision) {
        let bytes = postcard::to_stdvec(action).map_or(u32::MAX, |b| saturating_size(b.len()));
        self.changes.push_back(Change {
            revision,
            action: action.clone(),
        });
        self.sizes.push_back(bytes);
        while self.changes.len() > MAX_CHANGES || self.bytes() > MAX_CHANGES_BYTES {
            self.changes.pop_front();
            self.sizes.pop_front();
        }
    }

    fn bytes(&self) -> usize {
        self.sizes.iter().map(|s| *s as usize).sum()
    }
}

fn saturating_size(bytes: usize) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}
