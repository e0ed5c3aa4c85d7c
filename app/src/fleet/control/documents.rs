//! Configurations as a replica sends them: deltas to entries that take them, else whole.

use std::collections::BTreeMap;
use std::sync::Arc;

use pimentotide_fleet::{Declared, DocumentHistory};
use pimentotide_model::{ErrorKind, Failure};
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};

use super::super::rpc::{Document, SeenRevisions};

/// Minimum size of a document relative to a delta that is sent in its place.
const MIN_RATIO: usize = 2;

/// Recent configurations, and the encodings of the latest one.
#[derive(Debug, Default)]
pub(super) struct Documents {
    history: DocumentHistory,
    /// Latest whole document sent, with its position.
    whole: Option<(u64, Arc<RawValue>)>,
    /// Deltas to the latest document by the position of their base; `None` if not worth sending.
    deltas: BTreeMap<u64, Option<Arc<RawValue>>>,
}

/// Change of the configuration in one of two forms; both are `None` without a change.
#[derive(Debug, Default)]
pub(super) struct DocumentChange {
    pub(super) whole: Option<Arc<RawValue>>,
    pub(super) delta: Option<Arc<RawValue>>,
}

impl DocumentChange {
    /// Returns the form for the metrics.
    pub(super) fn form(&self) -> Option<&'static str> {
        match (&self.delta, &self.whole) {
            (Some(_), _) => Some("delta"),
            (None, Some(_)) => Some("whole"),
            (None, None) => None,
        }
    }
}

impl Documents {
    /// Records the configuration in force and returns the change for an entry with `seen`.
    ///
    /// Each delta and each whole document is encoded once for all entries.
    pub(super) fn change_since(
        &mut self,
        seen: SeenRevisions,
        current: Option<&Declared>,
    ) -> Result<DocumentChange, Failure> {
        let Some(current) = current else {
            return Ok(DocumentChange::default());
        };
        if self.history.record(current) {
            self.deltas.clear();
        }
        if current.index == seen.declared {
            return Ok(DocumentChange::default());
        }
        let is_latest = self
            .history
            .latest()
            .is_some_and(|d| d.index == current.index);
        if seen.changes
            && is_latest
            && let Some(delta) = self.delta(seen.declared)?
        {
            return Ok(DocumentChange {
                whole: None,
                delta: Some(delta),
            });
        }
        Ok(DocumentChange {
            whole: Some(self.whole(current)?),
            delta: None,
        })
    }

    /// Returns the encoded delta to the latest document if it is worth sending.
    fn delta(&mut self, from: u64) -> Result<Option<Arc<RawValue>>, Failure> {
        if let Some(known) = self.deltas.get(&from) {
            return Ok(known.clone());
        }
        // Positions that are not recorded are not kept either, so that the deltas stay few.
        let Some(delta) = self.history.delta(from) else {
            return Ok(None);
        };
        let text = encode(&delta)?;
        let worth = text.get().len() * MIN_RATIO < delta.length;
        let kept = worth.then_some(text);
        self.deltas.insert(from, kept.clone());
        Ok(kept)
    }

    fn whole(&mut self, declared: &Declared) -> Result<Arc<RawValue>, Failure> {
        if let Some((index, text)) = &self.whole
            && *index == declared.index
        {
            return Ok(text.clone());
        }
        let text = encode(&Document {
            index: declared.index,
            text: String::from_utf8_lossy(&declared.document).into_owned(),
        })?;
        self.whole = Some((declared.index, text.clone()));
        Ok(text)
    }
}

fn encode<T>(value: &T) -> Result<Arc<RawValue>, Failure>
where
    T: Serialize,
{
    let text = to_raw_value(value).map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))?;
    Ok(text.into())
}
