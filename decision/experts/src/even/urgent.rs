//! Number of copies in an urgent change.
//!
//! After a shift of demand, passes are slow until the first change is in force, and the change takes
//! longer with each expert that a rank copies. What a short change leaves uneven stays so until the
//! next change is in force. The number of copies is chosen for the least load above the goal over
//! both, so it follows from the copy time of the engines and from how far the first copies even out
//! the load.

use std::iter::successors;
use std::time::Duration;

use super::trigger::LONG_WINDOW;
use super::{EvenLayout, EvenPlan, Placement, plan_even};

/// Durations that a change of the map consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeTimes {
    /// Time in which a rank receives one expert.
    pub copy: Duration,
    /// Time of a change beside its copies.
    pub overhead: Duration,
}

impl ChangeTimes {
    /// Returns the time until a change with this number of copies per rank is in force.
    fn change(&self, copies: usize) -> Duration {
        let copies = u32::try_from(copies).unwrap_or(u32::MAX);
        self.overhead
            .saturating_add(self.copy.saturating_mul(copies))
    }

    /// Returns the load above `goal` until a second change with at most `most` copies per rank is in
    /// force, in multiples of the mean load times seconds.
    fn excess(&self, plan: &EvenPlan, most: usize, goal: f64) -> f64 {
        let first = self.change(plan.rank_copies).as_secs_f64();
        let second = (LONG_WINDOW + self.change(most)).as_secs_f64();
        (plan.before - goal).max(0.0) * first + (plan.after - goal).max(0.0) * second
    }
}

/// Improves a placement as [`plan_even`] does, with the number of copies per rank, up to that of the
/// layout, that leaves the least load above `goal`.
pub fn plan_urgent(
    layout: &EvenLayout,
    current: &Placement,
    counts: &[f64],
    paces: &[f64],
    goal: f64,
    times: ChangeTimes,
) -> EvenPlan {
    let most = layout.copies;
    let plan = |copies| {
        let layout = EvenLayout { copies, ..*layout };
        plan_even(&layout, current, counts, paces, goal)
    };
    let mut best = plan(most.min(1));
    let mut least = times.excess(&best, most, goal);
    // Doubling bounds the planning time to about twice that of the largest plan.
    for copies in successors(Some(2), |n| Some(n * 2)).take_while(|n| n / 2 < most) {
        let next = plan(copies.min(most));
        let excess = times.excess(&next, most, goal);
        if excess >= least {
            break;
        }
        (best, least) = (next, excess);
    }
    best
}
