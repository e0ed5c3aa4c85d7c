//! Local search for a better placement of one layer.

use super::EvenLayout;

/// Number of least loaded ranks that are tried as new holders.
const MAX_TARGETS: usize = 10;
/// Minimum relative reduction of the cost by a change.
const MIN_GAIN_RATIO: f64 = 2e-3;

/// Working state of one layer.
pub(super) struct Layer<'a> {
    layout: &'a EvenLayout,
    loads: &'a [f64],
    /// Experts of each rank in the current placement.
    old: &'a [Vec<u16>],
    held: Vec<Vec<u16>>,
    /// Holders of each expert.
    holders: Vec<Vec<usize>>,
    rank_loads: Vec<f64>,
    /// Number of experts of each rank that are not in `old`.
    added: Vec<usize>,
}

/// Transfer of an expert from one rank to another.
#[derive(Clone, Copy, Debug)]
struct Change {
    expert: u16,
    from: usize,
    to: usize,
    /// Whether `from` keeps the expert as well.
    shared: bool,
    /// Expert that `to` evicts.
    evicted: Option<u16>,
    /// Whether `from` receives the evicted expert.
    swapped: bool,
}

impl<'a> Layer<'a> {
    pub(super) fn new(layout: &'a EvenLayout, old: &'a [Vec<u16>], loads: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); layout.experts];
        for (rank, experts) in old.iter().enumerate() {
            for &expert in experts {
                if let Some(ranks) = holders.get_mut(usize::from(expert)) {
                    ranks.push(rank);
                }
            }
        }
        let mut layer = Self {
            layout,
            loads,
            old,
            held: old.to_vec(),
            holders,
            rank_loads: vec![0.0; old.len()],
            added: vec![0; old.len()],
        };
        layer.recompute();
        layer
    }

    /// Load of the most loaded rank relative to the mean.
    pub(super) fn imbalance(&self) -> f64 {
        let mean = self.rank_loads.iter().sum::<f64>() / self.rank_loads.len().max(1) as f64;
        if mean <= 0.0 {
            return 1.0;
        }
        self.rank_loads.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Number of expert copies that ranks have to receive.
    pub(super) fn copies(&self) -> usize {
        self.added.iter().sum()
    }

    pub(super) fn into_held(self) -> Vec<Vec<u16>> {
        self.held
    }

    /// Applies the best change repeatedly until the imbalance is within `goal` or no change helps.
    pub(super) fn improve(&mut self, goal: f64) {
        let max_changes = self.layout.ranks * self.layout.spare * 2;
        for _ in 0..max_changes {
            if self.imbalance() <= goal {
                return;
            }
            let Some((change, cost)) = self.best_change() else {
                return;
            };
            if cost > self.cost(&self.rank_loads) * (1.0 - MIN_GAIN_RATIO) {
                return;
            }
            self.apply(change);
        }
    }

    fn best_change(&self) -> Option<(Change, f64)> {
        let mut order: Vec<usize> = (0..self.rank_loads.len()).collect();
        order.sort_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]));
        let from = *order.last()?;
        let mut best: Option<(Change, f64)> = None;
        for &to in order.iter().take(MAX_TARGETS).filter(|to| **to != from) {
            for change in self.changes(from, to) {
                let cost = self.cost(&self.totals_after(change));
                if best.is_none_or(|(_, least)| cost < least) {
                    best = Some((change, cost));
                }
            }
        }
        best
    }

    /// Changes that move load from rank `from` to rank `to`.
    fn changes(&self, from: usize, to: usize) -> Vec<Change> {
        let mut changes = Vec::new();
        let has_free_slot = self.held[to].len() < self.layout.places;
        let spare = self.layout.spare;
        for &expert in &self.held[from] {
            if self.held[to].contains(&expert) {
                continue;
            }
            let new_to_target = usize::from(!self.old[to].contains(&expert));
            if self.added[to] + new_to_target > spare {
                continue;
            }
            let mut add = |evicted: Option<u16>, swapped: bool| {
                let keeps = [false, true]
                    .into_iter()
                    .filter(|shared| !(*shared && swapped));
                changes.extend(keeps.map(|shared| Change {
                    expert,
                    from,
                    to,
                    shared,
                    evicted,
                    swapped,
                }));
            };
            if has_free_slot {
                add(None, false);
            }
            for &other in &self.held[to] {
                if self.holders[usize::from(other)].len() > 1 {
                    add(Some(other), false);
                }
                let new_to_source = usize::from(!self.old[from].contains(&other));
                if !self.held[from].contains(&other) && self.added[from] + new_to_source <= spare {
                    add(Some(other), true);
                }
            }
        }
        changes
    }

    fn share(&self, expert: u16, holders: usize) -> f64 {
        self.loads[usize::from(expert)] / holders.max(1) as f64
    }

    fn totals_after(&self, change: Change) -> Vec<f64> {
        let mut rank_loads = self.rank_loads.clone();
        let holders = &self.holders[usize::from(change.expert)];
        let before = self.share(change.expert, holders.len());
        if change.shared {
            let after = self.share(change.expert, holders.len() + 1);
            for &rank in holders {
                rank_loads[rank] += after - before;
            }
            rank_loads[change.to] += after;
        } else {
            rank_loads[change.from] -= before;
            rank_loads[change.to] += before;
        }
        if let Some(evicted) = change.evicted {
            let holders = &self.holders[usize::from(evicted)];
            let before = self.share(evicted, holders.len());
            rank_loads[change.to] -= before;
            if change.swapped {
                rank_loads[change.from] += before;
            } else {
                let after = self.share(evicted, holders.len() - 1);
                for &rank in holders.iter().filter(|rank| **rank != change.to) {
                    rank_loads[rank] += after - before;
                }
            }
        }
        rank_loads
    }

    /// Soft maximum of the loads, relative to their mean.
    fn cost(&self, rank_loads: &[f64]) -> f64 {
        let mean = rank_loads.iter().sum::<f64>() / rank_loads.len().max(1) as f64;
        if mean <= 0.0 {
            return 0.0;
        }
        rank_loads.iter().map(|t| (t / mean).powi(8)).sum()
    }

    fn apply(&mut self, change: Change) {
        if !change.shared {
            self.remove_expert(change.from, change.expert);
        }
        if let Some(evicted) = change.evicted {
            self.remove_expert(change.to, evicted);
            if change.swapped {
                self.add_expert(change.from, evicted);
            }
        }
        self.add_expert(change.to, change.expert);
        self.recompute();
    }

    fn add_expert(&mut self, rank: usize, expert: u16) {
        self.held[rank].push(expert);
        self.holders[usize::from(expert)].push(rank);
    }

    fn remove_expert(&mut self, rank: usize, expert: u16) {
        self.held[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)].retain(|holder| *holder != rank);
    }

    fn recompute(&mut self) {
        self.rank_loads.iter_mut().for_each(|t| *t = 0.0);
        for (expert, holders) in self.holders.iter().enumerate() {
            let share =
                self.loads.get(expert).copied().unwrap_or(0.0) / holders.len().max(1) as f64;
            for &rank in holders {
                self.rank_loads[rank] += share;
            }
        }
        for (rank, held) in self.held.iter().enumerate() {
            let added = held
                .iter()
                .filter(|expert| !self.old[rank].contains(expert));
            self.added[rank] = added.count();
        }
    }
}
