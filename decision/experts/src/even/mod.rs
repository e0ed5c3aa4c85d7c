//! Placement for engines that split an expert's tokens evenly among its holders.
//!
//! The time of a step is the sum over layers of the most loaded rank's time, so
//! each layer is optimised by itself: the most loaded rank moves an expert to
//! another rank or shares it with one, as long as that lowers the load. A rank
//! can receive only a few new experts per change, so a large shift of popularity
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

/// Dimensions of a group and limits on its placements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvenLayout {
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Experts in each layer.
    pub experts: usize,
    /// Maximum number of experts that a rank holds in each layer.
    pub places: usize,
    /// Maximum number of experts new to a rank in each layer per change.
    pub spare: usize,
}

/// Experts held, by layer and rank.
pub type Placement = Vec<Vec<Vec<u16>>>;

/// Improved placement, and the imbalance before and after.
#[derive(Clone, Debug, PartialEq)]
pub struct EvenPlan {
    /// Placement to switch to.
    pub placement: Placement,
    /// Load of the most loaded rank relative to the mean, averaged over layers, before the change.
    pub before: f64,
    /// The same after the change.
    pub after: f64,
    /// Number of expert copies that ranks have to receive.
    pub copies: usize,
}

/// Improves a placement for the popularity in `counts`, layer after layer.
///
/// A layer is not changed further once its most loaded rank is within `goal` times
/// the mean: each further copy costs more than it saves. Layers whose counts are
/// all zero stay unchanged.
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

/// Load of the most loaded rank relative to the mean, averaged over layers.
pub fn imbalance_even(layout: &EvenLayout, placement: &Placement, counts: &[f64]) -> f64 {
    let loads = counts.chunks(layout.experts.max(1));
    let layers = placement.iter().zip(loads);
    let sum: f64 = layers
        .map(|(held, loads)| Layer::new(layout, held, loads).imbalance())
        .sum();
    sum / placement.len().max(1) as f64
}
