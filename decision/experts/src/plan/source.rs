//! Sources from which each rank loads the weights of a new map.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ExpertMap, Layout};

/// Speed below which a rank is a source only of weights that no faster rank holds.
const MIN_SOURCE_SPEED: f64 = 0.9;

/// Source of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// A rank that holds the weights.
    Peer(u16),
    /// The rate-limited weight store.
    Store,
}

/// Weights of one expert that one rank has to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Rank that loads the weights.
    pub rank: u16,
    /// Layer of the expert.
    pub layer: u16,
    /// Expert within the layer.
    pub expert: u16,
    /// Rank or store that the weights come from.
    pub source: Source,
}

/// Lists the loads required to switch from `old` to `new`, with the best source of each.
///
/// A peer on the same node is preferred, then the peer with the fewest copies to
/// send; a slow rank sends only weights that no faster rank holds.
pub fn sources(layout: &Layout, old: &ExpertMap, new: &ExpertMap, speeds: &[f64]) -> Vec<Load> {
    let owners = layout.owners();
    let width = layout.width();
    let mut assigned = vec![0_u32; layout.ranks.len()];
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
            let slow = speeds[*peer] < MIN_SOURCE_SPEED;
            let far = layout.ranks[*peer].node != layout.ranks[rank].node;
            (slow, far, assigned[*peer], *peer)
        });
        if let Some(peer) = peer {
            assigned[peer] += 1;
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

/// Lists the loads of a rank that starts `map` without any weights.
///
/// `absent` ranks hold no weights either and are not used as sources.
pub fn cold_loads(layout: &Layout, map: &ExpertMap, rank: u16, absent: &[u16]) -> Vec<Load> {
    let owners = layout.owners();
    let width = layout.width();
    let mut assigned: BTreeMap<u16, u32> = BTreeMap::new();
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
            .min_by_key(|owner| (assigned.get(owner).copied().unwrap_or(0), *owner));
        if let Some(peer) = peer {
            *assigned.entry(peer).or_default() += 1;
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
