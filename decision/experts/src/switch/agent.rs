//! Agent of one rank: runs only steps that the leader has granted.
//!
//! An agent never chooses a map. It holds the next step until a grant of the
//! newest epoch covers it and the weights of the granted map are loaded. A
//! restarted agent has no grants and no floor of fencing tokens, so it holds
//! steps and rejects orders until it receives them.

use std::collections::BTreeMap;
use std::sync::Arc;

use pimentotide_model::{ErrorKind, Failure, Fence, Incarnation};

use super::message::{Action, Epoch, Grant, MapOrder, Message, Peer, RankStatus};
use crate::{DecidedMap, ExpertMap, Load, MapId};

/// Maximum number of freed maps kept to recognise late orders.
const MAX_FREED: usize = 16;

/// Steps between two reports to the leader.
///
/// Every step is reported while fewer steps than this are granted ahead.
const REPORT_INTERVAL_STEPS: u64 = 4;

/// State of the weights of one map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Weights {
    Loading,
    Ready,
}

/// Agent of one rank.
#[derive(Clone, Debug)]
pub struct RankAgent {
    rank: u16,
    incarnation: Incarnation,
    floor: Option<Fence>,
    epoch: Epoch,
    grants: Vec<Grant>,
    /// Next step to run; `None` until a grant of the epoch arrives.
    next: Option<u64>,
    step: u64,
    active: Option<MapId>,
    running: bool,
    maps: BTreeMap<MapId, Weights>,
    /// Latest maps whose weights were freed.
    freed: Vec<MapId>,
    /// Maps to free once no grant refers to them.
    discarded: Vec<MapId>,
    /// Map whose weights failed to load last.
    failed: Option<MapId>,
}

impl RankAgent {
    /// Creates an agent that has no floor, epoch or grants yet.
    pub fn new(rank: u16, incarnation: Incarnation) -> Self {
        Self {
            rank,
            incarnation,
            floor: None,
            epoch: Epoch::default(),
            grants: Vec::new(),
            next: None,
            step: 0,
            active: None,
            running: false,
            maps: BTreeMap::new(),
            freed: Vec::new(),
            discarded: Vec::new(),
            failed: None,
        }
    }

    /// Current status.
    pub fn status(&self) -> RankStatus {
        let of = |state| {
            let maps = self.maps.iter().filter(move |(_, w)| **w == state);
            maps.map(|(id, _)| *id).collect()
        };
        RankStatus {
            rank: self.rank,
            incarnation: self.incarnation,
            epoch: self.epoch,
            step: self.step,
            active: self.active,
            ready: of(Weights::Ready),
            loading: of(Weights::Loading),
            failed: self.failed,
            floor: self.floor,
        }
    }

    /// Reports to coordinator and leader; called periodically.
    pub fn tick(&self) -> Vec<Action> {
        let status = Message::Status(self.status());
        vec![
            Action::Send(Peer::Coordinator, status.clone()),
            Action::Send(Peer::Leader, status),
        ]
    }

    /// Receives a message; a rejected order changes no state.
    ///
    /// # Errors
    ///
    /// Fails for an order with `NotCurrent` until the floor of fencing tokens is
    /// received, and with `Fenced` if the order's token is below it.
    pub fn receive(&mut self, message: Message) -> Result<Vec<Action>, Failure> {
        match message {
            Message::Order { fence, order } => self.order(fence, order),
            Message::Welcome { incarnation, floor } => {
                self.welcome(incarnation, floor);
                Ok(Vec::new())
            }
            Message::Open { epoch, decided } => Ok(self.open(epoch, decided)),
            Message::Grants { epoch, grants } => Ok(self.add_grants(epoch, &grants)),
            Message::Status(_) => Ok(Vec::new()),
        }
    }

    /// Records that the weights of a map are loaded; frees them if it was discarded meanwhile.
    pub fn loaded(&mut self, id: MapId) -> Vec<Action> {
        let Some(weights) = self.maps.get_mut(&id) else {
            return vec![Action::Free(id)];
        };
        *weights = Weights::Ready;
        let mut actions = self.tick();
        actions.extend(self.run_next());
        actions
    }

    /// Records that the weights of a map failed to load.
    pub fn load_failed(&mut self, id: MapId) -> Vec<Action> {
        self.maps.remove(&id);
        self.failed = Some(id);
        self.tick()
    }

    /// Records that the engine has finished a step of `epoch`.
    pub fn finished(&mut self, epoch: Epoch, step: u64) -> Vec<Action> {
        if epoch != self.epoch || !self.running || step != self.step {
            return Vec::new();
        }
        self.running = false;
        let mut actions = self.run_next();
        if step.is_multiple_of(REPORT_INTERVAL_STEPS)
            || self.granted_ahead() < REPORT_INTERVAL_STEPS
        {
            let status = Message::Status(self.status());
            actions.push(Action::Send(Peer::Leader, status));
        }
        actions.extend(self.free_discarded());
        actions
    }

    /// Whether no step is running, for lack of a grant or of loaded weights.
    pub fn is_holding(&self) -> bool {
        !self.running
    }

    /// Lowest fencing token that the agent accepts; `None` until received after a start.
    pub fn floor(&self) -> Option<Fence> {
        self.floor
    }

    fn granted_ahead(&self) -> u64 {
        let end = self.grants.last().map_or(0, |g| g.end);
        end.saturating_sub(self.step)
    }

    fn welcome(&mut self, incarnation: Incarnation, floor: Fence) {
        if incarnation == self.incarnation {
            self.floor = self.floor.max(Some(floor));
        }
    }

    fn order(&mut self, fence: Fence, order: MapOrder) -> Result<Vec<Action>, Failure> {
        let Some(floor) = self.floor else {
            return Err(Failure::new(
                ErrorKind::NotCurrent,
                "the agent has not received its floor of fencing tokens",
            ));
        };
        if fence < floor {
            let detail = format!("fencing token {fence} is below the floor {floor}");
            return Err(Failure::new(ErrorKind::Fenced, detail));
        }
        self.floor = Some(fence);
        Ok(match order {
            MapOrder::Stage { id, map, loads } => self.stage(id, map, Some(loads)),
            MapOrder::Discard { id } => self.discard(id),
            MapOrder::Decided(_) => Vec::new(),
        })
    }

    fn stage(&mut self, id: MapId, map: Arc<ExpertMap>, loads: Option<Vec<Load>>) -> Vec<Action> {
        if self.maps.contains_key(&id) || self.freed.contains(&id) {
            return self.tick();
        }
        self.maps.insert(id, Weights::Loading);
        vec![Action::Load { id, map, loads }]
    }

    /// Frees a map once no grant refers to it.
    fn discard(&mut self, id: MapId) -> Vec<Action> {
        if !self.maps.contains_key(&id) {
            self.record_freed(id);
            return self.tick();
        }
        if !self.discarded.contains(&id) {
            self.discarded.push(id);
        }
        self.free_discarded()
    }

    /// Records a freed map so that a late order to stage it is ignored; identities are not reused.
    fn record_freed(&mut self, id: MapId) {
        if !self.freed.contains(&id) {
            self.freed.push(id);
        }
        if self.freed.len() > MAX_FREED {
            self.freed.remove(0);
        }
    }

    fn free_discarded(&mut self) -> Vec<Action> {
        let running = self.running.then_some(self.active).flatten();
        let used = |id: &MapId| running == Some(*id) || self.grants.iter().any(|g| g.map == *id);
        let (keep, free): (Vec<MapId>, Vec<MapId>) = self.discarded.drain(..).partition(used);
        self.discarded = keep;
        if free.is_empty() {
            return Vec::new();
        }
        for id in &free {
            self.maps.remove(id);
            self.record_freed(*id);
        }
        let mut actions: Vec<Action> = free.into_iter().map(Action::Free).collect();
        actions.extend(self.tick());
        actions
    }

    fn open(&mut self, epoch: Epoch, decided: DecidedMap) -> Vec<Action> {
        if epoch < self.epoch {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if epoch > self.epoch {
            self.epoch = epoch;
            self.grants.clear();
            self.next = None;
            // The map of a new epoch is needed even if it was freed or discarded before.
            self.freed.retain(|id| *id != decided.id);
            self.discarded.retain(|id| *id != decided.id);
            if std::mem::take(&mut self.running) {
                actions.push(Action::Abort(self.step));
            }
        }
        if !self.maps.contains_key(&decided.id) && !self.freed.contains(&decided.id) {
            self.maps.insert(decided.id, Weights::Loading);
            actions.push(Action::Load {
                id: decided.id,
                map: decided.map,
                loads: None,
            });
        }
        actions.push(Action::Send(Peer::Leader, Message::Status(self.status())));
        actions
    }

    fn add_grants(&mut self, epoch: Epoch, grants: &[Grant]) -> Vec<Action> {
        if epoch != self.epoch {
            return Vec::new();
        }
        for grant in grants {
            self.add_grant(grant);
        }
        self.run_next()
    }

    /// Appends the steps that a grant adds; never changes the map of a granted step.
    fn add_grant(&mut self, grant: &Grant) {
        let end = match self.grants.last() {
            Some(last) => last.end,
            None => self.next.unwrap_or(grant.first),
        };
        if grant.end <= end || grant.first > end {
            return;
        }
        self.next.get_or_insert(grant.first);
        self.grants.push(Grant {
            first: end,
            ..*grant
        });
    }

    fn run_next(&mut self) -> Vec<Action> {
        let Some(step) = self.next.filter(|_| !self.running) else {
            return Vec::new();
        };
        self.grants.retain(|g| g.end > step);
        let Some(grant) = self.grants.first().copied() else {
            return Vec::new();
        };
        if self.maps.get(&grant.map) != Some(&Weights::Ready) {
            return Vec::new();
        }
        self.next = Some(step + 1);
        self.grants.retain(|g| g.end > step + 1);
        self.step = step;
        self.active = Some(grant.map);
        self.running = true;
        vec![Action::Run {
            epoch: self.epoch,
            step,
            map: grant.map,
        }]
    }
}
