//! Fencing numbers of orders to upstreams.

use std::collections::BTreeMap;

use pimentotide_model::{Fence, UpstreamName};
use serde::{Deserialize, Serialize};

/// Most upstreams whose last number is kept apart.
const MAX_FLOORS: usize = 10_000;

/// Numbers allotted so far; each new one is higher than all before it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Fences {
    last: Fence,
    base: Fence,
    floors: BTreeMap<UpstreamName, Fence>,
}

impl Fences {
    /// Allots the next number to an order to `upstream`.
    pub(crate) fn allot(&mut self, upstream: &UpstreamName) -> Fence {
        self.last = self.last.next();
        self.floors.insert(upstream.clone(), self.last);
        if self.floors.len() > MAX_FLOORS {
            self.drop_oldest();
        }
        self.last
    }

    /// Lowest number that `upstream` may still accept.
    pub(crate) fn floor(&self, upstream: &UpstreamName) -> Fence {
        self.floors.get(upstream).copied().unwrap_or(self.base)
    }

    /// Forgets the upstream with the lowest number, whose floor the base then covers.
    fn drop_oldest(&mut self) {
        let oldest = self.floors.iter().min_by_key(|(_, fence)| **fence);
        let Some((upstream, fence)) = oldest.map(|(u, f)| (u.clone(), *f)) else {
            return;
        };
        self.floors.remove(&upstream);
        self.base = self.base.max(fence);
    }
}
