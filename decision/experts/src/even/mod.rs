//! Placement for engines that split an expert's tokens evenly among its holders.
//!
//! The time of a step is the sum over layers of the most loaded rank's time, so
//! each layer is optimised by itself: the most loaded rank moves an expert to
//! another rank or shares it with one, as long as that lowers the load. A rank
//! can receive only a few new experts per change, so a large shift of popularity
//! takes several changes, the most useful first. A rank copies its new experts one
//! after the other, so the rank with most copies determines how long a change takes.
//!
//! A rank may be slower than the others. Its load is multiplied by its pace, so that it
//! gives experts away, down to none.

mod change;
mod counts;
mod demand;
mod formation;
mod layer;
mod rank;
mod rescue;
mod retry;
mod stuck;
mod switch;
mod tree;
mod trigger;
mod urgent;

use layer::Layer;

pub use change::{PlacementChange, PlacementId};
pub use counts::CodedCounts;
pub use demand::ExpertDemand;
pub use formation::list_interval;
pub use rank::{
    EngineOrder, EngineReport, FencedOrder, HeldExperts, Membership, OrderAnswer, PickedExperts,
};
pub use retry::{DIRECT_ORDER_TIMEOUTS, LOCAL_ORDER_TIMEOUTS, ask_again};
pub use stuck::{MAX_RESCUE_RANK, ProbeOutcome, StuckAction, StuckWatch};
pub use switch::{Ending, Ranks, Switch};
pub use tree::RelayTree;
pub use trigger::{DIRECT_WINDOW, RELAYED_WINDOW, Urgency};
pub use urgent::{ChangeTimes, plan_urgent};

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
    /// Maximum number of experts new to a rank in all layers together per change.
    pub copies: usize,
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
    /// Number of them at the rank that receives most.
    pub rank_copies: usize,
}

/// Improves a placement for the popularity in `counts`, the layer with the highest load first.
///
/// A layer is not changed further once its most loaded rank is within `goal` times
/// the mean: each further copy costs more than it saves. Layers whose counts are
/// all zero stay unchanged. `paces` holds the time of each rank per unit of work relative to a
/// normal rank; the mean is the load divided in proportion to the speeds.
pub fn plan_even(
    layout: &EvenLayout,
    current: &Placement,
    counts: &[f64],
    paces: &[f64],
    goal: f64,
) -> EvenPlan {
    let loads = counts.chunks(layout.experts.max(1));
    let layers = current.iter().zip(loads);
    let mut layers: Vec<Layer<'_>> = layers
        .map(|(held, loads)| Layer::new(layout, held, loads, paces))
        .collect();
    let before = mean_imbalance(&layers);
    let mut room = vec![layout.copies; layout.ranks];
    let mut open: Vec<usize> = (0..layers.len()).collect();
    while let Some(position) = highest_excess(&layers, &open) {
        if !layers[open[position]].improve(goal, &mut room) {
            open.swap_remove(position);
        }
    }
    for layer in &mut layers {
        layer.relieve_slow_ranks(goal, &mut room);
    }
    EvenPlan {
        before,
        after: mean_imbalance(&layers),
        copies: layers.iter().map(Layer::copies).sum(),
        rank_copies: layout.copies - room.iter().min().copied().unwrap_or(layout.copies),
        placement: layers.into_iter().map(Layer::into_held).collect(),
    }
}

/// Returns the position in `open` of the layer with the highest load above its mean.
fn highest_excess(layers: &[Layer<'_>], open: &[usize]) -> Option<usize> {
    let excesses = open.iter().map(|index| layers[*index].excess());
    let highest = excesses.enumerate().max_by(|a, b| a.1.total_cmp(&b.1));
    highest.map(|(position, _)| position)
}

fn mean_imbalance(layers: &[Layer<'_>]) -> f64 {
    let sum: f64 = layers.iter().map(Layer::imbalance).sum();
    sum / layers.len().max(1) as f64
}

/// Load of the most loaded rank relative to the mean, averaged over layers; see [`plan_even`] for
/// `paces`.
pub fn imbalance_even(
    layout: &EvenLayout,
    placement: &Placement,
    counts: &[f64],
    paces: &[f64],
) -> f64 {
    let loads = counts.chunks(layout.experts.max(1));
    let layers: Vec<Layer<'_>> = placement
        .iter()
        .zip(loads)
        .map(|(held, loads)| Layer::new(layout, held, loads, paces))
        .collect();
    mean_imbalance(&layers)
}
