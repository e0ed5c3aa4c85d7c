//! Decision whether to replace the current map, and by which one.
//!
//! A plan starts from the current map. Splitting tokens again over the existing
//! replicas moves no weights and comes first; then the changes that save most
//! time per expert moved. A plan is proposed only if it saves time under both
//! the fast and the slow average of popularity, so that a burst alone does not
//! move experts.

use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{RebalancePolicy, Time};
use serde::{Deserialize, Serialize};

use super::demand::{Demand, Forecast};
use super::popularity::{Popularity, TokenCounts};
use super::select::{Limits, improve_map};
use super::source::{Load, sources};
use super::speed::{Speeds, StepSample};
use crate::{ExpertMap, Layout, MapError};

/// Thresholds, limits and costs of plans for one group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanPolicy {
    /// Size of the weights of one expert in one layer, bytes.
    pub weight: u64,
    /// Staging memory of a rank, bytes.
    pub staging: u64,
    /// Time within which the time saved has to exceed the cost of the moves.
    pub horizon: Duration,
    /// Rate at which a rank receives weights, bytes per second.
    pub link: u64,
    /// Relative increase of the step time while weights are received.
    pub slowdown: f64,
    /// Time that a switch pauses the group.
    pub stall: Duration,
    /// Half-life of the fast average of popularity.
    pub fast: Duration,
    /// Half-life of the slow average of popularity.
    pub slow: Duration,
    /// Ratio of step time to lower bound from which a plan is computed.
    pub trigger: f64,
    /// Fraction of the step time that a plan has to save.
    pub gain: f64,
    /// Number of consecutive evaluations that have to reach the trigger.
    pub looks: u32,
    /// Minimum time between two proposals.
    pub pause: Duration,
}

/// Reason why no plan was proposed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Declined {
    /// Operators have paused rebalancing.
    #[display("rebalancing is paused")]
    Paused,
    /// A switch is in flight.
    #[display("a switch is in flight")]
    Switching,
    /// The current map is close enough to the bound.
    #[display("the current map is balanced")]
    Balanced,
    /// The trigger has been reached in too few consecutive evaluations.
    #[display("the imbalance has not lasted long enough")]
    Brief,
    /// The last proposal is too recent.
    #[display("the last plan is too recent")]
    Recent,
    /// No allowed change saves the required fraction of the step time.
    #[display("no change saves enough time")]
    SmallGain,
    /// The time saved within the horizon is less than the cost of the moves.
    #[display("the moves cost more time than they save")]
    TooDear,
    /// The change saves enough time under only one average of popularity.
    #[display("expert popularity is not stable")]
    Unsettled,
    /// The current map does not fit the layout.
    #[display("the current map does not fit the layout")]
    Invalid,
}

/// Improved map, with its forecast and the transfers that it requires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Proposed map.
    pub map: ExpertMap,
    /// Weights that ranks have to load.
    pub loads: Vec<Load>,
    /// Forecast for the current map.
    pub before: Forecast,
    /// Forecast for the proposed map.
    pub after: Forecast,
    /// Size of all weights to load, bytes.
    pub bytes: u64,
}

/// Outcome of one evaluation of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The group should switch to this map.
    Propose(Box<Plan>),
    /// The group should keep its map.
    Decline {
        /// First reason found.
        reason: Declined,
        /// Forecast for the current map; all zero if the map is invalid.
        forecast: Forecast,
    },
}

/// Conditions of one evaluation of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Conditions {
    /// Operators have paused rebalancing of the group, or of all groups.
    pub paused: bool,
    /// A switch is in flight.
    pub switching: bool,
    /// Bytes that may be moved now.
    pub allowance: u64,
}

/// Planner of the expert map of one group.
#[derive(Clone, Debug)]
pub struct Planner {
    layout: Layout,
    policy: PlanPolicy,
    popularity: Popularity,
    speeds: Speeds,
    /// Number of consecutive evaluations that have reached the trigger.
    triggered: u32,
    last_proposal: Option<Time>,
}

impl Default for PlanPolicy {
    fn default() -> Self {
        Self {
            weight: 44 << 20,
            staging: 4 << 30,
            horizon: Duration::from_secs(600),
            link: 8 << 30,
            slowdown: 0.1,
            stall: Duration::from_millis(20),
            fast: Duration::from_secs(30),
            slow: Duration::from_secs(180),
            trigger: 1.05,
            gain: 0.02,
            looks: 3,
            pause: Duration::from_secs(60),
        }
    }
}

impl PlanPolicy {
    /// Applies the limits that operators declare in a profile.
    #[must_use]
    pub fn with_limits(mut self, limits: &RebalancePolicy) -> Self {
        self.staging = limits.staging;
        self.horizon = limits.horizon;
        self
    }
}

impl Planner {
    /// Creates a planner without token counts or step times.
    ///
    /// # Errors
    ///
    /// The layout is empty, or has too few slots for the experts or too many for a map.
    pub fn new(layout: Layout, policy: PlanPolicy) -> Result<Self, MapError> {
        layout.check()?;
        let size = usize::from(layout.layers) * usize::from(layout.experts);
        let ranks = layout.ranks.len();
        Ok(Self {
            popularity: Popularity::new(size, ranks, policy.fast, policy.slow),
            speeds: Speeds::new(ranks),
            layout,
            policy,
            triggered: 0,
            last_proposal: None,
        })
    }

    /// Layers, experts and ranks of the group.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Adds token counts; false if they are malformed, unknown or a duplicate.
    pub fn observe_tokens(&mut self, counts: &TokenCounts) -> bool {
        self.popularity.observe(counts)
    }

    /// Adds a step time; false if the sample is unusable.
    pub fn observe_step(&mut self, sample: &StepSample) -> bool {
        self.speeds.observe(sample)
    }

    /// Discards the sequence numbers and step times of a rank that has restarted.
    pub fn reset_rank(&mut self, rank: u16) {
        self.popularity.reset(rank);
        self.speeds.reset(rank);
    }

    /// Demand that plans are computed for: the geometric mean of both averages of popularity.
    ///
    /// An expert that is hot in only one of them gets a low load.
    pub fn demand(&mut self, now: Time) -> Demand {
        let speeds = self.speeds.read(now);
        let fast = Demand::new(self.experts(), self.popularity.fast(), &speeds);
        let slow = Demand::new(self.experts(), self.popularity.slow(), &speeds);
        let pairs = fast.loads.iter().zip(&slow.loads);
        let blend: Vec<f64> = pairs.map(|(f, s)| (f * s).sqrt()).collect();
        Demand::new(self.experts(), &blend, &speeds)
    }

    /// Slowest rank and its speed, if it is below the median speed of 1.0.
    pub fn straggler(&mut self, now: Time) -> Option<(u16, f64)> {
        let speeds = self.speeds.read(now);
        let ranks = speeds.into_iter().enumerate();
        let (rank, speed) = ranks.min_by(|a, b| a.1.total_cmp(&b.1))?;
        (speed < 1.0).then_some((rank as u16, speed))
    }

    /// Evaluates whether the group should replace `map`, its current one.
    pub fn evaluate(&mut self, now: Time, map: &ExpertMap, conditions: Conditions) -> Verdict {
        let demand = self.demand(now);
        if map.check(&self.layout).is_err() {
            return decline(Declined::Invalid, Forecast::default());
        }
        let before = demand.forecast(&self.layout, map);
        let verdict = match self.decline_reason(now, &before, conditions) {
            Some(reason) => decline(reason, before),
            None => self.search(now, map, &demand, before, conditions.allowance),
        };
        if let Verdict::Propose(_) = verdict {
            self.last_proposal = Some(now);
            self.triggered = 0;
        }
        verdict
    }

    fn experts(&self) -> usize {
        usize::from(self.layout.experts)
    }

    fn decline_reason(
        &mut self,
        now: Time,
        before: &Forecast,
        conditions: Conditions,
    ) -> Option<Declined> {
        if conditions.paused {
            return Some(Declined::Paused);
        }
        if conditions.switching {
            return Some(Declined::Switching);
        }
        if before.skew() < self.policy.trigger {
            self.triggered = 0;
            return Some(Declined::Balanced);
        }
        self.triggered += 1;
        if self.triggered < self.policy.looks {
            return Some(Declined::Brief);
        }
        let recent = |last: Time| now.since(last) < self.policy.pause;
        self.last_proposal
            .is_some_and(recent)
            .then_some(Declined::Recent)
    }

    fn search(
        &self,
        now: Time,
        map: &ExpertMap,
        demand: &Demand,
        before: Forecast,
        allowance: u64,
    ) -> Verdict {
        let limits = self.limits(allowance);
        let next = improve_map(&self.layout, demand, map, &limits);
        let after = demand.forecast(&self.layout, &next);
        let loads = sources(&self.layout, map, &next, &demand.speeds);
        let moved = loads.len() as u64;
        if !self.saves_enough(&before, &after) {
            return decline(Declined::SmallGain, before);
        }
        if !self.pays_off(&before, &after, moved) {
            return decline(Declined::TooDear, before);
        }
        if !self.saves_in_both(map, &next, &demand.speeds) {
            return decline(Declined::Unsettled, before);
        }
        debug_assert!(
            now >= self.last_proposal.unwrap_or(Time::ZERO),
            "time must not go backwards"
        );
        Verdict::Propose(Box::new(Plan {
            loads,
            map: next,
            before,
            after,
            bytes: moved * self.policy.weight,
        }))
    }

    fn limits(&self, allowance: u64) -> Limits {
        let weight = self.policy.weight.max(1);
        let transfer = self.policy.weight as f64 / self.policy.link.max(1) as f64;
        Limits {
            moves: allowance / weight,
            staged: self.policy.staging / weight,
            price: transfer * self.policy.slowdown / self.policy.horizon.as_secs_f64().max(1e-9),
        }
    }

    fn saves_enough(&self, before: &Forecast, after: &Forecast) -> bool {
        after.time < before.time * (1.0 - self.policy.gain)
    }

    fn pays_off(&self, before: &Forecast, after: &Forecast, moved: u64) -> bool {
        let saved = (1.0 - after.time / before.time) * self.policy.horizon.as_secs_f64();
        let bytes = (moved * self.policy.weight) as f64;
        let transfer = bytes / self.policy.link.max(1) as f64;
        saved > transfer * self.policy.slowdown + self.policy.stall.as_secs_f64()
    }

    /// Whether `next` saves enough time under both averages of popularity.
    fn saves_in_both(&self, map: &ExpertMap, next: &ExpertMap, speeds: &[f64]) -> bool {
        [self.popularity.fast(), self.popularity.slow()]
            .into_iter()
            .all(|weights| {
                let demand = Demand::new(self.experts(), weights, speeds);
                let before = demand.forecast(&self.layout, map);
                let after = demand.forecast(&self.layout, next);
                self.saves_enough(&before, &after)
            })
    }
}

fn decline(reason: Declined, forecast: Forecast) -> Verdict {
    Verdict::Decline { reason, forecast }
}
