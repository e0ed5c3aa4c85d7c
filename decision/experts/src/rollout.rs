//! Next step of a version change that keeps enough warm capacity in service.

use std::collections::BTreeMap;

use derive_more::Display;
use pimentotide_model::{ModelName, UpstreamName, VersionName, Warmth};
use serde::{Deserialize, Serialize};

use crate::Change;

/// Capacity kept above demand, as a factor.
const HEADROOM: f64 = 1.2;

/// One upstream of the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Version that it serves, once one is loaded.
    pub version: Option<VersionName>,
    /// How far it has warmed up.
    pub warmth: Warmth,
    /// Requests at once when warm.
    pub capacity: u32,
    /// Whether it takes new work: in service, announced, not leaving.
    pub serving: bool,
    /// Whether an order to it still runs.
    pub changing: bool,
}

/// Why a version change waits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// An upstream is still loading.
    #[display("an upstream is changing")]
    Changing,
    /// A changed upstream has not warmed up.
    #[display("a changed upstream is not warm")]
    Warming,
    /// The others could not bear the load.
    #[display("the other warm upstreams could not bear the load")]
    Capacity,
}

/// Next step of a version change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutStep {
    /// Order one upstream.
    Order(UpstreamName, Change),
    /// Look again later.
    Wait(Wait),
    /// All upstreams serve the version.
    Done,
}

/// Decides the next step that brings all of `members` to `version`.
///
/// `demand` is the number of requests that the service runs at once. One
/// upstream changes at a time; those that bear nothing go first.
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
    let mut waiting: Vec<(&UpstreamName, &Member)> =
        members.iter().filter(|(_, m)| stale(m)).collect();
    if waiting.is_empty() {
        return RolloutStep::Done;
    }
    waiting.sort_by_key(|(name, m)| (bears(m), *name));
    let (name, member) = waiting[0];
    let order = || RolloutStep::Order(name.clone(), Change::Load(model.clone(), version.clone()));
    if bears(member) == 0 {
        return order();
    }
    let unwarmed = |m: &Member| !stale(m) && m.serving && m.warmth != Warmth::Warm;
    if members.values().any(unwarmed) {
        return RolloutStep::Wait(Wait::Warming);
    }
    let all: u32 = members.values().map(bears).sum();
    let rest = all - bears(member);
    if rest == 0 || f64::from(rest) < f64::from(demand) * HEADROOM {
        return RolloutStep::Wait(Wait::Capacity);
    }
    order()
}

/// Requests that an upstream bears at once now.
fn bears(member: &Member) -> u32 {
    if member.serving && member.version.is_some() && member.warmth == Warmth::Warm {
        member.capacity
    } else {
        0
    }
}
