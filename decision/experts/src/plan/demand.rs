//! Demand on a placement: load of each expert and speed of each rank.

use serde::{Deserialize, Serialize};

use super::bound::Bounds;
use crate::{ExpertMap, Layout};

/// Minimum share of a layer's tokens that an expert is planned with.
const MIN_LOAD_SHARE: f64 = 1e-6;

/// Expert loads and rank speeds that a plan is computed for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Number of experts in each layer.
    pub experts: usize,
    /// Share of its layer's tokens that each expert processes, layer after layer.
    pub loads: Vec<f64>,
    /// Speed of each rank relative to the median, which is 1.0.
    pub speeds: Vec<f64>,
}

/// Step time of a map under a demand; the unit is the time of one rank for a whole layer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// Sum over layers of the slowest rank's time.
    pub time: f64,
    /// Sum over layers of the lower bound.
    pub bound: f64,
    /// Sum over layers of the mean time of the ranks.
    pub mean: f64,
}

impl Forecast {
    /// Ratio of the time to the lower bound.
    pub fn skew(&self) -> f64 {
        self.time / self.bound.max(f64::MIN_POSITIVE)
    }

    /// Ratio of the slowest time to the mean time of the ranks.
    pub fn imbalance(&self) -> f64 {
        self.time / self.mean.max(f64::MIN_POSITIVE)
    }
}

impl Demand {
    /// Creates a demand from weights of any scale; each layer is normalised.
    pub fn new(experts: usize, weights: &[f64], speeds: &[f64]) -> Self {
        let mut loads = Vec::with_capacity(weights.len());
        for layer in weights.chunks(experts.max(1)) {
            let sum: f64 = layer.iter().sum();
            let share = |w: &f64| {
                if sum > 0.0 {
                    w / sum
                } else {
                    1.0 / experts as f64
                }
            };
            let floored: Vec<f64> = layer.iter().map(|w| share(w).max(MIN_LOAD_SHARE)).collect();
            let total: f64 = floored.iter().sum();
            loads.extend(floored.iter().map(|l| l / total));
        }
        Self {
            experts,
            loads,
            speeds: speeds.to_vec(),
        }
    }

    /// Loads of the experts of one layer.
    pub fn layer(&self, layer: usize) -> &[f64] {
        &self.loads[layer * self.experts..(layer + 1) * self.experts]
    }

    /// Time of each rank in one layer under `map`.
    pub fn rank_times(&self, layout: &Layout, map: &ExpertMap, layer: usize) -> Vec<f64> {
        let loads = self.layer(layer);
        let slots = map.layer(layer);
        let mut weights = vec![0_u32; self.experts];
        for slot in slots {
            weights[usize::from(slot.expert)] += u32::from(slot.weight);
        }
        let mut times = vec![0.0; layout.ranks.len()];
        for (slot, owner) in slots.iter().zip(layout.owners()) {
            let expert = usize::from(slot.expert);
            let fraction = f64::from(slot.weight) / f64::from(weights[expert].max(1));
            times[owner] += loads[expert] * fraction / self.speeds[owner];
        }
        times
    }

    /// Slowest rank's time in one layer under `map`.
    pub fn layer_time(&self, layout: &Layout, map: &ExpertMap, layer: usize) -> f64 {
        let times = self.rank_times(layout, map, layer);
        times.into_iter().fold(0.0, f64::max)
    }

    /// Sum over layers of the lower bound.
    pub fn bound(&self, layout: &Layout) -> f64 {
        let bounds = Bounds::new(&self.speeds, layout.width());
        let layers = 0..usize::from(layout.layers);
        layers.map(|l| bounds.layer(self.layer(l))).sum()
    }

    /// Forecasts the time of a step under `map`.
    pub fn forecast(&self, layout: &Layout, map: &ExpertMap) -> Forecast {
        let mut forecast = Forecast {
            bound: self.bound(layout),
            ..Forecast::default()
        };
        for layer in 0..usize::from(layout.layers) {
            let times = self.rank_times(layout, map, layer);
            forecast.mean += times.iter().sum::<f64>() / times.len().max(1) as f64;
            forecast.time += times.into_iter().fold(0.0, f64::max);
        }
        forecast
    }
}
