//! A group of ranks in lock-step, its coordinator, and its ledger of steps.

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
use super::parcel::Parcel;
use super::{Item, NodeId, OUTSIDE, World};
use crate::script::Guard;

/// Experts of the only layer.
const EXPERTS: u16 = 8;
/// Period on which machines send again.
const TICK: Duration = Duration::from_millis(50);
/// Time that a step takes once all ranks have started it.
const STEP: Duration = Duration::from_millis(25);
/// Time that the weights of a map take to load on the first rank; others take longer.
const LOAD: Duration = Duration::from_millis(150);
/// Time without a step after which the group counts as stalled.
const STALL: Duration = Duration::from_millis(300);

/// What happens at a rank.
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
    due: Time,
}

/// The group and what its ranks ran.
pub(super) struct Group {
    name: GroupName,
    nodes: Vec<NodeId>,
    ranks: BTreeMap<NodeId, Rank>,
    coordinators: BTreeMap<NodeId, (Coordinator, Time)>,
    proposed: Option<ExpertMap>,
    hot: usize,
    started: BTreeMap<(Epoch, u64), BTreeMap<u16, MapId>>,
    last: Time,
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
            hot: 0,
            started: BTreeMap::new(),
            last: Time::ZERO,
            steps: 0,
        });
    }

    /// Puts the group into the log with its first map.
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
        let due = self.local(node);
        let incarnation = Incarnation(self.hosts[node].life);
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
            due,
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
            group.hot = (group.hot + 5) % usize::from(EXPERTS);
            group.proposed = Some(map(group.nodes.len() as u16, group.hot));
        }
    }

    pub(super) fn tick_group(&mut self, node: NodeId) {
        let now = self.local(node);
        let Some(group) = &mut self.group else {
            return;
        };
        if let Some(rank) = group.ranks.get_mut(&node)
            && now >= rank.due
        {
            rank.due = now + TICK;
            let leader = rank.leader.as_mut().map(Leader::tick).unwrap_or_default();
            let actions = [rank.agent.tick(), leader].concat();
            return self.rank_actions(node, actions);
        }
        self.tick_coordinator(node, now);
    }

    /// The replica that leads coordinates the group.
    fn tick_coordinator(&mut self, node: NodeId, now: Time) {
        let leads = self
            .replicas
            .get(&node)
            .is_some_and(|r| r.node.leads_at(now));
        let holder = self.instance_name(node);
        let nonce = self.fresh();
        let Some(group) = &mut self.group else {
            return;
        };
        if !leads {
            group.coordinators.remove(&node);
            return;
        }
        let name = group.name.clone();
        let (coordinator, due) = group.coordinators.entry(node).or_insert_with(|| {
            let policy = SwitchPolicy {
                staging: Duration::from_secs(4),
                lead: 8,
            };
            (Coordinator::new(name, holder, nonce, policy), now)
        });
        if now < *due {
            return;
        }
        *due = now + TICK;
        let mut actions = coordinator.tick(now);
        if let Some(map) = group.proposed.take() {
            let (taken, more) = coordinator.propose(map.clone(), now);
            actions.extend(more);
            if !taken {
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
        let nodes = &self.group.as_ref().expect("a group sends").nodes;
        let to: Vec<NodeId> = match peer {
            Peer::Coordinator => self.disks.keys().copied().collect(),
            Peer::Leader => vec![nodes[0]],
            Peer::Rank(rank) => nodes.get(usize::from(rank)).copied().into_iter().collect(),
        };
        for node in to {
            self.send(from, node, Parcel::Ranks(peer, Box::new(message.clone())));
        }
    }

    fn load_weights(&mut self, node: NodeId, id: MapId) {
        let life = self.hosts[node].life;
        let Some(rank) = self.rank_mut(node) else {
            return;
        };
        let pause = LOAD * u32::from(rank.number + 1);
        self.schedule(pause, Item::Rank(RankEvent::Loaded(node, life, id)));
    }

    /// A rank starts a step; all ranks have to start it under one map.
    fn run_step(&mut self, node: NodeId, epoch: Epoch, step: u64, map: MapId) {
        let mixed = self.bypasses(Guard::Maps);
        let group = self.group.as_mut().expect("a group runs");
        let rank = &group.ranks[&node];
        let number = rank.number;
        let map = if mixed && number == 1 { MapId(1) } else { map };
        let ready = rank.weights.contains(&map);
        let size = group.nodes.len();
        let ranks = group.started.entry((epoch, step)).or_default();
        let again = ranks.insert(number, map).is_some();
        let one = ranks.values().all(|m| *m == map);
        let complete = ranks.len() == size;
        if !one || again || !ready && !mixed {
            let detail = format!("rank {number} runs step {step} under {map}");
            self.ledger.violate(self.time, "one map a step", &detail);
        }
        if complete {
            self.schedule(STEP, Item::Rank(RankEvent::Done(epoch, step)));
        }
    }

    /// A rank gives a step up, which then ends nowhere.
    fn abort_step(&mut self, node: NodeId, step: u64) {
        let group = self.group.as_mut().expect("a group runs");
        let number = group.ranks[&node].number;
        let same = group.started.iter_mut().filter(|((_, s), _)| *s == step);
        same.for_each(|(_, ranks)| {
            ranks.remove(&number);
        });
    }

    pub(super) fn rank_event(&mut self, event: RankEvent) {
        match event {
            RankEvent::Loaded(node, life, id) => {
                if self.hosts[node].life != life {
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
        let group = self.group.as_mut().expect("a group runs");
        let ranks = group.started.get(&(epoch, step));
        if ranks.is_none_or(|r| r.len() < group.nodes.len()) {
            return;
        }
        group.last = self.time;
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

    /// Whether every rank runs under the map decided last and steps go on.
    pub(super) fn settled(&self, wanted: Option<u64>) -> Result<(), String> {
        let group = self.group.as_ref().ok_or("there is no group")?;
        let leader = self.leader().ok_or("nobody leads")?;
        let decisions = self.replicas[&leader].applier.machine().decisions();
        let state = decisions
            .group(&group.name)
            .ok_or("the group is not formed")?;
        let decided = state.decided.id;
        let other = wanted.is_some_and(|w| decided != MapId(w));
        if other || !state.decided.settled || state.staged.is_some() {
            return Err(format!("{decided} is not the settled map that is wanted"));
        }
        for node in &group.nodes {
            let active = group.ranks.get(node).and_then(|r| r.agent.status().active);
            if active != Some(decided) {
                return Err(format!("{} runs {active:?}", self.hosts[*node].name));
            }
        }
        if self.time.since(group.last) > STALL {
            return Err(format!("no step since {}", group.last));
        }
        Ok(())
    }

    pub(super) fn steps(&self) -> Option<u64> {
        self.group.as_ref().map(|g| g.steps)
    }
}

fn layout(ranks: u16) -> Layout {
    let slots = EXPERTS.div_ceil(ranks) + 1;
    Layout::uniform(1, EXPERTS, ranks, slots, 2)
}

fn map(ranks: u16, hot: usize) -> ExpertMap {
    let mut weights = vec![1.0; usize::from(EXPERTS)];
    weights[hot] = 6.0;
    let speeds = vec![1.0; usize::from(ranks)];
    let demand = Demand::new(usize::from(EXPERTS), &weights, &speeds);
    place(&layout(ranks), &demand).expect("the layout fits")
}
