//! Placement from nothing: replicas by load, packed on the least loaded ranks.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::balance::{Balance, Site};
use super::bound::Bounds;
use super::demand::Demand;
use crate::{ExpertMap, Layout, MapError, Slot};

/// Distance from the bound, relative, at which a layer is left as it is.
pub(crate) const TOLERANCE: f64 = 0.02;

/// Changes at most in one layer.
pub(crate) const MAX_LAYER_CHANGES: usize = 128;

/// Factor on the time of a rank whose node already holds the expert.
const NODE_PENALTY: f64 = 1.02;

/// Expert with its load by replica, ordered by that load.
#[derive(PartialEq)]
struct Part {
    load: f64,
    expert: usize,
}

impl Eq for Part {}

impl PartialOrd for Part {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Part {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_load = self.load.total_cmp(&other.load);
        by_load.then(other.expert.cmp(&self.expert))
    }
}

/// Places all experts on an empty group, as evenly as the slots allow.
pub fn place(layout: &Layout, demand: &Demand) -> Result<ExpertMap, MapError> {
    layout.check()?;
    let site = Site::new(layout, &demand.speeds);
    let bounds = Bounds::new(&demand.speeds, layout.width());
    let mut slots = Vec::with_capacity(layout.width() * usize::from(layout.layers));
    for layer in 0..usize::from(layout.layers) {
        let loads = demand.layer(layer);
        let target = bounds.layer(loads) * (1.0 + TOLERANCE);
        let mut balance = Balance::new(&site, loads, target, pack(&site, loads));
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
pub fn pack_greedily(layout: &Layout, demand: &Demand) -> Result<ExpertMap, MapError> {
    layout.check()?;
    let site = Site::new(layout, &vec![1.0; layout.ranks.len()]);
    let even = |expert| Slot {
        expert,
        weight: u8::MAX,
    };
    let slots = (0..usize::from(layout.layers))
        .flat_map(|layer| pack(&site, demand.layer(layer)))
        .map(even)
        .collect();
    Ok(ExpertMap {
        layers: layout.layers,
        slots,
    })
}

/// Replicates the hottest experts into the spare slots, then packs by load.
fn pack(site: &Site, loads: &[f64]) -> Vec<u16> {
    let replicas = replicate(loads, site.owners.len(), site.speeds.len());
    let mut order: Vec<usize> = (0..loads.len()).collect();
    let part = |e: usize| loads[e] / replicas[e] as f64;
    order.sort_by(|a, b| part(*b).total_cmp(&part(*a)).then(a.cmp(b)));
    // Experts with most replicas first among all: they need the most distinct ranks.
    order.sort_by_key(|e| std::cmp::Reverse(replicas[*e] > site.speeds.len() / 2));
    let mut packer = Packer::new(site);
    for expert in order {
        packer.put(expert as u16, part(expert), replicas[expert]);
    }
    packer.finish(loads)
}

fn replicate(loads: &[f64], slots: usize, most: usize) -> Vec<usize> {
    let mut replicas = vec![1; loads.len()];
    let mut heap: BinaryHeap<Part> = loads
        .iter()
        .enumerate()
        .map(|(expert, &load)| Part { load, expert })
        .collect();
    for _ in loads.len()..slots {
        let Some(Part { expert, .. }) = heap.pop() else {
            break;
        };
        replicas[expert] += 1;
        if replicas[expert] < most {
            let load = loads[expert] / replicas[expert] as f64;
            heap.push(Part { load, expert });
        }
    }
    replicas
}

struct Packer<'a> {
    site: &'a Site,
    held: Vec<Vec<u16>>,
    /// Time of each rank; infinite once it is full.
    times: Vec<f64>,
    nodes: Vec<bool>,
}

impl<'a> Packer<'a> {
    fn new(site: &'a Site) -> Self {
        let nodes = site.nodes.iter().max().map_or(0, |n| usize::from(*n) + 1);
        let mut packer = Self {
            site,
            held: vec![Vec::new(); site.speeds.len()],
            times: vec![0.0; site.speeds.len()],
            nodes: vec![false; nodes],
        };
        (0..site.speeds.len()).for_each(|rank| packer.note_full(rank));
        packer
    }

    fn room(&self, rank: usize) -> usize {
        self.site.offsets[rank + 1] - self.site.offsets[rank] - self.held[rank].len()
    }

    fn note_full(&mut self, rank: usize) {
        if self.room(rank) == 0 {
            self.times[rank] = f64::INFINITY;
        }
    }

    /// Puts replicas on the ranks that are soonest done with them, while one has room.
    fn put(&mut self, expert: u16, load: f64, replicas: usize) {
        self.nodes.fill(false);
        for _ in 0..replicas {
            let Some(rank) = self.soonest(expert, load) else {
                return;
            };
            self.nodes[usize::from(self.site.nodes[rank])] = true;
            self.held[rank].push(expert);
            self.times[rank] += load * self.site.costs[rank];
            self.note_full(rank);
        }
    }

    fn soonest(&self, expert: u16, load: f64) -> Option<usize> {
        let mut best = None;
        let mut least = f64::INFINITY;
        for (rank, (time, cost)) in self.times.iter().zip(&self.site.costs).enumerate() {
            let time = time + load * cost;
            // The cheap comparison goes first: most ranks fail it.
            if time >= least || self.held[rank].contains(&expert) {
                continue;
            }
            let known = self.nodes[usize::from(self.site.nodes[rank])];
            let time = if known { time * NODE_PENALTY } else { time };
            if time < least {
                least = time;
                best = Some(rank);
            }
        }
        best
    }

    /// Fills the slots left over, and makes sure that every expert has one.
    fn finish(mut self, loads: &[f64]) -> Vec<u16> {
        let mut copies = vec![0_usize; loads.len()];
        for held in &self.held {
            held.iter().for_each(|e| copies[usize::from(*e)] += 1);
        }
        let mut missing: Vec<u16> = (0..loads.len() as u16)
            .filter(|e| copies[usize::from(*e)] == 0)
            .collect();
        for rank in 0..self.held.len() {
            while self.room(rank) > 0 {
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
