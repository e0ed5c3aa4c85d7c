//! Lower bounds on the time of a layer under any placement.

/// Steps of the bisection for the bound.
const BISECTION_STEPS: usize = 24;

/// Cumulated speeds of the ranks, reused for the bounds of all layers.
#[derive(Clone, Debug)]
pub struct Bounds {
    fastest: Vec<f64>,
    slots: usize,
}

impl Bounds {
    /// Prepares bounds for ranks with these `speeds` and a total of `slots`.
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

    /// Lower bound on the time in which any placement can serve `loads`.
    ///
    /// The work has to fit into the total speed of all ranks, and an expert needs
    /// as many replicas as the fastest ranks need to serve it in time; the replicas
    /// of all experts have to fit into the slots.
    pub fn layer(&self, loads: &[f64]) -> f64 {
        let work: f64 = loads.iter().sum();
        let total = self.fastest.last().copied().unwrap_or(1.0);
        let mut low = work / total;
        if self.fits(loads, low) {
            return low;
        }
        let mut high = work / self.fastest[0];
        for _ in 0..BISECTION_STEPS {
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
            // The tolerance prevents rounding from raising the bound.
            let required = load / time * (1.0 - 1e-9);
            used += self.fastest.partition_point(|sum| *sum < required) + 1;
            if used > self.slots {
                return false;
            }
        }
        true
    }
}
