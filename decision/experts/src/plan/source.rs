//! Where each rank gets the weights of a new map from.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ExpertMap, Layout};

/// Speed below which a rank is not asked for copies if another holds them.
const LEAST_SOURCE_SPEED: f64 = 0.9;

/// Place that weights come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// A rank that holds them.
    Peer(u16),
    /// The rate-limited store.
    Store,
}

/// Weights of one expert that one rank has to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Rank that loads.
    pub rank: u16,
    /// Layer.
    pub layer: u16,
    /// Expert.
    pub expert: u16,
    /// Where from.
    pub source: Source,
}

/// Lists the loads that lead from `old` to `new`, with the best source of each.
///
/// A peer on the same node goes first, then the peer with fewest copies to
/// give; a slow rank only gives what no other holds.
pub fn sources(layout: &Layout, old: &ExpertMap, new: &ExpertMap, speeds: &[f64]) -> Vec<Load> {
    let owners = layout.owners();
    let width = layout.width();
    let mut given = vec![0_u32; layout.ranks.len()];
    let mut loads = Vec::new();
    for index in new.changes(old) {
        let (layer, place) = (index / width, index % width);
        let rank = owners[place];
        let expert = new.slots[index].expert;
        let holders = old.layer(layer).iter().zip(&owners);
        let held: Vec<usize> = holders
            .filter(|(slot, _)| slot.expert == expert)
            .map(|(_, owner)| *owner)
            .collect();
        if held.contains(&rank) {
            continue;
        }
        let peer = held.into_iter().min_by_key(|peer| {
            let slow = speeds[*peer] < LEAST_SOURCE_SPEED;
            let far = layout.ranks[*peer].node != layout.ranks[rank].node;
            (slow, far, given[*peer], *peer)
        });
        if let Some(peer) = peer {
            given[peer] += 1;
        }
        loads.push(Load {
            rank: rank as u16,
            layer: layer as u16,
            expert,
            source: peer.map_or(Source::Store, |p| Source::Peer(p as u16)),
        });
    }
    loads
}

/// Lists what a rank that holds nothing has to load for `map`.
///
/// `absent` ranks hold nothing either and are not asked.
pub fn cold_loads(layout: &Layout, map: &ExpertMap, rank: u16, absent: &[u16]) -> Vec<Load> {
    let owners = layout.owners();
    let width = layout.width();
    let mut given: BTreeMap<u16, u32> = BTreeMap::new();
    let mut loads = Vec::new();
    for (index, slot) in map.slots.iter().enumerate() {
        if owners[index % width] != usize::from(rank) {
            continue;
        }
        let layer = index / width;
        let peer = map
            .layer(layer)
            .iter()
            .zip(&owners)
            .filter(|(s, _)| s.expert == slot.expert)
            .map(|(_, owner)| *owner as u16)
            .filter(|owner| *owner != rank && !absent.contains(owner))
            .min_by_key(|owner| (given.get(owner).copied().unwrap_or(0), *owner));
        if let Some(peer) = peer {
            *given.entry(peer).or_default() += 1;
        }
        loads.push(Load {
            rank,
            layer: layer as u16,
            expert: slot.expert,
            source: peer.map_or(Source::Store, Source::Peer),
        });
    }
    loads
}
