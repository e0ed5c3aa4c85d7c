//! Placement for engines that share an expert's tokens evenly among its holders.
//!
//! The time of a step is the sum over layers of the most loaded rank's part, so
//! each layer is improved by itself: the most loaded rank hands an expert on, or
//! shares it with another rank, as long as that lowers the load. A rank can take
//! over only a few new experts in one change, so a large drift of popularity
//! takes several changes, the most useful first.

mod change;
mod demand;
mod layer;
mod rank;
mod switch;

use layer::Layer;

pub use change::{PlacementChange, PlacementId};
pub use demand::ExpertDemand;
pub use rank::{
    EngineOrder, EngineReport, FencedOrder, HeldExperts, Membership, OrderAnswer, PickedExperts,
};
pub use switch::{Ending, Ranks, Switch};

/// Sizes of a group whose experts are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvenLayout {
    /// Ranks.
    pub ranks: usize,
    /// Experts in each layer.
    pub experts: usize,
    /// Experts that a rank holds in each layer, at most.
    pub places: usize,
    /// Experts new to a rank in each layer in one change, at most.
    pub spare: usize,
}

/// Experts by layer and rank.
pub type Placement = Vec<Vec<Vec<u16>>>;

/// A better placement, and what it is worth.
#[derive(Clone, Debug, PartialEq)]
pub struct EvenPlan {
    /// Placement.
    pub placement: Placement,
    /// Most loaded rank over the mean before, averaged over layers.
    pub before: f64,
    /// Most loaded rank over the mean after, averaged over layers.
    pub after: f64,
    /// Copies of experts to be made.
    pub copies: usize,
}

/// Improves a placement for the given popularity, `counts` layer after layer.
///
/// A layer is left as it is once its most loaded rank is within `goal` times the
/// mean: each further copy costs more than it saves. Layers without counts stay.
pub fn plan_even(layout: &EvenLayout, current: &Placement, counts: &[f64], goal: f64) -> EvenPlan {
    let mut plan = EvenPlan {
        placement: Vec::with_capacity(current.len()),
        before: 0.0,
        after: 0.0,
        copies: 0,
    };
    let loads = counts.chunks(layout.experts.max(1));
    for (held, loads) in current.iter().zip(loads) {
        let mut layer = Layer::new(layout, held, loads);
        plan.before += layer.imbalance();
        layer.improve(goal);
        plan.after += layer.imbalance();
        plan.copies += layer.copies();
        plan.placement.push(layer.into_held());
    }
    let layers = plan.placement.len().max(1) as f64;
    plan.before /= layers;
    plan.after /= layers;
    plan
}

/// Most loaded rank over the mean, averaged over layers.
pub fn imbalance_even(layout: &EvenLayout, placement: &Placement, counts: &[f64]) -> f64 {
    let loads = counts.chunks(layout.experts.max(1));
    let layers = placement.iter().zip(loads);
    let sum: f64 = layers
        .map(|(held, loads)| Layer::new(layout, held, loads).imbalance())
        .sum();
    sum / placement.len().max(1) as f64
}
