//! Local search for a better placement of one layer.

use super::EvenLayout;

/// Number of least loaded ranks that are tried as new holders.
const MAX_TARGETS: usize = 10;
/// Minimum relative reduction of the cost by a change.
const MIN_GAIN_RATIO: f64 = 2e-3;
/// Pace from which a rank counts as slow; lower values are noise of the measurement.
const MIN_SLOW_PACE: f64 = 1.15;
/// Pace at which the search places no expert on a rank.
const NO_EXPERTS_PACE: f64 = 1e6;
/// Maximum relative increase of the imbalance for a slow rank without experts.
///
/// A large group loses less without the rank: 1 in 71 of its speed at most.
const MAX_EMPTY_LOSS_RATIO: f64 = 0.02;

/// Working state of one layer.
#[derive(Clone)]
pub(super) struct Layer<'a> {
    layout: &'a EvenLayout,
    loads: &'a [f64],
    /// Time per unit of work of each rank relative to a normal one; 1 unless the rank is slow.
    paces: Vec<f64>,
    /// Experts of each rank in the current placement.
    old: &'a [Vec<u16>],
    held: Vec<Vec<u16>>,
    /// Holders of each expert.
    holders: Vec<Vec<usize>>,
    rank_loads: Vec<f64>,
    /// Time of a rank if the load were divided in proportion to the speeds; the same for all
    /// placements.
    mean: f64,
    /// Number of experts of each rank that are not in `old`.
    added: Vec<usize>,
    /// Number of changes applied.
    changes: usize,
}

/// Transfer of an expert from one rank to another, or its removal from a rank.
#[derive(Clone, Copy, Debug)]
struct Change {
    expert: u16,
    from: usize,
    /// New holder; `None` if the other holders take the load of `from`.
    to: Option<usize>,
    /// Whether `from` keeps the expert as well.
    shared: bool,
    /// Expert that `to` evicts.
    evicted: Option<u16>,
    /// Whether `from` receives the evicted expert.
    swapped: bool,
}

impl<'a> Layer<'a> {
    pub(super) fn new(
        layout: &'a EvenLayout,
        old: &'a [Vec<u16>],
        loads: &'a [f64],
        paces: &[f64],
    ) -> Self {
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
            paces: counted_paces(paces, old.len()),
            old,
            held: old.to_vec(),
            holders,
            rank_loads: vec![0.0; old.len()],
            mean: 0.0,
            added: vec![0; old.len()],
            changes: 0,
        };
        layer.recompute();
        let speed: f64 = layer.paces.iter().map(|pace| pace.recip()).sum();
        // Paces are finite, so that only a group without ranks has no speed.
        layer.mean = layer.rank_loads.iter().sum::<f64>() / speed.max(f64::MIN_POSITIVE);
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
        let times = (0..self.rank_loads.len()).map(|rank| self.time(rank));
        times.fold(0.0, f64::max)
    }

    /// Time that a rank takes for its load.
    fn time(&self, rank: usize) -> f64 {
        self.rank_loads[rank] * self.paces[rank]
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

    /// Takes all experts from each slow rank whose load the others can take within `goal`.
    ///
    /// [`improve`](Self::improve) leaves a slow rank a share in proportion to its speed, but a rank
    /// without experts cannot delay the others at all, whatever its pace becomes.
    pub(super) fn relieve_slow_ranks(&mut self, goal: f64, room: &mut [usize]) {
        for rank in 0..self.paces.len() {
            if self.paces[rank] <= 1.0 || self.held[rank].is_empty() {
                continue;
            }
            let mut layer = self.clone();
            let mut left = room.to_vec();
            if !layer.empty(rank, &mut left) {
                continue;
            }
            let pace = std::mem::replace(&mut layer.paces[rank], NO_EXPERTS_PACE);
            while layer.improve(goal, &mut left) {}
            layer.paces[rank] = pace;
            let limit = self.imbalance().max(goal) * (1.0 + MAX_EMPTY_LOSS_RATIO);
            if layer.held[rank].is_empty() && layer.imbalance() <= limit {
                *self = layer;
                room.copy_from_slice(&left);
            }
        }
    }

    /// Takes all experts from a rank; false if the only holder of one finds no other rank for it.
    fn empty(&mut self, rank: usize, room: &mut [usize]) -> bool {
        let mut order: Vec<usize> = (0..self.rank_loads.len()).filter(|r| *r != rank).collect();
        for expert in self.held[rank].clone() {
            if self.holders[usize::from(expert)].len() == 1 {
                order.sort_by(|a, b| self.time(*a).total_cmp(&self.time(*b)));
                let takes = |to: &&usize| {
                    let free = self.held[**to].len() < self.layout.places;
                    let known = self.old[**to].contains(&expert);
                    free && (known || room[**to] > 0 && self.added[**to] < self.layout.spare)
                };
                let Some(to) = order.iter().find(takes).copied() else {
                    return false;
                };
                if !self.old[to].contains(&expert) {
                    room[to] -= 1;
                }
                self.add_expert(to, expert);
            }
            self.remove_expert(rank, expert);
            self.recompute();
        }
        true
    }

    /// Returns the change with the largest reduction of the cost, and that reduction.
    fn best_change(&self, room: &[usize]) -> Option<(Change, f64)> {
        let mut order: Vec<usize> = (0..self.rank_loads.len()).collect();
        order.sort_by(|a, b| self.time(*a).total_cmp(&self.time(*b)));
        let from = *order.last()?;
        let targets = order.iter().filter(|to| **to != from && room[**to] > 0);
        let mut best: Option<(Change, f64)> = None;
        let mut shifts = Vec::new();
        let transfers = targets
            .take(MAX_TARGETS)
            .flat_map(|&to| self.changes(from, to, room[from]));
        for change in self.removals(from).chain(transfers) {
            let gain = self.gain(change, &mut shifts);
            if best.is_none_or(|(_, most)| gain > most) {
                best = Some((change, gain));
            }
        }
        best
    }

    /// Removals of experts from a slow rank that other ranks hold too; they need no copies.
    ///
    /// A rank of normal speed keeps its experts: with fewer holders, plans would change for nothing.
    fn removals(&self, from: usize) -> impl Iterator<Item = Change> {
        let slow = self.paces[from] > 1.0;
        let experts = self.held[from].iter().filter(move |_| slow);
        let shared = experts.filter(|expert| self.holders[usize::from(**expert)].len() > 1);
        shared.map(move |expert| Change {
            expert: *expert,
            from,
            to: None,
            shared: false,
            evicted: None,
            swapped: false,
        })
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
                    to: Some(to),
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
        match change.to {
            Some(to) if change.shared => {
                let after = self.share(change.expert, holders.len() + 1);
                for &rank in holders {
                    shift(rank, after - before);
                }
                shift(to, after);
            }
            Some(to) => {
                shift(change.from, -before);
                shift(to, before);
            }
            None => {
                let after = self.share(change.expert, holders.len() - 1);
                shift(change.from, -before);
                for &rank in holders.iter().filter(|rank| **rank != change.from) {
                    shift(rank, after - before);
                }
            }
        }
        if let (Some(evicted), Some(to)) = (change.evicted, change.to) {
            let holders = &self.holders[usize::from(evicted)];
            let before = self.share(evicted, holders.len());
            shift(to, -before);
            if change.swapped {
                shift(change.from, before);
            } else {
                let after = self.share(evicted, holders.len() - 1);
                for &rank in holders.iter().filter(|rank| **rank != to) {
                    shift(rank, after - before);
                }
            }
        }
        let reductions = shifts.iter().map(|(rank, load)| {
            let old = self.rank_loads[*rank];
            self.rank_cost(*rank, old) - self.rank_cost(*rank, old + load)
        });
        reductions.sum()
    }

    /// Soft maximum of the loads, relative to their mean.
    fn cost(&self) -> f64 {
        let loads = self.rank_loads.iter().enumerate();
        loads.map(|(rank, load)| self.rank_cost(rank, *load)).sum()
    }

    fn rank_cost(&self, rank: usize, load: f64) -> f64 {
        if self.mean <= 0.0 {
            return 0.0;
        }
        (load * self.paces[rank] / self.mean).powi(8)
    }

    fn apply(&mut self, change: Change) {
        if !change.shared {
            self.remove_expert(change.from, change.expert);
        }
        if let Some(to) = change.to {
            if let Some(evicted) = change.evicted {
                self.remove_expert(to, evicted);
                if change.swapped {
                    self.add_expert(change.from, evicted);
                }
            }
            self.add_expert(to, change.expert);
        }
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

/// Returns a pace for each rank; those that are normal, unknown or not a number count as 1.
fn counted_paces(paces: &[f64], ranks: usize) -> Vec<f64> {
    let is_slow = |pace: &f64| pace.is_finite() && *pace >= MIN_SLOW_PACE;
    let paces = paces.iter().map(|p| if is_slow(p) { *p } else { 1.0 });
    paces.chain(std::iter::repeat(1.0)).take(ranks).collect()
}
