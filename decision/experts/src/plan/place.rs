//! Initial placement: replicas by load, packed on the least loaded ranks.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::balance::{Balance, RankTable};
use super::bound::Bounds;
use super::demand::Demand;
use crate::{ExpertMap, Layout, MapError, Slot};

/// Relative distance from the bound within which a layer is not improved further.
pub(crate) const TOLERANCE: f64 = 0.02;

/// Maximum number of changes in one layer.
pub(crate) const MAX_LAYER_CHANGES: usize = 128;

/// Factor on the time of a rank whose node already holds a replica of the expert.
const NODE_PENALTY: f64 = 1.02;

/// Expert with its load per replica, ordered by that load.
#[derive(PartialEq)]
struct ReplicaLoad {
    load: f64,
    expert: usize,
}

impl Eq for ReplicaLoad {}

impl PartialOrd for ReplicaLoad {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ReplicaLoad {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_load = self.load.total_cmp(&other.load);
        by_load.then(other.expert.cmp(&self.expert))
    }
}

/// Places all experts on an empty group, as evenly as the slots allow.
///
/// # Errors
///
/// The layout is empty, or has too few slots for the experts or too many for a map.
pub fn place(layout: &Layout, demand: &Demand) -> Result<ExpertMap, MapError> {
    layout.check()?;
    let table = RankTable::new(layout, &demand.speeds);
    let bounds = Bounds::new(&demand.speeds, layout.width());
    let mut slots = Vec::with_capacity(layout.width() * usize::from(layout.layers));
    for layer in 0..usize::from(layout.layers) {
        let loads = demand.layer(layer);
        let target = bounds.layer(loads) * (1.0 + TOLERANCE);
        let mut balance = Balance::new(&table, loads, target, pack(&table, loads));
        for _ in 0..MAX_LAYER_CHANGES {
            if balance.improve().is_none() {
                break;
            }
        }
        slots.extend(balance.split().slots());
    }
    Ok(ExpertMap {
        layers: layout.layers,
        slots,
    })
}

/// Greedy balanced packing with replication and an even split, as a baseline.
///
/// # Errors
///
/// The layout is empty, or has too few slots for the experts or too many for a map.
pub fn pack_greedily(layout: &Layout, demand: &Demand) -> Result<ExpertMap, MapError> {
    layout.check()?;
    let table = RankTable::new(layout, &vec![1.0; layout.ranks.len()]);
    let even = |expert| Slot {
        expert,
        weight: u8::MAX,
    };
    let slots = (0..usize::from(layout.layers))
        .flat_map(|layer| pack(&table, demand.layer(layer)))
        .map(even)
        .collect();
    Ok(ExpertMap {
        layers: layout.layers,
        slots,
    })
}

/// Replicates the hottest experts into the spare slots, then packs by load.
fn pack(table: &RankTable, loads: &[f64]) -> Vec<u16> {
    let replicas = replicate(loads, table.owners.len(), table.speeds.len());
    let mut order: Vec<usize> = (0..loads.len()).collect();
    let part = |e: usize| loads[e] / replicas[e] as f64;
    order.sort_by(|a, b| part(*b).total_cmp(&part(*a)).then(a.cmp(b)));
    // Experts replicated on over half of the ranks come first: they need the most distinct ranks.
    order.sort_by_key(|e| std::cmp::Reverse(replicas[*e] > table.speeds.len() / 2));
    let mut packer = Packer::new(table);
    for expert in order {
        packer.put(expert as u16, part(expert), replicas[expert]);
    }
    packer.finish(loads)
}

fn replicate(loads: &[f64], slots: usize, max: usize) -> Vec<usize> {
    let mut replicas = vec![1; loads.len()];
    let mut heap: BinaryHeap<ReplicaLoad> = loads
        .iter()
        .enumerate()
        .map(|(expert, &load)| ReplicaLoad { load, expert })
        .collect();
    for _ in loads.len()..slots {
        let Some(ReplicaLoad { expert, .. }) = heap.pop() else {
            break;
        };
        replicas[expert] += 1;
        if replicas[expert] < max {
            let load = loads[expert] / replicas[expert] as f64;
            heap.push(ReplicaLoad { load, expert });
        }
    }
    replicas
}

struct Packer<'a> {
    table: &'a RankTable,
    held: Vec<Vec<u16>>,
    /// Time of each rank; infinite when it has no free slot.
    times: Vec<f64>,
    /// Whether each node holds the expert that is being placed.
    nodes: Vec<bool>,
}

impl<'a> Packer<'a> {
    fn new(table: &'a RankTable) -> Self {
        let nodes = table.nodes.iter().max().map_or(0, |n| usize::from(*n) + 1);
        let mut packer = Self {
            table,
            held: vec![Vec::new(); table.speeds.len()],
            times: vec![0.0; table.speeds.len()],
            nodes: vec![false; nodes],
        };
        (0..table.speeds.len()).for_each(|rank| packer.mark_if_full(rank));
        packer
    }

    fn free_slots(&self, rank: usize) -> usize {
        self.table.offsets[rank + 1] - self.table.offsets[rank] - self.held[rank].len()
    }

    fn mark_if_full(&mut self, rank: usize) {
        if self.free_slots(rank) == 0 {
            self.times[rank] = f64::INFINITY;
        }
    }

    /// Places replicas on the ranks that finish them earliest, while slots are free.
    fn put(&mut self, expert: u16, load: f64, replicas: usize) {
        self.nodes.fill(false);
        for _ in 0..replicas {
            let Some(rank) = self.earliest_rank(expert, load) else {
                return;
            };
            self.nodes[usize::from(self.table.nodes[rank])] = true;
            self.held[rank].push(expert);
            self.times[rank] += load * self.table.costs[rank];
            self.mark_if_full(rank);
        }
    }

    fn earliest_rank(&self, expert: u16, load: f64) -> Option<usize> {
        let mut best = None;
        let mut least = f64::INFINITY;
        for (rank, (time, cost)) in self.times.iter().zip(&self.table.costs).enumerate() {
            let time = time + load * cost;
            // The cheap comparison comes first: most ranks fail it.
            if time >= least || self.held[rank].contains(&expert) {
                continue;
            }
            let on_node = self.nodes[usize::from(self.table.nodes[rank])];
            let time = if on_node { time * NODE_PENALTY } else { time };
            if time < least {
                least = time;
                best = Some(rank);
            }
        }
        best
    }

    /// Fills the remaining slots, and ensures that every expert has one.
    fn finish(mut self, loads: &[f64]) -> Vec<u16> {
        let mut copies = vec![0_usize; loads.len()];
        for held in &self.held {
            held.iter().for_each(|e| copies[usize::from(*e)] += 1);
        }
        let mut missing: Vec<u16> = (0..loads.len() as u16)
            .filter(|e| copies[usize::from(*e)] == 0)
            .collect();
        for rank in 0..self.held.len() {
            while self.free_slots(rank) > 0 {
                let expert = missing.pop().unwrap_or_else(|| {
                    let free = (0..loads.len() as u16).filter(|e| !self.held[rank].contains(e));
                    free.min_by_key(|e| copies[usize::from(*e)]).unwrap_or(0)
                });
                copies[usize::from(expert)] += 1;
                self.held[rank].push(expert);
            }
        }
        for expert in missing {
            self.evict_for(expert, &mut copies);
        }
        self.held.into_iter().flatten().collect()
    }

    fn evict_for(&mut self, expert: u16, copies: &mut [usize]) {
        let spare = |held: &Vec<u16>| held.iter().position(|e| copies[usize::from(*e)] > 1);
        let found = self
            .held
            .iter()
            .enumerate()
            .find_map(|(rank, held)| spare(held).map(|index| (rank, index)));
        if let Some((rank, index)) = found {
            copies[usize::from(self.held[rank][index])] -= 1;
            copies[usize::from(expert)] += 1;
            self.held[rank][index] = expert;
        }
    }
}
