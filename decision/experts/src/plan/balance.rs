//! Split of one layer's tokens over given replicas, and better places for them.
//!
//! The split minimises the sum over ranks of load squared by speed: its minimum
//! also has the least highest time. It is found by relaxing one expert after
//! another, each over its own replicas.

use crate::{Layout, Slot};

/// Sweeps over all experts at most before a split counts as settled.
const MAX_SWEEPS: usize = 12;

/// Sweeps over all experts after one change.
const CHANGE_SWEEPS: usize = 2;

/// Change of the highest time, relative, below which a split is settled.
const SETTLED: f64 = 1e-4;

/// Hottest experts of a rank that are tried for a new replica.
const HOT_EXPERTS: usize = 3;

/// Coolest ranks that are tried for an exchange.
const COOL_RANKS: usize = 6;

/// Slots that are tried for a new replica.
const SPARE_SLOTS: usize = 4;

/// Part of the excess that a change has to remove.
const LEAST_CUT: f64 = 0.01;

/// Ranks of a group as the balance of a layer needs them.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) speeds: Vec<f64>,
    /// Time that a unit of load takes on each rank.
    pub(crate) costs: Vec<f64>,
    pub(crate) nodes: Vec<u16>,
    pub(crate) owners: Vec<usize>,
    pub(crate) offsets: Vec<usize>,
}

impl Site {
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

/// One slot that takes another expert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) slot: usize,
    pub(crate) expert: u16,
}

/// Experts in the slots of one layer, and the tokens that each slot carries.
#[derive(Clone, Debug)]
pub(crate) struct Split {
    pub(crate) experts: Vec<u16>,
    carried: Vec<f64>,
}

impl Split {
    /// Returns the slots with the tokens as weights.
    pub(crate) fn slots(&self) -> Vec<Slot> {
        let experts = self.experts.iter().max().map_or(0, |e| usize::from(*e) + 1);
        let mut most = vec![0.0_f64; experts];
        for (expert, carried) in self.experts.iter().zip(&self.carried) {
            let most = &mut most[usize::from(*expert)];
            *most = most.max(*carried);
        }
        let slots = self.experts.iter().zip(&self.carried);
        slots
            .map(|(&expert, &carried)| Slot {
                expert,
                weight: quantise(carried, most[usize::from(expert)]),
            })
            .collect()
    }
}

/// Working state of one layer.
#[derive(Clone, Debug)]
pub(crate) struct Balance<'a> {
    site: &'a Site,
    loads: &'a [f64],
    target: f64,
    experts: Vec<u16>,
    carried: Vec<f64>,
    totals: Vec<f64>,
    hosts: Vec<Vec<usize>>,
    saved: (Vec<f64>, Vec<f64>),
    scratch: Vec<(f64, f64, usize)>,
}

impl<'a> Balance<'a> {
    /// Starts from `experts`, the expert in each slot, and settles the split.
    pub(crate) fn new(site: &'a Site, loads: &'a [f64], target: f64, experts: Vec<u16>) -> Self {
        let mut hosts = vec![Vec::new(); loads.len()];
        for (slot, &expert) in experts.iter().enumerate() {
            hosts[usize::from(expert)].push(slot);
        }
        let mut balance = Self {
            site,
            loads,
            target,
            carried: vec![0.0; experts.len()],
            totals: vec![0.0; site.speeds.len()],
            experts,
            hosts,
            saved: (Vec::new(), Vec::new()),
            scratch: Vec::new(),
        };
        balance.spread();
        balance.settle(MAX_SWEEPS);
        balance
    }

    /// Highest time of a rank.
    pub(crate) fn time(&self) -> f64 {
        let times = self.totals.iter().zip(&self.site.costs);
        times.map(|(t, c)| t * c).fold(0.0, f64::max)
    }

    /// Returns the experts in the slots with the tokens that each carries.
    pub(crate) fn split(&self) -> Split {
        Split {
            experts: self.experts.clone(),
            carried: self.carried.clone(),
        }
    }

    /// Makes the one change that cuts the excess over the target, if there is one.
    pub(crate) fn improve(&mut self) -> Option<Vec<Change>> {
        if self.time() <= self.target {
            return None;
        }
        let found = self.change();
        if found.is_none() {
            self.settle(MAX_SWEEPS);
        }
        found
    }

    fn change(&mut self) -> Option<Vec<Change>> {
        let hot = self.hottest();
        let changes = self.try_replicas(hot).or_else(|| self.try_exchange(hot))?;
        self.settle(CHANGE_SWEEPS);
        Some(changes)
    }

    fn spread(&mut self) {
        for (expert, hosts) in self.hosts.iter().enumerate() {
            let speed: f64 = hosts
                .iter()
                .map(|h| self.site.speeds[self.site.owners[*h]])
                .sum();
            for &host in hosts {
                let rank = self.site.owners[host];
                self.carried[host] = self.loads[expert] * self.site.speeds[rank] / speed;
                self.totals[rank] += self.carried[host];
            }
        }
    }

    fn settle(&mut self, sweeps: usize) {
        let mut last = self.time();
        for _ in 0..sweeps {
            for expert in 0..self.hosts.len() {
                self.relax(expert);
            }
            let time = self.time();
            if time <= self.target || last - time < SETTLED * last {
                return;
            }
            last = time;
        }
    }

    /// Splits the tokens of one expert so that its replicas' ranks level out.
    fn relax(&mut self, expert: usize) {
        let hosts = &self.hosts[expert];
        if hosts.len() < 2 {
            return;
        }
        self.scratch.clear();
        for &host in hosts {
            let rank = self.site.owners[host];
            let base = self.totals[rank] - self.carried[host];
            let speed = self.site.speeds[rank];
            let level = base * self.site.costs[rank];
            self.scratch.push((level, speed, host));
        }
        self.scratch.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let level = fill(&self.scratch, self.loads[expert]);
        for &(base, speed, host) in &self.scratch {
            let share = ((level - base) * speed).max(0.0);
            self.totals[self.site.owners[host]] += share - self.carried[host];
            self.carried[host] = share;
        }
    }

    fn time_of(&self, rank: usize) -> f64 {
        self.totals[rank] * self.site.costs[rank]
    }

    fn hottest(&self) -> usize {
        let ranks = 0..self.totals.len();
        ranks
            .max_by(|a, b| self.time_of(*a).total_cmp(&self.time_of(*b)))
            .unwrap_or(0)
    }

    fn coolest(&self, hot: usize) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.totals.len()).filter(|r| *r != hot).collect();
        let by_time = |a: &usize, b: &usize| {
            let order = self.time_of(*a).total_cmp(&self.time_of(*b));
            order.then(a.cmp(b))
        };
        if ranks.len() > COOL_RANKS {
            ranks.select_nth_unstable_by(COOL_RANKS, by_time);
            ranks.truncate(COOL_RANKS);
        }
        ranks.sort_by(by_time);
        ranks
    }

    /// Sum of squared excess over the target.
    fn excess(&self) -> f64 {
        let times = self.totals.iter().zip(&self.site.costs);
        times
            .map(|(t, c)| (t * c - self.target).max(0.0).powi(2))
            .sum()
    }

    fn hosted(&self, expert: u16, rank: usize) -> bool {
        self.site
            .slots_of(rank)
            .any(|slot| self.experts[slot] == expert)
    }

    fn hot_experts(&self, hot: usize) -> Vec<u16> {
        let mut slots: Vec<usize> = self.site.slots_of(hot).collect();
        slots.sort_by(|a, b| self.carried[*b].total_cmp(&self.carried[*a]));
        let loaded = slots.iter().filter(|s| self.carried[**s] > 0.0);
        loaded.take(HOT_EXPERTS).map(|s| self.experts[*s]).collect()
    }

    /// Slots that can take another expert, those that are missed least first.
    ///
    /// A slot is scored by the higher of its rank's time without it and the
    /// time of the other replicas once they have taken over its tokens.
    fn spare_slots(&self) -> Vec<usize> {
        let mut scored: Vec<(f64, usize)> = Vec::new();
        for hosts in self.hosts.iter().filter(|h| h.len() > 1) {
            let ranks = hosts.iter().map(|h| self.site.owners[*h]);
            let speed: f64 = ranks.clone().map(|r| self.site.speeds[r]).sum();
            let time = ranks.map(|r| self.time_of(r)).fold(0.0, f64::max);
            for &slot in hosts {
                let rank = self.site.owners[slot];
                let own = self.site.speeds[rank];
                let freed = self.time_of(rank) - self.carried[slot] * self.site.costs[rank];
                let others = time + self.carried[slot] / (speed - own);
                scored.push((freed.max(others), slot));
            }
        }
        let by_score = |a: &(f64, usize), b: &(f64, usize)| {
            let order = a.0.total_cmp(&b.0);
            order.then(a.1.cmp(&b.1))
        };
        if scored.len() > SPARE_SLOTS {
            scored.select_nth_unstable_by(SPARE_SLOTS, by_score);
            scored.truncate(SPARE_SLOTS);
        }
        scored.sort_by(by_score);
        scored.into_iter().map(|(_, slot)| slot).collect()
    }

    fn holds_on_node(&self, expert: u16, node: u16) -> bool {
        self.hosts[usize::from(expert)]
            .iter()
            .any(|h| self.site.nodes[self.site.owners[*h]] == node)
    }

    fn try_replicas(&mut self, hot: usize) -> Option<Vec<Change>> {
        let spare = self.spare_slots();
        for expert in self.hot_experts(hot) {
            let mut slots = spare.clone();
            slots.retain(|s| !self.hosted(expert, self.site.owners[*s]));
            // Nodes without a replica go first: their tokens then stay on the node.
            slots
                .sort_by_key(|s| self.holds_on_node(expert, self.site.nodes[self.site.owners[*s]]));
            for slot in slots {
                let change = Change { slot, expert };
                if self.attempt(&[change], hot) {
                    return Some(vec![change]);
                }
            }
        }
        None
    }

    fn try_exchange(&mut self, hot: usize) -> Option<Vec<Change>> {
        let mut best: Option<(f64, [Change; 2])> = None;
        for rank in self.coolest(hot) {
            for there in self.site.slots_of(rank) {
                for here in self.site.slots_of(hot) {
                    let (out, back) = (self.experts[here], self.experts[there]);
                    let shift = self.carried[here] - self.carried[there];
                    if shift <= 0.0 || self.hosted(out, rank) || self.hosted(back, hot) {
                        continue;
                    }
                    let hot_time = self.time_of(hot) - shift / self.site.speeds[hot];
                    let time = hot_time.max(self.time_of(rank) + shift / self.site.speeds[rank]);
                    if best.as_ref().is_none_or(|(least, _)| time < *least) {
                        let swap = |slot, expert| Change { slot, expert };
                        best = Some((time, [swap(here, back), swap(there, out)]));
                    }
                }
            }
        }
        let (_, changes) = best?;
        self.attempt(&changes, hot).then(|| changes.to_vec())
    }

    /// Applies `changes`, and takes them back unless they cut the excess.
    fn attempt(&mut self, changes: &[Change], hot: usize) -> bool {
        let before = self.excess();
        self.saved.0.clone_from(&self.carried);
        self.saved.1.clone_from(&self.totals);
        let old: Vec<Change> = changes
            .iter()
            .map(|c| Change {
                slot: c.slot,
                expert: self.experts[c.slot],
            })
            .collect();
        self.replace(changes);
        for change in old.iter().chain(changes) {
            self.reload(usize::from(change.expert));
        }
        for slot in self.site.slots_of(hot) {
            self.relax(usize::from(self.experts[slot]));
        }
        for change in changes {
            self.relax(usize::from(change.expert));
        }
        if self.excess() < before * (1.0 - LEAST_CUT) {
            return true;
        }
        self.replace(&old);
        self.carried.clone_from(&self.saved.0);
        self.totals.clone_from(&self.saved.1);
        false
    }

    fn replace(&mut self, changes: &[Change]) {
        for change in changes {
            let old = usize::from(self.experts[change.slot]);
            self.hosts[old].retain(|s| *s != change.slot);
            self.totals[self.site.owners[change.slot]] -= self.carried[change.slot];
            self.carried[change.slot] = 0.0;
        }
        for change in changes {
            self.experts[change.slot] = change.expert;
            let hosts = &mut self.hosts[usize::from(change.expert)];
            let place = hosts.partition_point(|s| *s < change.slot);
            hosts.insert(place, change.slot);
        }
    }

    /// Gives an expert whose replicas have changed its whole load again.
    fn reload(&mut self, expert: usize) {
        if let [only] = self.hosts[expert][..] {
            self.totals[self.site.owners[only]] += self.loads[expert] - self.carried[only];
            self.carried[only] = self.loads[expert];
        }
        self.relax(expert);
    }
}

/// Level to which `load` fills hosts with the given levels and speeds, lowest first.
fn fill(hosts: &[(f64, f64, usize)], load: f64) -> f64 {
    let mut speeds = 0.0;
    let mut filled = load;
    let mut level = f64::MAX;
    for &(base, speed, _) in hosts {
        if base >= level {
            break;
        }
        speeds += speed;
        filled += base * speed;
        level = filled / speeds;
    }
    level
}

fn quantise(share: f64, most: f64) -> u8 {
    if most <= 0.0 {
        return u8::MAX;
    }
    // In range: share lies between zero and most.
    (share / most * f64::from(u8::MAX) + 0.5) as u8
}
