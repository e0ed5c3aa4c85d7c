//! Improvement of one layer.

use super::EvenLayout;

/// Least loaded ranks that are tried as new holders.
const TARGETS: usize = 10;
/// Least relative gain of a change that is made.
const LEAST_GAIN: f64 = 2e-3;

/// One layer while it is improved.
pub(super) struct Layer<'a> {
    layout: &'a EvenLayout,
    loads: &'a [f64],
    /// What each rank holds before the change.
    old: &'a [Vec<u16>],
    held: Vec<Vec<u16>>,
    /// Holders of each expert.
    holders: Vec<Vec<usize>>,
    totals: Vec<f64>,
    fresh: Vec<usize>,
}

/// A change of one layer.
#[derive(Clone, Copy, Debug)]
struct Change {
    expert: u16,
    from: usize,
    to: usize,
    /// Whether the first rank keeps the expert.
    shared: bool,
    /// Expert that the second rank gives up.
    dropped: Option<u16>,
    /// Whether the first rank takes over what the second one gives up.
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
            totals: vec![0.0; old.len()],
            fresh: vec![0; old.len()],
        };
        layer.add_up();
        layer
    }

    /// Most loaded rank over the mean.
    pub(super) fn imbalance(&self) -> f64 {
        let mean = self.totals.iter().sum::<f64>() / self.totals.len().max(1) as f64;
        if mean <= 0.0 {
            return 1.0;
        }
        self.totals.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Experts that ranks hold and did not hold before.
    pub(super) fn copies(&self) -> usize {
        self.fresh.iter().sum()
    }

    pub(super) fn into_held(self) -> Vec<Vec<u16>> {
        self.held
    }

    /// Makes the best change again and again until the goal is reached or nothing helps.
    pub(super) fn improve(&mut self, goal: f64) {
        let most = self.layout.ranks * self.layout.spare * 2;
        for _ in 0..most {
            if self.imbalance() <= goal {
                return;
            }
            let Some((change, cost)) = self.best_change() else {
                return;
            };
            if cost > self.cost(&self.totals) * (1.0 - LEAST_GAIN) {
                return;
            }
            self.carry_out(change);
        }
    }

    fn best_change(&self) -> Option<(Change, f64)> {
        let mut order: Vec<usize> = (0..self.totals.len()).collect();
        order.sort_by(|a, b| self.totals[*a].total_cmp(&self.totals[*b]));
        let from = *order.last()?;
        let mut best: Option<(Change, f64)> = None;
        for &to in order.iter().take(TARGETS).filter(|to| **to != from) {
            for change in self.changes(from, to) {
                let cost = self.cost(&self.totals_after(change));
                if best.is_none_or(|(_, least)| cost < least) {
                    best = Some((change, cost));
                }
            }
        }
        best
    }

    /// Changes by which rank `from` hands work to rank `to`.
    fn changes(&self, from: usize, to: usize) -> Vec<Change> {
        let mut changes = Vec::new();
        let room = self.held[to].len() < self.layout.places;
        let spare = self.layout.spare;
        for &expert in &self.held[from] {
            if self.held[to].contains(&expert) {
                continue;
            }
            let new_there = usize::from(!self.old[to].contains(&expert));
            if self.fresh[to] + new_there > spare {
                continue;
            }
            let mut add = |dropped: Option<u16>, swapped: bool| {
                let keeps = [false, true]
                    .into_iter()
                    .filter(|shared| !(*shared && swapped));
                changes.extend(keeps.map(|shared| Change {
                    expert,
                    from,
                    to,
                    shared,
                    dropped,
                    swapped,
                }));
            };
            if room {
                add(None, false);
            }
            for &other in &self.held[to] {
                if self.holders[usize::from(other)].len() > 1 {
                    add(Some(other), false);
                }
                let new_here = usize::from(!self.old[from].contains(&other));
                if !self.held[from].contains(&other) && self.fresh[from] + new_here <= spare {
                    add(Some(other), true);
                }
            }
        }
        changes
    }

    fn part(&self, expert: u16, holders: usize) -> f64 {
        self.loads[usize::from(expert)] / holders.max(1) as f64
    }

    fn totals_after(&self, change: Change) -> Vec<f64> {
        let mut totals = self.totals.clone();
        let holders = &self.holders[usize::from(change.expert)];
        let before = self.part(change.expert, holders.len());
        if change.shared {
            let after = self.part(change.expert, holders.len() + 1);
            for &rank in holders {
                totals[rank] += after - before;
            }
            totals[change.to] += after;
        } else {
            totals[change.from] -= before;
            totals[change.to] += before;
        }
        if let Some(dropped) = change.dropped {
            let holders = &self.holders[usize::from(dropped)];
            let before = self.part(dropped, holders.len());
            totals[change.to] -= before;
            if change.swapped {
                totals[change.from] += before;
            } else {
                let after = self.part(dropped, holders.len() - 1);
                for &rank in holders.iter().filter(|rank| **rank != change.to) {
                    totals[rank] += after - before;
                }
            }
        }
        totals
    }

    /// Soft maximum of the loads, relative to their mean.
    fn cost(&self, totals: &[f64]) -> f64 {
        let mean = totals.iter().sum::<f64>() / totals.len().max(1) as f64;
        if mean <= 0.0 {
            return 0.0;
        }
        totals.iter().map(|t| (t / mean).powi(8)).sum()
    }

    fn carry_out(&mut self, change: Change) {
        if !change.shared {
            self.drop_expert(change.from, change.expert);
        }
        if let Some(dropped) = change.dropped {
            self.drop_expert(change.to, dropped);
            if change.swapped {
                self.take_expert(change.from, dropped);
            }
        }
        self.take_expert(change.to, change.expert);
        self.add_up();
    }

    fn take_expert(&mut self, rank: usize, expert: u16) {
        self.held[rank].push(expert);
        self.holders[usize::from(expert)].push(rank);
    }

    fn drop_expert(&mut self, rank: usize, expert: u16) {
        self.held[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)].retain(|holder| *holder != rank);
    }

    fn add_up(&mut self) {
        self.totals.iter_mut().for_each(|t| *t = 0.0);
        for (expert, holders) in self.holders.iter().enumerate() {
            let part = self.loads.get(expert).copied().unwrap_or(0.0) / holders.len().max(1) as f64;
            for &rank in holders {
                self.totals[rank] += part;
            }
        }
        for (rank, held) in self.held.iter().enumerate() {
            let fresh = held
                .iter()
                .filter(|expert| !self.old[rank].contains(expert));
            self.fresh[rank] = fresh.count();
        }
    }
}
