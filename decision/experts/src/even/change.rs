//! Difference between two placements, for links that are too narrow for whole ones.

use serde::{Deserialize, Serialize};

use super::Placement;

/// Identity of a placement by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementId([u8; 8]);

impl PlacementId {
    /// Computes the identity of a placement.
    pub fn of(placement: &Placement) -> Self {
        let mut hasher = blake3::Hasher::new();
        for ranks in placement {
            hasher.update(&(ranks.len() as u64).to_le_bytes());
            for experts in ranks {
                hasher.update(&(experts.len() as u64).to_le_bytes());
                for expert in experts {
                    hasher.update(&expert.to_le_bytes());
                }
            }
        }
        let mut id = [0; 8];
        id.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(id)
    }
}

/// Experts of one rank in one layer that differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RankChange {
    layer: u16,
    rank: u16,
    experts: Vec<u16>,
}

/// What turns one placement into another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementChange {
    base: PlacementId,
    result: PlacementId,
    ranks: Vec<RankChange>,
}

impl PlacementChange {
    /// Compares two placements; none if they differ in layers or ranks.
    pub fn between(old: &Placement, new: &Placement) -> Option<Self> {
        if old.len() != new.len() {
            return None;
        }
        let mut changed = Vec::new();
        for (layer, (old, new)) in old.iter().zip(new).enumerate() {
            if old.len() != new.len() {
                return None;
            }
            for (rank, (old, new)) in old.iter().zip(new).enumerate() {
                if old != new {
                    changed.push(RankChange {
                        layer: u16::try_from(layer).ok()?,
                        rank: u16::try_from(rank).ok()?,
                        experts: new.clone(),
                    });
                }
            }
        }
        Some(Self {
            base: PlacementId::of(old),
            result: PlacementId::of(new),
            ranks: changed,
        })
    }

    /// Applies the change; none if `old` is not what it was made from.
    pub fn apply(&self, old: &Placement) -> Option<Placement> {
        if PlacementId::of(old) != self.base {
            return None;
        }
        let mut new = old.clone();
        for change in &self.ranks {
            let ranks = new.get_mut(usize::from(change.layer))?;
            *ranks.get_mut(usize::from(change.rank))? = change.experts.clone();
        }
        (PlacementId::of(&new) == self.result).then_some(new)
    }
}
