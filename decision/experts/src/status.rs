//! Status of one group as reported to operators.

use derive_more::Display;
use pimentotide_model::{GroupName, Time};
use serde::{Deserialize, Serialize};

use crate::{
    Budget, Coordinator, Declined, Ending, Forecast, MapId, Phase, Plan, Planner, Verdict,
};

/// Outcome of an evaluation by the planner.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanNote {
    /// A map was proposed.
    #[display(
        "proposed: skew {:.3} to {:.3}, {moves} experts, {bytes} bytes",
        before.skew(),
        after.skew()
    )]
    Proposed {
        /// Forecast for the current map.
        before: Forecast,
        /// Forecast for the proposed map.
        after: Forecast,
        /// Experts moved.
        moves: usize,
        /// Bytes moved.
        bytes: u64,
    },
    /// The group keeps its map.
    #[display("declined: {_0}")]
    Declined(Declined),
}

/// Rank that is slower than an ordinary one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Straggler {
    /// Rank.
    pub rank: u16,
    /// Relative speed, 1.0 for an ordinary rank.
    pub speed: f64,
}

/// Part of a group's status that comes from its manager.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ManagerNotes {
    /// Whether operators have paused rebalancing.
    pub paused: bool,
    /// Bytes that rebalancing may move now.
    pub allowance: u64,
    /// Outcome of the last evaluation.
    pub plan: Option<PlanNote>,
    /// Time of the last evaluation.
    pub evaluated_at: Option<Time>,
}

/// Status of one group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name of the group.
    pub name: GroupName,
    /// Ranks in the group.
    pub ranks: usize,
    /// Ranks that have reported.
    pub reporting: usize,
    /// Latest decided map.
    pub map: MapId,
    /// Whether every rank has run a step under the map.
    pub settled: bool,
    /// Step that the slowest rank has reached.
    pub step: u64,
    /// Phase of the switch.
    pub phase: Phase,
    /// Outcome of the last switch.
    pub ending: Option<Ending>,
    /// Forecast step time over its lower bound, for the current map.
    pub skew: f64,
    /// Slowest rank, if it is slower than an ordinary one.
    pub straggler: Option<Straggler>,
    /// Whether operators have paused rebalancing.
    pub paused: bool,
    /// Bytes that rebalancing may move now.
    pub allowance: u64,
    /// Ratio of the weights store's rate in use, 0.0 to 1.0.
    pub store: f64,
    /// Outcome of the last evaluation.
    pub plan: Option<PlanNote>,
    /// Time of the last evaluation.
    #[serde(rename = "looked")]
    pub evaluated_at: Option<Time>,
}

impl PlanNote {
    /// Summarises the outcome of an evaluation.
    pub fn of(verdict: &Verdict) -> Self {
        match verdict {
            Verdict::Propose(plan) => Self::proposed(plan),
            Verdict::Decline { reason, .. } => Self::Declined(*reason),
        }
    }

    fn proposed(plan: &Plan) -> Self {
        Self::Proposed {
            before: plan.before,
            after: plan.after,
            moves: plan.loads.len(),
            bytes: plan.bytes,
        }
    }
}

impl GroupStatus {
    /// Collects the status of a group; `None` until the coordinator has read it.
    pub fn collect(
        name: &GroupName,
        coordinator: &Coordinator,
        planner: &mut Planner,
        budget: &Budget,
        notes: ManagerNotes,
        now: Time,
    ) -> Option<Self> {
        let group = coordinator.group()?;
        let reports = || coordinator.ranks().iter().flatten();
        let forecast = planner.demand(now);
        let forecast = forecast.forecast(&group.layout, &group.decided.map);
        let straggler = planner.straggler(now);
        Some(Self {
            name: name.clone(),
            ranks: group.layout.ranks.len(),
            reporting: reports().count(),
            map: group.decided.id,
            settled: group.decided.settled,
            step: reports().map(|s| s.step).min().unwrap_or(0),
            phase: coordinator.phase(),
            ending: coordinator.ending(),
            skew: forecast.skew(),
            straggler: straggler.map(|(rank, speed)| Straggler { rank, speed }),
            paused: notes.paused,
            allowance: notes.allowance,
            store: budget.used(now) as f64 / budget.rate().max(1) as f64,
            plan: notes.plan,
            evaluated_at: notes.evaluated_at,
        })
    }
}
