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
    /// Mean load of a rank; changes only redistribute it.
    mean: f64,
    /// Number of experts of each rank that are not in `old`.
    added: Vec<usize>,
    /// Number of changes applied.
    changes: usize,
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
            mean: 0.0,
            added: vec![0; old.len()],
            changes: 0,
        };
        layer.recompute();
        layer.mean = layer.rank_loads.iter().sum::<f64>() / old.len().max(1) as f64;
        layer
    }

    /// Load of the most loaded rank relative to the mean.
    pub(super) fn imbalance(&self) -> f64 {
        if self.mean <= 0.0 {
            return 1.0;
        }
        self.max_load() / self.mean
    }

    /// Load of the most loaded rank above the mean.
    pub(super) fn excess(&self) -> f64 {
        self.max_load() - self.mean
    }

    fn max_load(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max)
    }

    /// Number of expert copies that ranks have to receive.
    pub(super) fn copies(&self) -> usize {
        self.added.iter().sum()
    }

    pub(super) fn into_held(self) -> Vec<Vec<u16>> {
        self.held
    }

    /// Applies the best change unless the imbalance is within `goal`; false if nothing changed.
    ///
    /// `room` holds the copies that each rank can still receive, over all layers.
    pub(super) fn improve(&mut self, goal: f64, room: &mut [usize]) -> bool {
        let max_changes = self.layout.ranks * self.layout.spare * 2;
        if self.imbalance() <= goal || self.changes >= max_changes {
            return false;
        }
        let Some((change, gain)) = self.best_change(room) else {
            return false;
        };
        if gain < self.cost() * MIN_GAIN_RATIO {
            return false;
        }
        let added = self.added.clone();
        self.apply(change);
        self.changes += 1;
        for ((room, before), after) in room.iter_mut().zip(&added).zip(&self.added) {
            *room = (*room + before).saturating_sub(*after);
        }
        true
    }

    /// Returns the change with the largest reduction of the cost, and that reduction.
    fn best_change(&self, room: &[usize]) -> Option<(Change, f64)> {
        let mut order: Vec<usize> = (0..self.rank_loads.len()).collect();
        order.sort_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]));
        let from = *order.last()?;
        let targets = order.iter().filter(|to| **to != from && room[**to] > 0);
        let mut best: Option<(Change, f64)> = None;
        let mut shifts = Vec::new();
        for &to in targets.take(MAX_TARGETS) {
            for change in self.changes(from, to, room[from]) {
                let gain = self.gain(change, &mut shifts);
                if best.is_none_or(|(_, most)| gain > most) {
                    best = Some((change, gain));
                }
            }
        }
        best
    }

    /// Changes that move load from rank `from`, which can receive `room` copies, to rank `to`.
    fn changes(&self, from: usize, to: usize, room: usize) -> Vec<Change> {
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
                let fits = new_to_source <= room && self.added[from] + new_to_source <= spare;
                if fits && !self.held[from].contains(&other) {
                    add(Some(other), true);
                }
            }
        }
        changes
    }

    fn share(&self, expert: u16, holders: usize) -> f64 {
        self.loads[usize::from(expert)] / holders.max(1) as f64
    }

    /// Reduction of the cost by a change; `shifts` is a buffer for the loads that it moves.
    fn gain(&self, change: Change, shifts: &mut Vec<(usize, f64)>) -> f64 {
        shifts.clear();
        let mut shift = |rank: usize, load: f64| match shifts.iter_mut().find(|(r, _)| *r == rank) {
            Some((_, sum)) => *sum += load,
            None => shifts.push((rank, load)),
        };
        let holders = &self.holders[usize::from(change.expert)];
        let before = self.share(change.expert, holders.len());
        if change.shared {
            let after = self.share(change.expert, holders.len() + 1);
            for &rank in holders {
                shift(rank, after - before);
            }
            shift(change.to, after);
        } else {
            shift(change.from, -before);
            shift(change.to, before);
        }
        if let Some(evicted) = change.evicted {
            let holders = &self.holders[usize::from(evicted)];
            let before = self.share(evicted, holders.len());
            shift(change.to, -before);
            if change.swapped {
                shift(change.from, before);
            } else {
                let after = self.share(evicted, holders.len() - 1);
                for &rank in holders.iter().filter(|rank| **rank != change.to) {
                    shift(rank, after - before);
                }
            }
        }
        let reductions = shifts.iter().map(|(rank, load)| {
            let old = self.rank_loads[*rank];
            self.rank_cost(old) - self.rank_cost(old + load)
        });
        reductions.sum()
    }

    /// Soft maximum of the loads, relative to their mean.
    fn cost(&self) -> f64 {
        self.rank_loads.iter().map(|l| self.rank_cost(*l)).sum()
    }

    fn rank_cost(&self, load: f64) -> f64 {
        if self.mean <= 0.0 {
            return 0.0;
        }
        (load / self.mean).powi(8)
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
