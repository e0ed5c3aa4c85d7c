//! Decision whether to leave the map in force, and for which one.
//!
//! A plan starts from the map in force. Splitting tokens anew over the replicas
//! in place moves no weights and comes first; then the changes that save most
//! time for each expert moved. A plan is proposed only if it saves time under
//! both the fast and the slow view of popularity, so that a burst alone does
//! not move experts.

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

/// Limits and prices of plans for one group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanPolicy {
    /// Weights of one expert in one layer, bytes.
    pub weight: u64,
    /// Staging memory of a rank, bytes.
    pub staging: u64,
    /// Time over which a move has to pay for itself.
    pub horizon: Duration,
    /// Rate at which a rank receives weights, bytes in a second.
    pub link: u64,
    /// Part of a step's time that receiving weights adds.
    pub slowdown: f64,
    /// Pause of the group at a switch.
    pub stall: Duration,
    /// Half-life of the fast view of popularity.
    pub fast: Duration,
    /// Half-life of the slow view of popularity.
    pub slow: Duration,
    /// Time over the bound from which a plan is looked for.
    pub trigger: f64,
    /// Part of the step time that a plan has to save.
    pub gain: f64,
    /// Looks in a row that have to find the trigger reached.
    pub looks: u32,
    /// Least time between two proposals.
    pub pause: Duration,
}

/// Why no plan was made.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Declined {
    /// Operators have paused rebalancing.
    #[display("rebalancing is paused")]
    Paused,
    /// A switch is in flight.
    #[display("a switch is in flight")]
    Switching,
    /// The map in force is close enough to the bound.
    #[display("the map in force is balanced")]
    Balanced,
    /// The imbalance has not lasted.
    #[display("the imbalance has not lasted")]
    Brief,
    /// The last proposal is too recent.
    #[display("the last plan is too recent")]
    Recent,
    /// No change saves enough time.
    #[display("no change saves enough")]
    SmallGain,
    /// The change does not pay for itself over the horizon.
    #[display("the moves would not pay for themselves")]
    TooDear,
    /// The change helps only under a popularity that may not last.
    #[display("the popularity has not settled")]
    Unsettled,
    /// The map in force does not fit the layout.
    #[display("the map in force does not fit")]
    Invalid,
}

/// A map that is better than the one in force, and what it takes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Map proposed.
    pub map: ExpertMap,
    /// Weights that have to be loaded.
    pub loads: Vec<Load>,
    /// Forecast for the map in force.
    pub before: Forecast,
    /// Forecast for the proposed map.
    pub after: Forecast,
    /// Bytes moved.
    pub bytes: u64,
}

/// Outcome of one look at a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// Switch to this map.
    Propose(Box<Plan>),
    /// Stay.
    Decline {
        /// Why.
        reason: Declined,
        /// Forecast for the map in force.
        forecast: Forecast,
    },
}

/// What holds for one look at a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Conditions {
    /// Operators have paused the group, or everything.
    pub paused: bool,
    /// A switch is in flight.
    pub switching: bool,
    /// Bytes that may still be moved.
    pub allowance: u64,
}

/// Planner of one group.
#[derive(Clone, Debug)]
pub struct Planner {
    layout: Layout,
    policy: PlanPolicy,
    popularity: Popularity,
    speeds: Speeds,
    looks: u32,
    last: Option<Time>,
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
    /// Takes over the limits that operators declare in a profile.
    #[must_use]
    pub fn with_limits(mut self, limits: &RebalancePolicy) -> Self {
        self.staging = limits.staging;
        self.horizon = limits.horizon;
        self
    }
}

impl Planner {
    /// Starts without knowledge of popularity or speeds.
    pub fn new(layout: Layout, policy: PlanPolicy) -> Result<Self, MapError> {
        layout.check()?;
        let size = usize::from(layout.layers) * usize::from(layout.experts);
        let ranks = layout.ranks.len();
        Ok(Self {
            popularity: Popularity::new(size, ranks, policy.fast, policy.slow),
            speeds: Speeds::new(ranks),
            layout,
            policy,
            looks: 0,
            last: None,
        })
    }

    /// Shape of the group.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Takes in token counts; false if they were not used.
    pub fn observe_tokens(&mut self, counts: &TokenCounts) -> bool {
        self.popularity.observe(counts)
    }

    /// Takes in a step time; false if it was not used.
    pub fn observe_step(&mut self, sample: &StepSample) -> bool {
        self.speeds.observe(sample)
    }

    /// Forgets what was learnt of a rank that has restarted.
    pub fn reset_rank(&mut self, rank: u16) {
        self.popularity.reset(rank);
        self.speeds.reset(rank);
    }

    /// Demand that plans are made for: the geometric mean of both views.
    ///
    /// An expert that is hot in one view only counts for little.
    pub fn demand(&mut self, now: Time) -> Demand {
        let speeds = self.speeds.read(now);
        let fast = Demand::new(self.experts(), self.popularity.fast(), &speeds);
        let slow = Demand::new(self.experts(), self.popularity.slow(), &speeds);
        let pairs = fast.loads.iter().zip(&slow.loads);
        let blend: Vec<f64> = pairs.map(|(f, s)| (f * s).sqrt()).collect();
        Demand::new(self.experts(), &blend, &speeds)
    }

    /// Slowest rank and its speed, if it is slower than ordinary.
    pub fn straggler(&mut self, now: Time) -> Option<(u16, f64)> {
        let speeds = self.speeds.read(now);
        let ranks = speeds.into_iter().enumerate();
        let (rank, speed) = ranks.min_by(|a, b| a.1.total_cmp(&b.1))?;
        (speed < 1.0).then_some((rank as u16, speed))
    }

    /// Looks whether the group should leave `map`.
    pub fn look(&mut self, now: Time, map: &ExpertMap, conditions: Conditions) -> Verdict {
        let demand = self.demand(now);
        if map.check(&self.layout).is_err() {
            return decline(Declined::Invalid, Forecast::default());
        }
        let before = demand.forecast(&self.layout, map);
        let verdict = match self.obstacle(now, &before, conditions) {
            Some(reason) => decline(reason, before),
            None => self.search(now, map, &demand, before, conditions.allowance),
        };
        if let Verdict::Propose(_) = verdict {
            self.last = Some(now);
            self.looks = 0;
        }
        verdict
    }

    fn experts(&self) -> usize {
        usize::from(self.layout.experts)
    }

    fn obstacle(
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
            self.looks = 0;
            return Some(Declined::Balanced);
        }
        self.looks += 1;
        if self.looks < self.policy.looks {
            return Some(Declined::Brief);
        }
        let recent = |last: Time| now.since(last) < self.policy.pause;
        self.last.is_some_and(recent).then_some(Declined::Recent)
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
        if !self.saves(&before, &after) {
            return decline(Declined::SmallGain, before);
        }
        if !self.pays(&before, &after, moved) {
            return decline(Declined::TooDear, before);
        }
        if !self.lasts(map, &next, &demand.speeds) {
            return decline(Declined::Unsettled, before);
        }
        debug_assert!(now >= self.last.unwrap_or(Time::ZERO), "time went back");
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

    fn saves(&self, before: &Forecast, after: &Forecast) -> bool {
        after.time < before.time * (1.0 - self.policy.gain)
    }

    fn pays(&self, before: &Forecast, after: &Forecast, moved: u64) -> bool {
        let saved = (1.0 - after.time / before.time) * self.policy.horizon.as_secs_f64();
        let bytes = (moved * self.policy.weight) as f64;
        let transfer = bytes / self.policy.link.max(1) as f64;
        saved > transfer * self.policy.slowdown + self.policy.stall.as_secs_f64()
    }

    /// Whether `next` saves time under both views of popularity.
    fn lasts(&self, map: &ExpertMap, next: &ExpertMap, speeds: &[f64]) -> bool {
        [self.popularity.fast(), self.popularity.slow()]
            .into_iter()
            .all(|weights| {
                let demand = Demand::new(self.experts(), weights, speeds);
                let before = demand.forecast(&self.layout, map);
                let after = demand.forecast(&self.layout, next);
                self.saves(&before, &after)
            })
    }
}

fn decline(reason: Declined, forecast: Forecast) -> Verdict {
    Verdict::Decline { reason, forecast }
}
