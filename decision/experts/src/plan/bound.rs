//! Lower bounds on the time of a layer, whatever the placement.

/// Halvings of the interval in which the bound lies.
const HALVINGS: usize = 24;

/// Speeds of the ranks, prepared for the bounds of many layers.
#[derive(Clone, Debug)]
pub struct Bounds {
    fastest: Vec<f64>,
    slots: usize,
}

impl Bounds {
    /// Prepares the bounds of ranks with these `speeds` and `slots` in all.
    pub fn new(speeds: &[f64], slots: usize) -> Self {
        let mut sorted = speeds.to_vec();
        sorted.sort_by(|a, b| b.total_cmp(a));
        let fastest = sorted
            .iter()
            .scan(0.0, |sum, s| {
                *sum += s;
                Some(*sum)
            })
            .collect();
        Self { fastest, slots }
    }

    /// Shortest time in which any placement can carry `loads`.
    ///
    /// The work has to fit into the speed of all ranks, and an expert needs as
    /// many replicas as it takes for the fastest ranks to carry it in time;
    /// the replicas of all experts have to fit into the slots.
    pub fn layer(&self, loads: &[f64]) -> f64 {
        let work: f64 = loads.iter().sum();
        let total = self.fastest.last().copied().unwrap_or(1.0);
        let mut low = work / total;
        if self.fits(loads, low) {
            return low;
        }
        let mut high = work / self.fastest[0];
        for _ in 0..HALVINGS {
            let middle = 0.5 * (low + high);
            if self.fits(loads, middle) {
                high = middle;
            } else {
                low = middle;
            }
        }
        low
    }

    fn fits(&self, loads: &[f64], time: f64) -> bool {
        let mut used = 0;
        for load in loads {
            // The tolerance keeps rounding from lifting the bound.
            let need = load / time * (1.0 - 1e-9);
            used += self.fastest.partition_point(|sum| *sum < need) + 1;
            if used > self.slots {
                return false;
            }
        }
        true
    }
}
