//! Changes of an upstream between two states of the log.

use derive_more::Display;
use pimentotide_model::{UpstreamName, ZoneName};

use crate::{Record, Stage};

/// Kind of change of an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UpstreamChange {
    /// It announced itself for the first time.
    #[display("new")]
    New,
    /// It restarted under the same name.
    #[display("restarted")]
    Restarted,
    /// It became cold.
    #[display("cold")]
    Cold,
    /// It accepts no new work.
    #[display("draining")]
    Draining,
    /// It accepts new work again.
    #[display("ready")]
    Ready,
    /// Its address or its service changed.
    #[display("moved")]
    Moved,
    /// It withdrew or expired.
    #[display("gone")]
    Gone,
}

/// Change of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEvent {
    /// Upstream that changed.
    pub upstream: UpstreamName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// What changed; the first that applies in the order restarted, moved, draining or ready, cold.
    pub change: UpstreamChange,
}

impl UpstreamEvent {
    /// Compares two records of an upstream; `None` if no [`UpstreamChange`] applies.
    pub fn between(before: Option<&Record>, after: Option<&Record>) -> Option<Self> {
        let change = match (before, after) {
            (None, None) => return None,
            (None, Some(_)) => UpstreamChange::New,
            (Some(_), None) => UpstreamChange::Gone,
            (Some(old), Some(new)) => change(old, new)?,
        };
        let announcement = &after.or(before)?.announcement;
        Some(Self {
            upstream: announcement.upstream.clone(),
            zone: announcement.zone.clone(),
            change,
        })
    }
}

fn change(old: &Record, new: &Record) -> Option<UpstreamChange> {
    let (before, after) = (&old.announcement, &new.announcement);
    if before.born != after.born {
        Some(UpstreamChange::Restarted)
    } else if (before.address, &before.service) != (after.address, &after.service) {
        Some(UpstreamChange::Moved)
    } else if before.stage != after.stage {
        Some(match after.stage {
            Stage::Draining => UpstreamChange::Draining,
            Stage::Ready => UpstreamChange::Ready,
        })
    } else if old.cold_index != new.cold_index {
        Some(UpstreamChange::Cold)
    } else {
        None
    }
}
