//! What is new of an upstream between two states of the log.

use derive_more::Display;
use pimentotide_model::{UpstreamName, ZoneName};

use crate::{Record, Stage};

/// Change of an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UpstreamChange {
    /// It announced itself for the first time.
    #[display("new")]
    New,
    /// It started anew under its name.
    #[display("restarted")]
    Restarted,
    /// It became cold.
    #[display("cold")]
    Cold,
    /// It takes no new work any more.
    #[display("draining")]
    Draining,
    /// It takes new work again.
    #[display("ready")]
    Ready,
    /// It is at another address or runs another service.
    #[display("moved")]
    Moved,
    /// It left, or has been silent.
    #[display("gone")]
    Gone,
}

/// What is new of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEvent {
    /// Upstream.
    pub upstream: UpstreamName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Change.
    pub change: UpstreamChange,
}

impl UpstreamEvent {
    /// Compares two records of an upstream; none if nothing of note is new.
    pub fn between(before: Option<&Record>, after: Option<&Record>) -> Option<Self> {
        let change = match (before, after) {
            (None, None) => return None,
            (None, Some(_)) => UpstreamChange::New,
            (Some(_), None) => UpstreamChange::Gone,
            (Some(old), Some(new)) => change(old, new)?,
        };
        let said = &after.or(before)?.announcement;
        Some(Self {
            upstream: said.upstream.clone(),
            zone: said.zone.clone(),
            change,
        })
    }
}

fn change(old: &Record, new: &Record) -> Option<UpstreamChange> {
    let (was, is) = (&old.announcement, &new.announcement);
    if was.born != is.born {
        Some(UpstreamChange::Restarted)
    } else if (was.address, &was.service) != (is.address, &is.service) {
        Some(UpstreamChange::Moved)
    } else if was.stage != is.stage {
        Some(match is.stage {
            Stage::Draining => UpstreamChange::Draining,
            Stage::Ready => UpstreamChange::Ready,
        })
    } else if old.cold_index != new.cold_index {
        Some(UpstreamChange::Cold)
    } else {
        None
    }
}
