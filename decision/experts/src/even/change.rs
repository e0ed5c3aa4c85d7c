//! Difference between two placements, sent over links too slow for a whole placement.

use serde::{Deserialize, Serialize};

use super::Placement;

/// Content hash of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementId([u8; 8]);

impl PlacementId {
    /// Hashes the experts of all layers and ranks.
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

/// New experts of one rank in one layer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RankChange {
    layer: u16,
    rank: u16,
    experts: Vec<u16>,
}

/// Ranks whose experts differ between two placements, and the hashes of both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementChange {
    base: PlacementId,
    result: PlacementId,
    ranks: Vec<RankChange>,
}

impl PlacementChange {
    /// Returns the change from `old` to `new`; `None` if their layers or ranks differ in number.
    pub fn between(old: &Placement, new: &Placement) -> Option<Self> {
        if old.len() != new.len() {
            return None;
        }
        let mut changes = Vec::new();
        for (layer, (old, new)) in old.iter().zip(new).enumerate() {
            if old.len() != new.len() {
                return None;
            }
            for (rank, (old, new)) in old.iter().zip(new).enumerate() {
                if old != new {
                    changes.push(RankChange {
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
            ranks: changes,
        })
    }

    /// Applies the change; `None` if `old` is not the placement it was computed from.
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
