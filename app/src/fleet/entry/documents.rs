//! Configurations and lists of upstreams as an entry receives them: whole, or as deltas.

use pimentotide_fleet::{Balancer, Delta, DeltaError, IndexedText, Record, UpstreamDelta};
use pimentotide_observe::Metrics;

use super::super::rpc::{Document, FleetView, SeenRevisions, StateUpdate};
use crate::lines::DeltaFailed;

/// Takes the configuration and the upstreams out of an update if they are later than those of the
/// entry, which are at `seen`.
///
/// # Errors
///
/// Fails if a delta does not start from what the entry has or is damaged; this is logged and counted.
pub(super) fn receive(
    update: &mut StateUpdate,
    seen: SeenRevisions,
    text: &str,
    balancer: &Balancer,
    metrics: &Metrics,
) -> Result<(Option<Document>, Option<FleetView>), DeltaError> {
    let held = IndexedText {
        index: seen.declared,
        text,
    };
    let document = receive_document(held, update.declared.take(), update.delta.take(), metrics)?;
    let fleet = receive_upstreams(
        seen.revision,
        balancer.records(),
        update.fleet.take(),
        update.upstreams.take(),
        metrics,
    )?;
    Ok((document, fleet))
}

/// Returns the document of an update if it is later than `held`.
fn receive_document(
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
                subject: "configuration",
                held: held.index,
                index: delta.index,
                detail: e.to_string(),
            });
            Err(e)
        }
    }
}

/// Returns the zones and upstreams of an update if they are later than `revision`.
fn receive_upstreams<'a, I>(
    revision: u64,
    records: I,
    whole: Option<FleetView>,
    delta: Option<UpstreamDelta>,
    metrics: &Metrics,
) -> Result<Option<FleetView>, DeltaError>
where
    I: Iterator<Item = &'a Record>,
{
    let count = |form| metrics.count("entry.lists", ("form", form), 1);
    if let Some(fleet) = whole.filter(|f| f.revision > revision) {
        count("whole");
        return Ok(Some(fleet));
    }
    let Some(delta) = delta.filter(|d| d.revision > revision) else {
        return Ok(None);
    };
    match delta.apply(revision, records.cloned()) {
        Ok(upstreams) => {
            count("delta");
            Ok(Some(FleetView {
                revision: delta.revision,
                closed: delta.closed,
                upstreams,
            }))
        }
        Err(e) => {
            count("failed");
            pimentotide_observe::event(&DeltaFailed {
                subject: "upstreams",
                held: revision,
                index: delta.revision,
                detail: e.to_string(),
            });
            Err(e)
        }
    }
}
