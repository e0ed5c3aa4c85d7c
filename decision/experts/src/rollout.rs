//! Rolling version change of a service.
//!
//! Upstreams change one at a time, and only while the remaining warm capacity
//! covers the demand with some headroom.

use std::collections::BTreeMap;

use derive_more::Display;
use pimentotide_model::{ModelName, UpstreamName, VersionName, Warmth};
use serde::{Deserialize, Serialize};

use crate::Change;

/// Minimum ratio of the remaining warm capacity to demand.
const HEADROOM_RATIO: f64 = 1.2;

/// One upstream of the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Loaded version; `None` while nothing is loaded.
    pub version: Option<VersionName>,
    /// Warm-up state.
    pub warmth: Warmth,
    /// Concurrent requests when warm.
    pub capacity: u32,
    /// Whether it accepts new requests: in service, announced and not draining.
    pub serving: bool,
    /// Whether an order to it is still running.
    pub changing: bool,
}

/// Reason why a version change waits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// An order to an upstream is still running.
    #[display("an upstream is changing")]
    Changing,
    /// An upstream with the new version has not warmed up.
    #[display("a changed upstream is not warm")]
    Warming,
    /// The remaining warm capacity would not cover the demand.
    #[display("the other warm upstreams lack the capacity for the load")]
    Capacity,
}

/// Next step of a version change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutStep {
    /// Send this order to the upstream.
    Order(UpstreamName, Change),
    /// Retry later.
    Wait(Wait),
    /// All upstreams have the version loaded.
    Done,
}

/// Returns the next step that brings all of `members` to `version`.
///
/// `demand` is the number of concurrent requests of the service. One upstream
/// changes at a time; those without usable capacity go first.
pub fn next_step(
    members: &BTreeMap<UpstreamName, Member>,
    model: &ModelName,
    version: &VersionName,
    demand: u32,
) -> RolloutStep {
    let stale = |m: &Member| m.version.as_ref() != Some(version);
    if members.values().any(|m| m.changing) {
        return RolloutStep::Wait(Wait::Changing);
    }
    let mut pending: Vec<(&UpstreamName, &Member)> =
        members.iter().filter(|(_, m)| stale(m)).collect();
    if pending.is_empty() {
        return RolloutStep::Done;
    }
    pending.sort_by_key(|(name, m)| (usable_capacity(m), *name));
    let (name, member) = pending[0];
    let order = || RolloutStep::Order(name.clone(), Change::Load(model.clone(), version.clone()));
    if usable_capacity(member) == 0 {
        return order();
    }
    let unwarmed = |m: &Member| !stale(m) && m.serving && m.warmth != Warmth::Warm;
    if members.values().any(unwarmed) {
        return RolloutStep::Wait(Wait::Warming);
    }
    let all: u32 = members.values().map(usable_capacity).sum();
    let remaining = all - usable_capacity(member);
    if remaining == 0 || f64::from(remaining) < f64::from(demand) * HEADROOM_RATIO {
        return RolloutStep::Wait(Wait::Capacity);
    }
    order()
}

/// Concurrent requests that an upstream can serve now.
fn usable_capacity(member: &Member) -> u32 {
    if member.serving && member.version.is_some() && member.warmth == Warmth::Warm {
        member.capacity
    } else {
        0
    }
}
