//! Tree along which messages reach the ranks of a large group.
//!
//! The links of the ranks are too slow for one of them to exchange messages with
//! all others. The tree goes by availability zone first, so that a message crosses
//! to each zone once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of subtrees below a node of the same zone.
const MAX_FANOUT: usize = 5;

/// Node of a tree, and the subtrees that it forwards to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayTree<T> {
    /// Receiver of the message.
    pub node: T,
    /// Subtrees that it forwards the message to.
    pub below: Vec<RelayTree<T>>,
}

impl<T> RelayTree<T> {
    /// Builds one tree per zone from pairs of zone and node.
    pub fn by_zone<Z, I>(nodes: I) -> Vec<Self>
    where
        Z: Ord,
        I: IntoIterator<Item = (Z, T)>,
    {
        let mut zones: BTreeMap<Z, Vec<T>> = BTreeMap::new();
        for (zone, node) in nodes {
            zones.entry(zone).or_default().push(node);
        }
        zones.into_values().filter_map(Self::build).collect()
    }

    /// Builds a tree of these nodes, the first at its root; `None` without nodes.
    fn build(nodes: Vec<T>) -> Option<Self> {
        let mut rest = nodes.into_iter();
        let node = rest.next()?;
        let size = rest.len().div_ceil(MAX_FANOUT);
        let mut below = Vec::new();
        while rest.len() > 0 {
            below.extend(Self::build(rest.by_ref().take(size).collect()));
        }
        Some(Self { node, below })
    }

    /// Number of levels below the node.
    pub fn height(&self) -> u32 {
        let heights = self.below.iter().map(|tree| tree.height() + 1);
        heights.max().unwrap_or(0)
    }
}
