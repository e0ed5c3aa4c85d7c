//! What operators see of one group.

use derive_more::Display;
use pimentotide_model::{GroupName, Time};
use serde::{Deserialize, Serialize};

use crate::{
    Budget, Coordinator, Declined, Ending, Forecast, MapId, Phase, Plan, Planner, Verdict,
};

/// Outcome of the last look of the planner.
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
        /// Forecast for the map in force.
        before: Forecast,
        /// Forecast for the proposed map.
        after: Forecast,
        /// Experts moved.
        moves: usize,
        /// Bytes moved.
        bytes: u64,
    },
    /// The group stays on its map.
    #[display("declined: {_0}")]
    Declined(Declined),
}

/// Rank that is slower than ordinary.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Straggler {
    /// Rank.
    pub rank: u16,
    /// Speed, 1.0 for an ordinary rank.
    pub speed: f64,
}

/// What the shell of a coordinator adds to the status of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupNotes {
    /// Whether operators have paused rebalancing.
    pub paused: bool,
    /// Bytes that rebalancing may still move.
    pub allowance: u64,
    /// Outcome of the last look.
    pub plan: Option<PlanNote>,
    /// When the last look was.
    pub looked: Option<Time>,
}

/// One group as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name of the group.
    pub name: GroupName,
    /// Ranks in the group.
    pub ranks: usize,
    /// Ranks that have reported.
    pub reporting: usize,
    /// Map decided last.
    pub map: MapId,
    /// Whether all ranks run under it.
    pub settled: bool,
    /// Step that the slowest rank has reached.
    pub step: u64,
    /// Where a switch stands.
    pub phase: Phase,
    /// How the last switch ended.
    pub ending: Option<Ending>,
    /// Time over the lower bound, forecast for the map in force.
    pub skew: f64,
    /// Slowest rank, if it is slower than ordinary.
    pub straggler: Option<Straggler>,
    /// Whether operators have paused rebalancing.
    pub paused: bool,
    /// Bytes that rebalancing may still move.
    pub allowance: u64,
    /// Part of the weights store's rate in use, 0.0 to 1.0.
    pub store: f64,
    /// Outcome of the last look.
    pub plan: Option<PlanNote>,
    /// When the last look was.
    pub looked: Option<Time>,
}

impl PlanNote {
    /// Notes the outcome of a look.
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
    /// Gathers the state of a group; none before the coordinator has read it.
    pub fn gather(
        name: &GroupName,
        coordinator: &Coordinator,
        planner: &mut Planner,
        budget: &Budget,
        notes: GroupNotes,
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
            looked: notes.looked,
        })
    }
}
