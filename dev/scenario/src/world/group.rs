//! A group of ranks that run steps together, and its coordinator.
//!
//! Every step has to run under one expert map at all ranks; `run_step` checks it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use pimentotide_control::Command;
use pimentotide_experts::{
    Action, Command as Decided, Coordinator, Demand, Epoch, ExpertMap, Layout, Leader, MapId,
    Message, Peer, RankAgent, Reply, SwitchPolicy, place,
};
use pimentotide_model::{GroupName, Incarnation, Time};

use super::call::Purpose;
use super::packet::Packet;
use super::{NodeId, OUTSIDE, SimEvent, World};
use crate::script::Guard;

/// Number of experts in the only layer.
const EXPERT_COUNT: u16 = 8;
/// Interval between ticks of ranks, leader and coordinator, at which they resend messages.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time of a step after all ranks have started it.
const STEP_DURATION: Duration = Duration::from_millis(25);
/// Time to load the weights of a map at rank 0; rank `n` takes `n + 1` times as long.
const LOAD_DURATION: Duration = Duration::from_millis(150);
/// Time without a step after which the group counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Completion of work at the ranks.
#[derive(Clone, Copy, Debug)]
pub(super) enum RankEvent {
    Loaded(NodeId, u64, MapId),
    Done(Epoch, u64),
}

struct Rank {
    number: u16,
    agent: RankAgent,
    leader: Option<Leader>,
    weights: BTreeSet<MapId>,
    next_tick: Time,
}

/// The group, its processes and the steps that its ranks started.
pub(super) struct Group {
    name: GroupName,
    nodes: Vec<NodeId>,
    ranks: BTreeMap<NodeId, Rank>,
    coordinators: BTreeMap<NodeId, (Coordinator, Time)>,
    proposed: Option<ExpertMap>,
    hot_expert: usize,
    started: BTreeMap<(Epoch, u64), BTreeMap<u16, MapId>>,
    last_step_at: Time,
    steps: u64,
}

impl World {
    pub(super) fn add_group(&mut self, name: &str, zone: &str, ranks: u16) {
        let hosts = (0..ranks).map(|rank| self.add_host(&format!("{name}-{rank}"), zone));
        self.group = Some(Group {
            name: GroupName::from(name),
            nodes: hosts.collect(),
            ranks: BTreeMap::new(),
            coordinators: BTreeMap::new(),
            proposed: None,
            hot_expert: 0,
            started: BTreeMap::new(),
            last_step_at: Time::ZERO,
            steps: 0,
        });
    }

    /// Proposes the group with its first map.
    pub(super) fn form_group(&mut self) {
        let Some(group) = &self.group else {
            return;
        };
        let ranks = group.nodes.len() as u16;
        let command = Decided::Form {
            group: group.name.clone(),
            layout: layout(ranks),
            map: Arc::new(map(ranks, 0)),
        };
        self.submit(OUTSIDE, Command::Experts(command), Purpose::Services, None);
    }

    pub(super) fn start_rank(&mut self, node: NodeId) -> bool {
        let next_tick = self.local(node);
        let incarnation = Incarnation(self.hosts[node].generation);
        let Some(group) = &mut self.group else {
            return false;
        };
        let Some(number) = group.nodes.iter().position(|n| *n == node) else {
            return false;
        };
        let ranks = group.nodes.len() as u16;
        let leader = (number == 0).then(|| Leader::new(group.name.clone(), incarnation, ranks));
        let rank = Rank {
            number: number as u16,
            agent: RankAgent::new(number as u16, incarnation),
            leader,
            weights: BTreeSet::new(),
            next_tick,
        };
        group.ranks.insert(node, rank);
        true
    }

    pub(super) fn kill_rank(&mut self, node: NodeId) {
        if let Some(group) = &mut self.group {
            group.ranks.remove(&node);
            group.coordinators.remove(&node);
        }
    }

    pub(super) fn rebalance(&mut self) {
        if let Some(group) = &mut self.group {
            group.hot_expert = (group.hot_expert + 5) % usize::from(EXPERT_COUNT);
            group.proposed = Some(map(group.nodes.len() as u16, group.hot_expert));
        }
    }

    pub(super) fn tick_group(&mut self, node: NodeId) {
        let now = self.local(node);
        let Some(group) = &mut self.group else {
            return;
        };
        if let Some(rank) = group.ranks.get_mut(&node)
            && now >= rank.next_tick
        {
            rank.next_tick = now + TICK_INTERVAL;
            let leader = rank.leader.as_mut().map(Leader::tick).unwrap_or_default();
            let actions = [rank.agent.tick(), leader].concat();
            return self.rank_actions(node, actions);
        }
        self.tick_coordinator(node, now);
    }

    /// Runs the coordinator of the group at the leading replica.
    fn tick_coordinator(&mut self, node: NodeId, now: Time) {
        let leads = self
            .replicas
            .get(&node)
            .is_some_and(|r| r.node.leads_at(now));
        let holder = self.instance_name(node);
        let nonce = self.next_id();
        let Some(group) = &mut self.group else {
            return;
        };
        if !leads {
            group.coordinators.remove(&node);
            return;
        }
        let name = group.name.clone();
        let (coordinator, next_tick) = group.coordinators.entry(node).or_insert_with(|| {
            let policy = SwitchPolicy {
                staging: Duration::from_secs(4),
                lead: 8,
            };
            (Coordinator::new(name, holder, nonce, policy), now)
        });
        if now < *next_tick {
            return;
        }
        *next_tick = now + TICK_INTERVAL;
        let mut actions = coordinator.tick(now);
        if let Some(map) = group.proposed.take() {
            let (accepted, more) = coordinator.propose(map.clone(), now);
            actions.extend(more);
            if !accepted {
                group.proposed = Some(map);
            }
        }
        self.rank_actions(node, actions);
    }

    pub(super) fn rank_message(&mut self, node: NodeId, peer: Peer, message: Message) {
        let now = self.local(node);
        let Some(group) = &mut self.group else {
            return;
        };
        let actions = match peer {
            Peer::Coordinator => {
                let coordinator = group.coordinators.get_mut(&node);
                coordinator.map(|(c, _)| c.receive(message, now))
            }
            Peer::Leader => {
                let rank = group.ranks.get_mut(&node);
                let leader = rank.and_then(|r| r.leader.as_mut());
                leader.map(|l| l.receive(message))
            }
            Peer::Rank(_) => {
                let rank = group.ranks.get_mut(&node);
                rank.map(|r| r.agent.receive(message).unwrap_or_default())
            }
        };
        self.rank_actions(node, actions.unwrap_or_default());
    }

    pub(super) fn rank_replied(&mut self, node: NodeId, reply: Reply) {
        let now = self.local(node);
        let Some(group) = &mut self.group else {
            return;
        };
        let actions = if let Some((coordinator, _)) = group.coordinators.get_mut(&node) {
            coordinator.replied(reply, now)
        } else if let Some(leader) = group.ranks.get_mut(&node).and_then(|r| r.leader.as_mut()) {
            leader.replied(reply)
        } else {
            Vec::new()
        };
        self.rank_actions(node, actions);
    }

    fn rank_actions(&mut self, node: NodeId, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(peer, message) => self.rank_send(node, peer, &message),
                Action::Submit(command) => {
                    let purpose = Purpose::Experts(node);
                    self.submit(node, Command::Experts(command), purpose, None);
                }
                Action::Load { id, .. } => self.load_weights(node, id),
                Action::Abort(step) => self.abort_step(node, step),
                Action::Free(id) => {
                    if let Some(rank) = self.rank_mut(node) {
                        rank.weights.remove(&id);
                    }
                }
                Action::Run { epoch, step, map } => self.run_step(node, epoch, step, map),
            }
        }
    }

    fn rank_mut(&mut self, node: NodeId) -> Option<&mut Rank> {
        self.group.as_mut()?.ranks.get_mut(&node)
    }

    fn rank_send(&mut self, from: NodeId, peer: Peer, message: &Message) {
        let nodes = &self
            .group
            .as_ref()
            .expect("a rank belongs to a group")
            .nodes;
        let to: Vec<NodeId> = match peer {
            Peer::Coordinator => self.disks.keys().copied().collect(),
            Peer::Leader => vec![nodes[0]],
            Peer::Rank(rank) => nodes.get(usize::from(rank)).copied().into_iter().collect(),
        };
        for node in to {
            self.send(from, node, Packet::Ranks(peer, Box::new(message.clone())));
        }
    }

    fn load_weights(&mut self, node: NodeId, id: MapId) {
        let generation = self.hosts[node].generation;
        let Some(rank) = self.rank_mut(node) else {
            return;
        };
        let pause = LOAD_DURATION * u32::from(rank.number + 1);
        self.schedule(
            pause,
            SimEvent::Rank(RankEvent::Loaded(node, generation, id)),
        );
    }

    /// Starts a step at a rank and checks that all ranks start it under one map.
    fn run_step(&mut self, node: NodeId, epoch: Epoch, step: u64, map: MapId) {
        let mixed = self.bypasses(Guard::Maps);
        let group = self.group.as_mut().expect("a rank belongs to a group");
        let rank = &group.ranks[&node];
        let number = rank.number;
        let map = if mixed && number == 1 { MapId(1) } else { map };
        let ready = rank.weights.contains(&map);
        let size = group.nodes.len();
        let ranks = group.started.entry((epoch, step)).or_default();
        let repeated = ranks.insert(number, map).is_some();
        let same_map = ranks.values().all(|m| *m == map);
        let complete = ranks.len() == size;
        if !same_map || repeated || !ready && !mixed {
            let detail = format!("rank {number} runs step {step} under {map}");
            self.history
                .record_violation(self.time, "one map per step", &detail);
        }
        if complete {
            self.schedule(STEP_DURATION, SimEvent::Rank(RankEvent::Done(epoch, step)));
        }
    }

    /// Aborts a step at one rank, so that it completes at none.
    fn abort_step(&mut self, node: NodeId, step: u64) {
        let group = self.group.as_mut().expect("a rank belongs to a group");
        let number = group.ranks[&node].number;
        let same = group.started.iter_mut().filter(|((_, s), _)| *s == step);
        same.for_each(|(_, ranks)| {
            ranks.remove(&number);
        });
    }

    pub(super) fn rank_event(&mut self, event: RankEvent) {
        match event {
            RankEvent::Loaded(node, generation, id) => {
                if self.hosts[node].generation != generation {
                    return;
                }
                let Some(rank) = self.rank_mut(node) else {
                    return;
                };
                rank.weights.insert(id);
                let actions = rank.agent.loaded(id);
                self.rank_actions(node, actions);
            }
            RankEvent::Done(epoch, step) => self.step_done(epoch, step),
        }
    }

    fn step_done(&mut self, epoch: Epoch, step: u64) {
        let group = self.group.as_mut().expect("a rank belongs to a group");
        let ranks = group.started.get(&(epoch, step));
        if ranks.is_none_or(|r| r.len() < group.nodes.len()) {
            return;
        }
        group.last_step_at = self.time;
        group.steps += 1;
        group
            .started
            .retain(|(e, s), _| *e >= epoch && *s + 64 > step);
        for node in group.nodes.clone() {
            if let Some(rank) = self.rank_mut(node) {
                let actions = rank.agent.finished(epoch, step);
                self.rank_actions(node, actions);
            }
        }
    }

    /// Checks that every rank runs under the last decided map and that steps complete.
    ///
    /// # Errors
    ///
    /// Returns the first condition that fails.
    pub(super) fn settled(&self, expected: Option<u64>) -> Result<(), String> {
        let group = self.group.as_ref().ok_or("there is no group")?;
        let leader = self.leader().ok_or("no leader")?;
        let decisions = self.replicas[&leader].applier.machine().decisions();
        let state = decisions
            .group(&group.name)
            .ok_or("the group is not formed")?;
        let decided = state.decided.id;
        let differs = expected.is_some_and(|e| decided != MapId(e));
        if differs || !state.decided.settled || state.staged.is_some() {
            return Err(format!(
                "map {decided} is not settled or not the expected one"
            ));
        }
        for node in &group.nodes {
            let active = group.ranks.get(node).and_then(|r| r.agent.status().active);
            if active != Some(decided) {
                return Err(format!("{} runs {active:?}", self.hosts[*node].name));
            }
        }
        if self.time.since(group.last_step_at) > STALL_TIMEOUT {
            return Err(format!("no step since {}", group.last_step_at));
        }
        Ok(())
    }

    pub(super) fn steps(&self) -> Option<u64> {
        self.group.as_ref().map(|g| g.steps)
    }
}

fn layout(ranks: u16) -> Layout {
    let slots = EXPERT_COUNT.div_ceil(ranks) + 1;
    Layout::uniform(1, EXPERT_COUNT, ranks, slots, 2)
}

fn map(ranks: u16, hot_expert: usize) -> ExpertMap {
    let mut weights = vec![1.0; usize::from(EXPERT_COUNT)];
    weights[hot_expert] = 6.0;
    let speeds = vec![1.0; usize::from(ranks)];
    let demand = Demand::new(usize::from(EXPERT_COUNT), &weights, &speeds);
    place(&layout(ranks), &demand).expect("the layout fits")
}
