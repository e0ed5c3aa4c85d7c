//! Expert maps and the shape of the group that they are made for.
//!
//! A map says for each layer which expert sits in each slot of each rank, and
//! which part of the expert's tokens goes to that replica. A map never changes
//! once it has an identity.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Most slots of a map, over all layers and ranks.
pub const MAX_MAP_SLOTS: usize = 1 << 17;

/// Identity of a map in its group; rises with each map that is staged.
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

/// Place of one rank in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankShape {
    /// Node that hosts the rank.
    pub node: u16,
    /// Experts that the rank can hold in each layer.
    pub slots: u16,
}

/// Sizes of a group of ranks and of its model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// Layers with experts.
    pub layers: u16,
    /// Experts in each layer.
    pub experts: u16,
    /// Ranks in order of their numbers.
    pub ranks: Vec<RankShape>,
}

/// One expert replica in one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// Expert that the slot holds.
    pub expert: u16,
    /// Part of the expert's tokens, relative to its other replicas.
    pub weight: u8,
}

/// Placement of all experts of a model on the ranks of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    /// Layers with experts.
    pub layers: u16,
    /// Slots of all ranks in order, layer after layer.
    pub slots: Vec<Slot>,
}

/// What is wrong with a layout or a map.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MapError {
    /// The layout has no ranks, layers or experts.
    #[display("the layout is empty")]
    Empty,
    /// The slots cannot hold every expert, or exceed the limit.
    #[display("the slots do not fit the experts")]
    Capacity,
    /// The map has another number of slots than the layout.
    #[display("the map does not fit the layout")]
    Size,
    /// An expert number lies outside the layout.
    #[display("a slot names an expert that does not exist")]
    UnknownExpert,
    /// A rank holds an expert twice in one layer.
    #[display("a rank holds an expert twice")]
    Duplicate,
    /// An expert is placed nowhere, or only with weight zero.
    #[display("an expert has no replica that takes tokens")]
    Unplaced,
}

impl std::error::Error for MapError {}

impl Layout {
    /// Builds a layout of equal ranks.
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

    /// Slots of all ranks in one layer.
    pub fn width(&self) -> usize {
        self.ranks.iter().map(|r| usize::from(r.slots)).sum()
    }

    /// Checks that the experts fit into the slots.
    pub fn check(&self) -> Result<(), MapError> {
        if self.layers == 0 || self.experts == 0 || self.ranks.is_empty() {
            return Err(MapError::Empty);
        }
        let fits = self.width() >= usize::from(self.experts);
        let narrow = self.ranks.iter().all(|r| r.slots <= self.experts);
        let bounded = self.width() * usize::from(self.layers) <= MAX_MAP_SLOTS;
        if fits && narrow && bounded {
            Ok(())
        } else {
            Err(MapError::Capacity)
        }
    }

    /// First slot of each rank within a layer.
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

    /// Slots in one layer.
    pub fn width(&self) -> usize {
        self.slots.len() / usize::from(self.layers).max(1)
    }

    /// Checks that every expert is placed and no rank holds more than it can.
    pub fn check(&self, layout: &Layout) -> Result<(), MapError> {
        layout.check()?;
        let expected = layout.width() * usize::from(layout.layers);
        if self.layers != layout.layers || self.slots.len() != expected {
            return Err(MapError::Size);
        }
        let owners = layout.owners();
        (0..usize::from(self.layers)).try_for_each(|l| check_layer(self.layer(l), layout, &owners))
    }

    /// Experts that ranks hold under this map and do not hold under `old`.
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
    let mut holder = vec![usize::MAX; usize::from(layout.experts)];
    let mut weights = vec![0_u32; usize::from(layout.experts)];
    for (slot, &owner) in slots.iter().zip(owners) {
        let expert = usize::from(slot.expert);
        let last = holder.get_mut(expert).ok_or(MapError::UnknownExpert)?;
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
