//! Recent configurations of a replica, from which it computes deltas.

use std::collections::VecDeque;

use crate::delta::{Delta, IndexedText, MAX_DELTA_RESULT_BYTES};
use crate::state::Declared;

/// Maximum number of recorded documents.
pub const MAX_DOCUMENTS: usize = 8;
/// Maximum bytes of recorded documents; a larger one is recorded alone.
pub const MAX_HISTORY_BYTES: usize = 4 << 20;

/// Last documents in the order of the log.
#[derive(Clone, Debug, Default)]
pub struct DocumentHistory {
    documents: VecDeque<Declared>,
}

impl DocumentHistory {
    /// Records a document unless it or a later one is recorded; returns whether it was.
    pub fn record(&mut self, declared: &Declared) -> bool {
        if self.latest().is_some_and(|d| d.index >= declared.index) {
            return false;
        }
        self.documents.push_back(declared.clone());
        while self.documents.len() > MAX_DOCUMENTS
            || self.documents.len() > 1 && self.bytes() > MAX_HISTORY_BYTES
        {
            self.documents.pop_front();
        }
        true
    }

    /// Returns the latest document.
    pub fn latest(&self) -> Option<&Declared> {
        self.documents.back()
    }

    /// Returns the total size of the recorded documents.
    pub fn bytes(&self) -> usize {
        self.documents.iter().map(|d| d.document.len()).sum()
    }

    /// Returns the delta from the document at `from` to the latest one.
    ///
    /// `None` if the former is not recorded or not earlier, or if either is not UTF-8 or too long.
    pub fn delta(&self, from: u64) -> Option<Delta> {
        let base = self.documents.iter().find(|d| d.index == from)?;
        let latest = self.latest().filter(|d| d.index > from)?;
        if latest.document.len() > MAX_DELTA_RESULT_BYTES {
            return None;
        }
        Some(Delta::between(indexed(base)?, indexed(latest)?))
    }
}

fn indexed(declared: &Declared) -> Option<IndexedText<'_>> {
    let text = std::str::from_utf8(&declared.document).ok()?;
    Some(IndexedText {
        index: declared.index,
        text,
    })
}
