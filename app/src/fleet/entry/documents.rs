//! Configurations as an entry receives them: whole, or as deltas from the one that it has.

use pimentotide_fleet::{Delta, DeltaError, IndexedText};
use pimentotide_observe::Metrics;

use super::super::rpc::Document;
use crate::lines::DeltaFailed;

/// Returns the document of an update if it is later than `held`.
///
/// # Errors
///
/// Fails if the delta does not start from `held` or is damaged; this is logged and counted.
pub(super) fn receive(
    held: IndexedText<'_>,
    whole: Option<Document>,
    delta: Option<Delta>,
    metrics: &Metrics,
) -> Result<Option<Document>, DeltaError> {
    let count = |form| metrics.count("entry.documents", ("form", form), 1);
    if let Some(document) = whole.filter(|d| d.index > held.index) {
        count("whole");
        return Ok(Some(document));
    }
    let Some(delta) = delta.filter(|d| d.index > held.index) else {
        return Ok(None);
    };
    match delta.apply(held) {
        Ok(text) => {
            count("delta");
            Ok(Some(Document {
                index: delta.index,
                text,
            }))
        }
        Err(e) => {
            count("failed");
            pimentotide_observe::event(&DeltaFailed {
                held: held.index,
                index: delta.index,
                detail: e.to_string(),
            });
            Err(e)
        }
    }
}
