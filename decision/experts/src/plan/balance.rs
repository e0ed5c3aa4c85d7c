//! Split of one layer's tokens over given replicas, and local search for better slots.
//!
//! The split minimises the sum over ranks of load squared divided by speed, whose
//! minimum also minimises the time of the slowest rank. It is found by relaxing one
//! expert after another, each over its own replicas.

use crate::{Layout, Slot};

/// Maximum number of sweeps over all experts until a split is used as it is.
const MAX_SWEEPS: usize = 12;

/// Maximum number of sweeps over all experts after one change.
const CHANGE_SWEEPS: usize = 2;

/// Relative improvement of the highest time in one sweep below which a split has converged.
const CONVERGENCE_RATIO: f64 = 1e-4;

/// Number of hottest experts of a rank that are tried for a new replica.
const MAX_HOT_EXPERTS: usize = 3;

/// Number of least loaded ranks that are tried for an exchange.
const MAX_COOL_RANKS: usize = 6;

/// Number of slots that are tried for a new replica.
const MAX_SPARE_SLOTS: usize = 4;

/// Fraction of the excess that a change has to remove.
const MIN_EXCESS_CUT: f64 = 0.01;

/// Speeds, nodes and slots of the ranks of a group.
#[derive(Clone, Debug)]
pub(crate) struct RankTable {
    /// Relative speed of each rank.
    pub(crate) speeds: Vec<f64>,
    /// Time per unit of load on each rank, the reciprocal of its speed.
    pub(crate) costs: Vec<f64>,
    pub(crate) nodes: Vec<u16>,
    /// Rank that each slot belongs to.
    pub(crate) owners: Vec<usize>,
    /// First slot of each rank, followed by the number of slots.
    pub(crate) offsets: Vec<usize>,
}

impl RankTable {
    pub(crate) fn new(layout: &Layout, speeds: &[f64]) -> Self {
        let mut offsets = layout.offsets();
        offsets.push(layout.width());
        Self {
            speeds: speeds.to_vec(),
            costs: speeds.iter().map(|s| 1.0 / s).collect(),
            nodes: layout.ranks.iter().map(|r| r.node).collect(),
            owners: layout.owners(),
            offsets,
        }
    }

    fn slots_of(&self, rank: usize) -> std::ops::Range<usize> {
        self.offsets[rank]..self.offsets[rank + 1]
    }
}

/// Replacement of the expert in one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) slot: usize,
    pub(crate) expert: u16,
}

/// Experts in the slots of one layer, and the share of the tokens that each slot serves.
#[derive(Clone, Debug)]
pub(crate) struct Split {
    pub(crate) experts: Vec<u16>,
    slot_loads: Vec<f64>,
}

impl Split {
    /// Returns the slots with their loads as weights, the largest of each expert at 255.
    pub(crate) fn slots(&self) -> Vec<Slot> {
        let experts = self.experts.iter().max().map_or(0, |e| usize::from(*e) + 1);
        let mut max = vec![0.0_f64; experts];
        for (expert, slot_load) in self.experts.iter().zip(&self.slot_loads) {
            let max = &mut max[usize::from(*expert)];
            *max = max.max(*slot_load);
        }
        let slots = self.experts.iter().zip(&self.slot_loads);
        slots
            .map(|(&expert, &slot_load)| Slot {
                expert,
                weight: quantise(slot_load, max[usize::from(expert)]),
            })
            .collect()
    }
}

/// Working state of the search in one layer.
#[derive(Clone, Debug)]
pub(crate) struct Balance<'a> {
    table: &'a RankTable,
    loads: &'a [f64],
    target: f64,
    experts: Vec<u16>,
    slot_loads: Vec<f64>,
    rank_loads: Vec<f64>,
    /// Slots that hold each expert, in ascending order.
    replicas: Vec<Vec<usize>>,
    /// Copy of the slot and rank loads, restored when a change is rejected.
    saved: (Vec<f64>, Vec<f64>),
    scratch: Vec<(f64, f64, usize)>,
}

impl<'a> Balance<'a> {
    /// Starts from `experts`, the expert in each slot, and computes the split.
    pub(crate) fn new(
        table: &'a RankTable,
        loads: &'a [f64],
        target: f64,
        experts: Vec<u16>,
    ) -> Self {
        let mut replicas = vec![Vec::new(); loads.len()];
        for (slot, &expert) in experts.iter().enumerate() {
            replicas[usize::from(expert)].push(slot);
        }
        let mut balance = Self {
            table,
            loads,
            target,
            slot_loads: vec![0.0; experts.len()],
            rank_loads: vec![0.0; table.speeds.len()],
            experts,
            replicas,
            saved: (Vec::new(), Vec::new()),
            scratch: Vec::new(),
        };
        balance.split_by_speed();
        balance.converge(MAX_SWEEPS);
        balance
    }

    /// Time of the slowest rank.
    pub(crate) fn time(&self) -> f64 {
        let times = self.rank_loads.iter().zip(&self.table.costs);
        times.map(|(t, c)| t * c).fold(0.0, f64::max)
    }

    /// Returns the experts in the slots with the load of each slot.
    pub(crate) fn split(&self) -> Split {
        Split {
            experts: self.experts.clone(),
            slot_loads: self.slot_loads.clone(),
        }
    }

    /// Applies one change that reduces the excess over the target, if one is found.
    pub(crate) fn improve(&mut self) -> Option<Vec<Change>> {
        if self.time() <= self.target {
            return None;
        }
        let changes = self.apply_change();
        if changes.is_none() {
            self.converge(MAX_SWEEPS);
        }
        changes
    }

    fn apply_change(&mut self) -> Option<Vec<Change>> {
        let hot = self.hottest();
        let changes = self.try_replicas(hot).or_else(|| self.try_exchange(hot))?;
        self.converge(CHANGE_SWEEPS);
        Some(changes)
    }

    fn split_by_speed(&mut self) {
        for (expert, replicas) in self.replicas.iter().enumerate() {
            let speed: f64 = replicas
                .iter()
                .map(|h| self.table.speeds[self.table.owners[*h]])
                .sum();
            for &slot in replicas {
                let rank = self.table.owners[slot];
                self.slot_loads[slot] = self.loads[expert] * self.table.speeds[rank] / speed;
                self.rank_loads[rank] += self.slot_loads[slot];
            }
        }
    }

    fn converge(&mut self, sweeps: usize) {
        let mut last = self.time();
        for _ in 0..sweeps {
            for expert in 0..self.replicas.len() {
                self.relax(expert);
            }
            let time = self.time();
            if time <= self.target || last - time < CONVERGENCE_RATIO * last {
                return;
            }
            last = time;
        }
    }

    /// Splits the tokens of one expert so that the times of its replicas' ranks even out.
    fn relax(&mut self, expert: usize) {
        let replicas = &self.replicas[expert];
        if replicas.len() < 2 {
            return;
        }
        self.scratch.clear();
        for &slot in replicas {
            let rank = self.table.owners[slot];
            let base = self.rank_loads[rank] - self.slot_loads[slot];
            let speed = self.table.speeds[rank];
            let level = base * self.table.costs[rank];
            self.scratch.push((level, speed, slot));
        }
        self.scratch.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let level = water_level(&self.scratch, self.loads[expert]);
        for &(base, speed, slot) in &self.scratch {
            let share = ((level - base) * speed).max(0.0);
            self.rank_loads[self.table.owners[slot]] += share - self.slot_loads[slot];
            self.slot_loads[slot] = share;
        }
    }

    fn time_of(&self, rank: usize) -> f64 {
        self.rank_loads[rank] * self.table.costs[rank]
    }

    fn hottest(&self) -> usize {
        let ranks = 0..self.rank_loads.len();
        ranks
            .max_by(|a, b| self.time_of(*a).total_cmp(&self.time_of(*b)))
            .unwrap_or(0)
    }

    fn coolest(&self, hot: usize) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.rank_loads.len()).filter(|r| *r != hot).collect();
        let by_time = |a: &usize, b: &usize| {
            let order = self.time_of(*a).total_cmp(&self.time_of(*b));
            order.then(a.cmp(b))
        };
        if ranks.len() > MAX_COOL_RANKS {
            ranks.select_nth_unstable_by(MAX_COOL_RANKS, by_time);
            ranks.truncate(MAX_COOL_RANKS);
        }
        ranks.sort_by(by_time);
        ranks
    }

    /// Sum over ranks of the squared excess of the time over the target.
    fn excess(&self) -> f64 {
        let times = self.rank_loads.iter().zip(&self.table.costs);
        times
            .map(|(t, c)| (t * c - self.target).max(0.0).powi(2))
            .sum()
    }

    fn is_on_rank(&self, expert: u16, rank: usize) -> bool {
        self.table
            .slots_of(rank)
            .any(|slot| self.experts[slot] == expert)
    }

    fn hot_experts(&self, hot: usize) -> Vec<u16> {
        let mut slots: Vec<usize> = self.table.slots_of(hot).collect();
        slots.sort_by(|a, b| self.slot_loads[*b].total_cmp(&self.slot_loads[*a]));
        let loaded = slots.iter().filter(|s| self.slot_loads[**s] > 0.0);
        loaded
            .take(MAX_HOT_EXPERTS)
            .map(|s| self.experts[*s])
            .collect()
    }

    /// Slots whose expert can be replaced, those with the least effect on the time first.
    ///
    /// A slot is scored by the higher of its rank's time without it and the
    /// time of the other replicas once they have taken over its tokens.
    fn spare_slots(&self) -> Vec<usize> {
        let mut scored: Vec<(f64, usize)> = Vec::new();
        for replicas in self.replicas.iter().filter(|h| h.len() > 1) {
            let ranks = replicas.iter().map(|h| self.table.owners[*h]);
            let speed: f64 = ranks.clone().map(|r| self.table.speeds[r]).sum();
            let time = ranks.map(|r| self.time_of(r)).fold(0.0, f64::max);
            for &slot in replicas {
                let rank = self.table.owners[slot];
                let own = self.table.speeds[rank];
                let freed = self.time_of(rank) - self.slot_loads[slot] * self.table.costs[rank];
                let others = time + self.slot_loads[slot] / (speed - own);
                scored.push((freed.max(others), slot));
            }
        }
        let by_score = |a: &(f64, usize), b: &(f64, usize)| {
            let order = a.0.total_cmp(&b.0);
            order.then(a.1.cmp(&b.1))
        };
        if scored.len() > MAX_SPARE_SLOTS {
            scored.select_nth_unstable_by(MAX_SPARE_SLOTS, by_score);
            scored.truncate(MAX_SPARE_SLOTS);
        }
        scored.sort_by(by_score);
        scored.into_iter().map(|(_, slot)| slot).collect()
    }

    fn is_on_node(&self, expert: u16, node: u16) -> bool {
        self.replicas[usize::from(expert)]
            .iter()
            .any(|h| self.table.nodes[self.table.owners[*h]] == node)
    }

    fn try_replicas(&mut self, hot: usize) -> Option<Vec<Change>> {
        let spare = self.spare_slots();
        for expert in self.hot_experts(hot) {
            let mut slots = spare.clone();
            slots.retain(|s| !self.is_on_rank(expert, self.table.owners[*s]));
            // Nodes without a replica come first: their tokens then stay on the node.
            slots.sort_by_key(|s| self.is_on_node(expert, self.table.nodes[self.table.owners[*s]]));
            for slot in slots {
                let change = Change { slot, expert };
                if self.apply_if_better(&[change], hot) {
                    return Some(vec![change]);
                }
            }
        }
        None
    }

    fn try_exchange(&mut self, hot: usize) -> Option<Vec<Change>> {
        let mut best: Option<(f64, [Change; 2])> = None;
        for rank in self.coolest(hot) {
            for remote_slot in self.table.slots_of(rank) {
                for hot_slot in self.table.slots_of(hot) {
                    let (outgoing, incoming) = (self.experts[hot_slot], self.experts[remote_slot]);
                    let shift = self.slot_loads[hot_slot] - self.slot_loads[remote_slot];
                    if shift <= 0.0
                        || self.is_on_rank(outgoing, rank)
                        || self.is_on_rank(incoming, hot)
                    {
                        continue;
                    }
                    let hot_time = self.time_of(hot) - shift / self.table.speeds[hot];
                    let time = hot_time.max(self.time_of(rank) + shift / self.table.speeds[rank]);
                    if best.as_ref().is_none_or(|(least, _)| time < *least) {
                        let change = |slot, expert| Change { slot, expert };
                        best = Some((
                            time,
                            [change(hot_slot, incoming), change(remote_slot, outgoing)],
                        ));
                    }
                }
            }
        }
        let (_, changes) = best?;
        self.apply_if_better(&changes, hot)
            .then(|| changes.to_vec())
    }

    /// Applies `changes`, and reverts them unless they reduce the excess by `MIN_EXCESS_CUT`.
    fn apply_if_better(&mut self, changes: &[Change], hot: usize) -> bool {
        let before = self.excess();
        self.saved.0.clone_from(&self.slot_loads);
        self.saved.1.clone_from(&self.rank_loads);
        let old: Vec<Change> = changes
            .iter()
            .map(|c| Change {
                slot: c.slot,
                expert: self.experts[c.slot],
            })
            .collect();
        self.replace_experts(changes);
        for change in old.iter().chain(changes) {
            self.reassign_load(usize::from(change.expert));
        }
        for slot in self.table.slots_of(hot) {
            self.relax(usize::from(self.experts[slot]));
        }
        for change in changes {
            self.relax(usize::from(change.expert));
        }
        if self.excess() < before * (1.0 - MIN_EXCESS_CUT) {
            return true;
        }
        self.replace_experts(&old);
        self.slot_loads.clone_from(&self.saved.0);
        self.rank_loads.clone_from(&self.saved.1);
        false
    }

    fn replace_experts(&mut self, changes: &[Change]) {
        for change in changes {
            let old = usize::from(self.experts[change.slot]);
            self.replicas[old].retain(|s| *s != change.slot);
            self.rank_loads[self.table.owners[change.slot]] -= self.slot_loads[change.slot];
            self.slot_loads[change.slot] = 0.0;
        }
        for change in changes {
            self.experts[change.slot] = change.expert;
            let replicas = &mut self.replicas[usize::from(change.expert)];
            let place = replicas.partition_point(|s| *s < change.slot);
            replicas.insert(place, change.slot);
        }
    }

    /// Reassigns the whole load of an expert whose replicas have changed.
    fn reassign_load(&mut self, expert: usize) {
        if let [only] = self.replicas[expert][..] {
            self.rank_loads[self.table.owners[only]] += self.loads[expert] - self.slot_loads[only];
            self.slot_loads[only] = self.loads[expert];
        }
        self.relax(expert);
    }
}

/// Water-filling level of `load` on replicas with the given levels and speeds, lowest first.
fn water_level(replicas: &[(f64, f64, usize)], load: f64) -> f64 {
    let mut speeds = 0.0;
    let mut filled = load;
    let mut level = f64::MAX;
    for &(base, speed, _) in replicas {
        if base >= level {
            break;
        }
        speeds += speed;
        filled += base * speed;
        level = filled / speeds;
    }
    level
}

fn quantise(share: f64, max: f64) -> u8 {
    if max <= 0.0 {
        return u8::MAX;
    }
    // In range: the share lies between zero and the maximum.
    (share / max * f64::from(u8::MAX) + 0.5) as u8
}
