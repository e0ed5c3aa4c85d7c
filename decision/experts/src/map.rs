//! Expert maps and the layout of the group that they belong to.
//!
//! A map assigns, for each layer, an expert to each slot of each rank, and a
//! weight that sets the share of the expert's tokens for that replica. A map is
//! immutable once it has an identity.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Maximum number of slots of a map, over all layers and ranks.
pub const MAX_MAP_SLOTS: usize = 1 << 17;

/// Identity of a map in its group; increases with each staged map.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct MapId(pub u64);

/// Node and capacity of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankShape {
    /// Node that hosts the rank.
    pub node: u16,
    /// Number of experts that the rank can hold in each layer.
    pub slots: u16,
}

/// Dimensions of a group of ranks and of its model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// Number of layers with experts.
    pub layers: u16,
    /// Number of experts in each layer.
    pub experts: u16,
    /// Ranks by number.
    pub ranks: Vec<RankShape>,
}

/// One expert replica in one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// Expert that the slot holds.
    pub expert: u16,
    /// Share of the expert's tokens, relative to its other replicas.
    pub weight: u8,
}

/// Placement of all experts of a model on the ranks of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    /// Number of layers with experts.
    pub layers: u16,
    /// Slots of all ranks by rank, layer after layer.
    pub slots: Vec<Slot>,
}

/// Error in a layout or a map.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MapError {
    /// The layout has no ranks, layers or experts.
    #[display("the layout is empty")]
    Empty,
    /// Too few slots for the experts, a rank with more slots than experts, or more
    /// than `MAX_MAP_SLOTS` slots.
    #[display("the number of slots does not fit the experts")]
    Capacity,
    /// The number of layers or slots differs from the layout.
    #[display("the size of the map differs from the layout")]
    Size,
    /// An expert number is outside the layout.
    #[display("a slot names an expert that does not exist")]
    UnknownExpert,
    /// A rank holds an expert twice in one layer.
    #[display("a rank holds an expert twice")]
    Duplicate,
    /// An expert has no replica, or only replicas of weight zero.
    #[display("an expert has no replica with a positive weight")]
    Unplaced,
}

impl std::error::Error for MapError {}

impl Layout {
    /// Builds a layout of equal ranks, `node_ranks` of them per node.
    pub fn uniform(layers: u16, experts: u16, ranks: u16, slots: u16, node_ranks: u16) -> Self {
        let ranks = (0..ranks)
            .map(|r| RankShape {
                node: r / node_ranks.max(1),
                slots,
            })
            .collect();
        Self {
            layers,
            experts,
            ranks,
        }
    }

    /// Number of slots of all ranks in one layer.
    pub fn width(&self) -> usize {
        self.ranks.iter().map(|r| usize::from(r.slots)).sum()
    }

    /// Checks that the slots can hold the experts within the limits.
    pub fn check(&self) -> Result<(), MapError> {
        if self.layers == 0 || self.experts == 0 || self.ranks.is_empty() {
            return Err(MapError::Empty);
        }
        let fits = self.width() >= usize::from(self.experts);
        let distinct = self.ranks.iter().all(|r| r.slots <= self.experts);
        let bounded = self.width() * usize::from(self.layers) <= MAX_MAP_SLOTS;
        if fits && distinct && bounded {
            Ok(())
        } else {
            Err(MapError::Capacity)
        }
    }

    /// Index of the first slot of each rank within a layer.
    pub fn offsets(&self) -> Vec<usize> {
        self.ranks
            .iter()
            .scan(0, |next, r| {
                let first = *next;
                *next += usize::from(r.slots);
                Some(first)
            })
            .collect()
    }

    /// Rank that owns each slot of a layer.
    pub fn owners(&self) -> Vec<usize> {
        self.ranks
            .iter()
            .enumerate()
            .flat_map(|(rank, shape)| std::iter::repeat_n(rank, usize::from(shape.slots)))
            .collect()
    }
}

impl ExpertMap {
    /// Slots of all ranks in one layer.
    pub fn layer(&self, layer: usize) -> &[Slot] {
        let width = self.width();
        &self.slots[layer * width..(layer + 1) * width]
    }

    /// Number of slots in one layer.
    pub fn width(&self) -> usize {
        self.slots.len() / usize::from(self.layers).max(1)
    }

    /// Checks that the map fits `layout` and every expert has a replica that gets tokens.
    pub fn check(&self, layout: &Layout) -> Result<(), MapError> {
        layout.check()?;
        let expected = layout.width() * usize::from(layout.layers);
        if self.layers != layout.layers || self.slots.len() != expected {
            return Err(MapError::Size);
        }
        let owners = layout.owners();
        (0..usize::from(self.layers)).try_for_each(|l| check_layer(self.layer(l), layout, &owners))
    }

    /// Number of expert replicas that ranks hold under this map but not under `old`.
    pub fn moved(&self, old: &Self, layout: &Layout) -> usize {
        let owners = layout.owners();
        let width = layout.width();
        let gained = |index: &usize| {
            let owner = owners[index % width];
            let layer = old.layer(index / width).iter().zip(&owners);
            let mut held = layer.filter(|(_, o)| **o == owner);
            !held.any(|(slot, _)| slot.expert == self.slots[*index].expert)
        };
        self.changes(old).filter(gained).count()
    }

    /// Slots whose expert differs from the one in `old`, as indices into `slots`.
    pub fn changes<'a>(&'a self, old: &'a Self) -> impl Iterator<Item = usize> + 'a {
        self.slots
            .iter()
            .zip(&old.slots)
            .enumerate()
            .filter(|(_, (new, old))| new.expert != old.expert)
            .map(|(index, _)| index)
    }
}

fn check_layer(slots: &[Slot], layout: &Layout, owners: &[usize]) -> Result<(), MapError> {
    let mut last_owner = vec![usize::MAX; usize::from(layout.experts)];
    let mut weights = vec![0_u32; usize::from(layout.experts)];
    for (slot, &owner) in slots.iter().zip(owners) {
        let expert = usize::from(slot.expert);
        let last = last_owner.get_mut(expert).ok_or(MapError::UnknownExpert)?;
        if *last == owner {
            return Err(MapError::Duplicate);
        }
        *last = owner;
        weights[expert] += u32::from(slot.weight);
    }
    if weights.contains(&0) {
        return Err(MapError::Unplaced);
    }
    Ok(())
}
