//! Fencing tokens of orders to upstreams.

use std::collections::BTreeMap;

use pimentotide_model::{Fence, UpstreamName};
use serde::{Deserialize, Serialize};

/// Maximum number of upstreams with a floor of their own.
const MAX_FLOORS: usize = 10_000;

/// Fencing tokens allocated so far; they increase strictly across all upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Fences {
    /// Last allocated token.
    last: Fence,
    /// Floor of all upstreams without a floor of their own.
    base: Fence,
    floors: BTreeMap<UpstreamName, Fence>,
}

impl Fences {
    /// Allocates the next token for an order to `upstream`.
    pub(crate) fn allot(&mut self, upstream: &UpstreamName) -> Fence {
        self.last = self.last.next();
        self.floors.insert(upstream.clone(), self.last);
        if self.floors.len() > MAX_FLOORS {
            self.evict_oldest();
        }
        self.last
    }

    /// Lowest token that `upstream` may still accept.
    pub(crate) fn floor(&self, upstream: &UpstreamName) -> Fence {
        self.floors.get(upstream).copied().unwrap_or(self.base)
    }

    /// Evicts the upstream with the lowest token and raises the base to that token.
    fn evict_oldest(&mut self) {
        let oldest = self.floors.iter().min_by_key(|(_, fence)| **fence);
        let Some((upstream, fence)) = oldest.map(|(u, f)| (u.clone(), *f)) else {
            return;
        };
        self.floors.remove(&upstream);
        self.base = self.base.max(fence);
    }
}
