//! Coordinator of the switches of one group.
//!
//! The coordinator stages a map on every rank, commits the decision in the log,
//! reports it to the leader and waits until every rank runs under the map. The
//! log holds all state that matters: a new coordinator reads the group from it
//! and resumes with the staged or decided map.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{Fence, GroupName, InstanceName, Time};
use serde::{Deserialize, Serialize};

use super::message::{Action, MapOrder, Message, Peer, RankStatus};
use crate::{
    Command, DecidedMap, ExpertMap, GroupState, MapId, Refusal, Reply, StagedMap, cold_loads,
    sources,
};

/// Parameters of a switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchPolicy {
    /// Time in which ranks have to load a map before it is abandoned.
    pub staging: Duration,
    /// Steps between the newest reported step and the first step of a decided map.
    pub lead: u64,
}

/// Phase of a switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The coordinator has requested a fencing token.
    Taking,
    /// No switch is in flight.
    Idle,
    /// The proposed map is submitted to the log, which assigns its identity.
    Proposing,
    /// Ranks load a map.
    Staging(MapId),
    /// The decision is submitted to the log.
    Deciding(MapId),
    /// The abandonment is submitted to the log.
    Abandoning(MapId),
    /// Ranks start to run under the decided map.
    Activating(MapId),
    /// The completion is submitted to the log.
    Settling(MapId),
    /// Another coordinator has taken over the group.
    Deposed,
}

/// Outcome of a switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// All ranks run under the map.
    Settled(MapId),
    /// The map was abandoned.
    Abandoned(MapId, AbandonCause),
}

/// Reason why a map was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AbandonCause {
    /// A rank did not load it before the timeout.
    Late,
    /// A rank failed to load it.
    Failed,
    /// An operator paused rebalancing, or the caller withdrew the map.
    Withdrawn,
}

/// Coordinator of one group.
#[derive(Clone, Debug)]
pub struct Coordinator {
    name: GroupName,
    holder: InstanceName,
    nonce: u64,
    policy: SwitchPolicy,
    phase: Phase,
    /// Time at which the phase began.
    entered_at: Time,
    fence: Fence,
    group: Option<GroupState>,
    proposed: Option<Arc<ExpertMap>>,
    /// Reason for the abandonment in flight.
    cause: AbandonCause,
    ending: Option<Ending>,
    ranks: Vec<Option<RankStatus>>,
}

impl Default for SwitchPolicy {
    fn default() -> Self {
        Self {
            staging: Duration::from_secs(60),
            lead: 8,
        }
    }
}

impl Coordinator {
    /// Creates a coordinator that has no fencing token yet.
    ///
    /// `nonce` differs at each start of `holder`.
    pub fn new(name: GroupName, holder: InstanceName, nonce: u64, policy: SwitchPolicy) -> Self {
        Self {
            name,
            holder,
            nonce,
            policy,
            phase: Phase::Taking,
            entered_at: Time::ZERO,
            fence: Fence(0),
            group: None,
            proposed: None,
            cause: AbandonCause::Late,
            ending: None,
            ranks: Vec::new(),
        }
    }

    /// Current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Outcome of the last switch that ended under this coordinator.
    pub fn ending(&self) -> Option<Ending> {
        self.ending
    }

    /// Group as last read from the log; `None` before that.
    pub fn group(&self) -> Option<&GroupState> {
        self.group.as_ref()
    }

    /// Newest status of each rank, by number.
    pub fn ranks(&self) -> &[Option<RankStatus>] {
        &self.ranks
    }

    /// Proposes a map; false unless the phase is `Idle`.
    pub fn propose(&mut self, map: ExpertMap, now: Time) -> (bool, Vec<Action>) {
        if self.phase != Phase::Idle {
            return (false, Vec::new());
        }
        self.proposed = Some(Arc::new(map));
        self.enter(Phase::Proposing, now);
        (true, self.tick(now))
    }

    /// Abandons the switch in flight if its map is staged and not submitted for decision.
    pub fn withdraw(&mut self, now: Time) -> Vec<Action> {
        match self.phase {
            Phase::Staging(id) => self.abandon(id, AbandonCause::Withdrawn, now),
            _ => Vec::new(),
        }
    }

    /// Resends unanswered messages and commands; called periodically.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = match self.phase {
            Phase::Taking => vec![self.take()],
            Phase::Idle | Phase::Deposed => Vec::new(),
            Phase::Proposing => self.submit_stage(),
            Phase::Staging(id) => self.stage(id, now),
            Phase::Deciding(id) => self.submit_decide(id),
            Phase::Abandoning(id) => self.submit_abandon(id),
            Phase::Activating(id) => self.activate(id),
            Phase::Settling(id) => self.submit_settle(id),
        };
        if !matches!(self.phase, Phase::Taking | Phase::Deposed) {
            actions.extend(self.discard_unused());
        }
        actions
    }

    /// Receives a message; only a rank's status is used.
    pub fn receive(&mut self, message: Message, now: Time) -> Vec<Action> {
        let Message::Status(status) = message else {
            return Vec::new();
        };
        let rank = usize::from(status.rank);
        let Some(previous) = self.ranks.get(rank) else {
            return Vec::new();
        };
        let version = |s: &RankStatus| (s.incarnation, s.epoch, s.step);
        if previous
            .as_ref()
            .is_some_and(|p| version(p) > version(&status))
        {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if status.floor.is_none() {
            actions.push(self.admit(&status));
        }
        self.ranks[rank] = Some(status);
        actions.extend(self.progress(now));
        actions
    }

    /// Receives the reply of the log to a command of this coordinator.
    pub fn replied(&mut self, reply: Reply, now: Time) -> Vec<Action> {
        match (reply, self.phase) {
            (Reply::Refused(Refusal::Fenced), Phase::Taking | Phase::Deposed) => Vec::new(),
            (Reply::Refused(Refusal::Fenced), _) => {
                self.enter(Phase::Deposed, now);
                Vec::new()
            }
            (Reply::Taken { fence, group }, Phase::Taking) => self.adopt(fence, *group, now),
            (
                Reply::Admitted {
                    rank,
                    incarnation,
                    floor,
                    ..
                },
                _,
            ) => {
                let welcome = Message::Welcome { incarnation, floor };
                vec![Action::Send(Peer::Rank(rank), welcome)]
            }
            (Reply::Staged(id), Phase::Proposing) if self.is_new(id) => self.staged(id, now),
            (Reply::Refused(_), Phase::Proposing) => {
                self.proposed = None;
                self.enter(Phase::Taking, now);
                vec![self.take()]
            }
            (Reply::Decided(decided), Phase::Deciding(id) | Phase::Abandoning(id))
                if decided.id == id =>
            {
                self.decided(decided, now)
            }
            (Reply::Abandoned(id), Phase::Abandoning(current)) if id == current => {
                self.abandoned(id, now)
            }
            (Reply::Settled(id), Phase::Settling(current)) if id == current => {
                self.settled(id, now)
            }
            _ => Vec::new(),
        }
    }

    /// Whether the identity is later than all identities of the group read from the log.
    fn is_new(&self, id: MapId) -> bool {
        self.group.as_ref().is_some_and(|g| id > g.last_id())
    }

    fn enter(&mut self, phase: Phase, now: Time) {
        self.phase = phase;
        self.entered_at = now;
    }

    fn take(&self) -> Action {
        Action::Submit(Command::Take {
            group: self.name.clone(),
            holder: self.holder.clone(),
            nonce: self.nonce,
        })
    }

    fn admit(&self, status: &RankStatus) -> Action {
        Action::Submit(Command::Admit {
            group: self.name.clone(),
            fence: self.fence,
            rank: status.rank,
            incarnation: status.incarnation,
        })
    }

    fn adopt(&mut self, fence: Fence, group: GroupState, now: Time) -> Vec<Action> {
        self.fence = fence;
        self.ranks.resize(group.layout.ranks.len(), None);
        let phase = match (&group.staged, group.decided.settled) {
            (Some(staged), _) => Phase::Staging(staged.id),
            (None, false) => Phase::Activating(group.decided.id),
            (None, true) => Phase::Idle,
        };
        self.group = Some(group);
        self.enter(phase, now);
        self.tick(now)
    }

    fn submit_stage(&self) -> Vec<Action> {
        let stage = |map: &Arc<ExpertMap>| {
            Action::Submit(Command::Stage {
                group: self.name.clone(),
                fence: self.fence,
                map: Arc::clone(map),
            })
        };
        self.proposed.iter().map(stage).collect()
    }

    fn staged(&mut self, id: MapId, now: Time) -> Vec<Action> {
        if let (Some(group), Some(map)) = (&mut self.group, self.proposed.take()) {
            group.record_staged(StagedMap { id, map, at: now });
        }
        self.enter(Phase::Staging(id), now);
        self.tick(now)
    }

    /// Orders ranks that are not ready to load the staged map.
    fn stage(&mut self, id: MapId, now: Time) -> Vec<Action> {
        if now.since(self.entered_at) > self.policy.staging {
            return self.abandon(id, AbandonCause::Late, now);
        }
        let Some(group) = &self.group else {
            return Vec::new();
        };
        let Some(staged) = &group.staged else {
            return Vec::new();
        };
        let speeds = vec![1.0; group.layout.ranks.len()];
        let loads = sources(&group.layout, &group.decided.map, &staged.map, &speeds);
        let order = |rank: u16| MapOrder::Stage {
            id,
            map: Arc::clone(&staged.map),
            loads: loads.iter().filter(|l| l.rank == rank).copied().collect(),
        };
        let waiting = self.waiting(|s| s.ready.contains(&id) || s.loading.contains(&id));
        let orders = waiting.into_iter().map(|r| self.send(r, order(r)));
        orders.collect()
    }

    fn progress(&mut self, now: Time) -> Vec<Action> {
        match self.phase {
            Phase::Staging(id) if self.failed(id) => self.abandon(id, AbandonCause::Failed, now),
            Phase::Staging(id) if self.waiting(|s| s.ready.contains(&id)).is_empty() => {
                self.enter(Phase::Deciding(id), now);
                self.submit_decide(id)
            }
            Phase::Activating(id) if self.waiting(|s| s.active == Some(id)).is_empty() => {
                self.enter(Phase::Settling(id), now);
                self.submit_settle(id)
            }
            _ => Vec::new(),
        }
    }

    fn failed(&self, id: MapId) -> bool {
        self.ranks.iter().flatten().any(|s| s.failed == Some(id))
    }

    /// Ranks without a status or whose status fails `test`.
    fn waiting<F>(&self, test: F) -> Vec<u16>
    where
        F: Fn(&RankStatus) -> bool,
    {
        let fails = |status: &&Option<RankStatus>| !status.as_ref().is_some_and(&test);
        let ranks = (0..).zip(&self.ranks);
        let waiting = ranks.filter(|(_, status)| fails(status));
        waiting.map(|(rank, _)| rank).collect()
    }

    fn send(&self, rank: u16, order: MapOrder) -> Action {
        let fence = self.fence;
        Action::Send(Peer::Rank(rank), Message::Order { fence, order })
    }

    fn submit_decide(&self, id: MapId) -> Vec<Action> {
        let steps = self.ranks.iter().flatten().map(|s| s.step);
        vec![Action::Submit(Command::Decide {
            group: self.name.clone(),
            fence: self.fence,
            id,
            step: steps.max().unwrap_or(0) + self.policy.lead,
        })]
    }

    fn decided(&mut self, decided: DecidedMap, now: Time) -> Vec<Action> {
        let id = decided.id;
        if let Some(group) = &mut self.group {
            group.previous = Some(group.decided.id);
            group.staged = None;
            group.decided = decided;
        }
        self.enter(Phase::Activating(id), now);
        self.tick(now)
    }

    /// Reports the decided map to the leader and orders restarted ranks to load it.
    fn activate(&self, id: MapId) -> Vec<Action> {
        let Some(group) = &self.group else {
            return Vec::new();
        };
        let order = MapOrder::Decided(group.decided.clone());
        let fence = self.fence;
        let mut actions = vec![Action::Send(Peer::Leader, Message::Order { fence, order })];
        let waiting = self.waiting(|s| s.ready.contains(&id) || s.loading.contains(&id));
        for rank in waiting {
            let map = Arc::clone(&group.decided.map);
            let loads = cold_loads(&group.layout, &map, rank, &[]);
            actions.push(self.send(rank, MapOrder::Stage { id, map, loads }));
        }
        actions
    }

    fn submit_settle(&self, id: MapId) -> Vec<Action> {
        let steps = self.ranks.iter().flatten().map(|s| s.step);
        vec![Action::Submit(Command::Settle {
            group: self.name.clone(),
            fence: self.fence,
            id,
            step: steps.min().unwrap_or(0),
        })]
    }

    fn settled(&mut self, id: MapId, now: Time) -> Vec<Action> {
        if let Some(group) = &mut self.group {
            group.decided.settled = true;
            group.previous = None;
        }
        self.ending = Some(Ending::Settled(id));
        self.enter(Phase::Idle, now);
        self.discard_unused()
    }

    fn abandon(&mut self, id: MapId, cause: AbandonCause, now: Time) -> Vec<Action> {
        self.cause = cause;
        self.enter(Phase::Abandoning(id), now);
        self.submit_abandon(id)
    }

    fn submit_abandon(&self, id: MapId) -> Vec<Action> {
        vec![Action::Submit(Command::Abandon {
            group: self.name.clone(),
            fence: self.fence,
            id,
        })]
    }

    fn abandoned(&mut self, id: MapId, now: Time) -> Vec<Action> {
        if let Some(group) = &mut self.group {
            group.staged = None;
        }
        self.ending = Some(Ending::Abandoned(id, self.cause));
        self.enter(Phase::Idle, now);
        self.discard_unused()
    }

    /// Orders ranks to free maps that are no longer used.
    fn discard_unused(&self) -> Vec<Action> {
        let Some(group) = &self.group else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        for status in self.ranks.iter().flatten() {
            let held = status.ready.iter().chain(&status.loading);
            let unused = held.filter(|id| !group.needs(**id));
            let orders = unused.map(|id| self.send(status.rank, MapOrder::Discard { id: *id }));
            actions.extend(orders);
        }
        actions
    }
}
