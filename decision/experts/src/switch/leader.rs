//! Leader of the steps: assigns a map to each step before it runs.
//!
//! The leader runs next to the agent of one fixed rank. It grants ranges of
//! steps ahead of the ranks, so that no rank waits for it. A new epoch begins
//! when the leader or any rank restarts: all ranks close the older epochs first,
//! so that steps granted by two leaders never both run. A decided map is granted
//! only once its weights are loaded on every rank.

use pimentotide_model::{Fence, GroupName, Incarnation};

use super::message::{Action, Epoch, Grant, MapOrder, Message, Peer, RankStatus};
use crate::{Command, DecidedMap, Reply};

/// Number of steps granted ahead of the slowest rank.
const GRANT_WINDOW_STEPS: u64 = 16;

/// State of a leader.
#[derive(Clone, Debug, PartialEq)]
enum State {
    /// Waits for a term from the log.
    Starting,
    /// Waits for all ranks to enter the epoch and load the current map.
    Opening,
    /// Has granted the steps before `end`.
    Granting { end: u64 },
}

/// Leader of the steps of one group.
#[derive(Clone, Debug)]
pub struct Leader {
    group: GroupName,
    incarnation: Incarnation,
    state: State,
    epoch: Epoch,
    floor: Fence,
    /// Latest decided map.
    decided: DecidedMap,
    /// Map of the newest grants, or of the epoch that is being opened.
    current: DecidedMap,
    grants: Vec<Grant>,
    ranks: Vec<Option<RankStatus>>,
}

impl Leader {
    /// Creates a leader of `ranks` ranks that has no term yet.
    pub fn new(group: GroupName, incarnation: Incarnation, ranks: u16) -> Self {
        Self {
            group,
            incarnation,
            state: State::Starting,
            epoch: Epoch::default(),
            floor: Fence(0),
            decided: DecidedMap::default(),
            current: DecidedMap::default(),
            grants: Vec::new(),
            ranks: vec![None; usize::from(ranks)],
        }
    }

    /// Resends the current request or state; called periodically.
    pub fn tick(&mut self) -> Vec<Action> {
        match self.state {
            State::Starting => vec![self.request_term()],
            State::Opening => self.send_open(),
            State::Granting { .. } => self.send_grants(),
        }
    }

    /// Receives the reply of the log to a command of this leader.
    pub fn replied(&mut self, reply: Reply) -> Vec<Action> {
        let Reply::Leading { fence, decided } = reply else {
            return Vec::new();
        };
        if self.state != State::Starting {
            return Vec::new();
        }
        self.epoch = Epoch {
            term: fence,
            round: 0,
        };
        self.update_decided(decided);
        self.open_round()
    }

    /// Receives a message; orders below the highest fencing token are ignored.
    pub fn receive(&mut self, message: Message) -> Vec<Action> {
        match message {
            Message::Status(status) => self.status(&status),
            Message::Order {
                fence,
                order: MapOrder::Decided(decided),
            } if fence >= self.floor => {
                self.floor = fence;
                self.update_decided(decided);
                self.advance()
            }
            _ => Vec::new(),
        }
    }

    fn request_term(&self) -> Action {
        Action::Submit(Command::Lead {
            group: self.group.clone(),
            incarnation: self.incarnation,
        })
    }

    fn update_decided(&mut self, decided: DecidedMap) {
        if decided.id > self.decided.id {
            self.decided = decided;
        }
    }

    fn open_round(&mut self) -> Vec<Action> {
        self.epoch.round += 1;
        self.state = State::Opening;
        self.current = self.decided.clone();
        self.grants.clear();
        self.send_open()
    }

    fn send_open(&self) -> Vec<Action> {
        let open = Message::Open {
            epoch: self.epoch,
            decided: self.current.clone(),
        };
        let waiting = self.ranks.iter().enumerate().filter(|(_, s)| {
            s.as_ref()
                .is_none_or(|s| s.epoch != self.epoch || !s.ready.contains(&self.current.id))
        });
        waiting
            .map(|(rank, _)| Action::Send(Peer::Rank(rank as u16), open.clone()))
            .collect()
    }

    fn send_grants(&self) -> Vec<Action> {
        let grants = Message::Grants {
            epoch: self.epoch,
            grants: self.grants.clone(),
        };
        (0..self.ranks.len() as u16)
            .map(|rank| Action::Send(Peer::Rank(rank), grants.clone()))
            .collect()
    }

    fn status(&mut self, status: &RankStatus) -> Vec<Action> {
        let index = usize::from(status.rank);
        if index >= self.ranks.len() || self.state == State::Starting {
            return Vec::new();
        }
        let previous = self.ranks[index].replace(status.clone());
        let Some(previous) = previous else {
            return self.advance();
        };
        if previous.incarnation > status.incarnation {
            self.ranks[index] = Some(previous);
            return Vec::new();
        }
        let restarted = previous.incarnation < status.incarnation;
        let stale = (previous.epoch, previous.step) > (status.epoch, status.step);
        if !restarted && stale {
            self.ranks[index] = Some(previous);
            return Vec::new();
        }
        let left_epoch = restarted && previous.epoch == self.epoch;
        match self.state {
            State::Granting { .. } if restarted => self.open_round(),
            State::Opening if left_epoch => self.open_round(),
            _ => self.advance(),
        }
    }

    fn advance(&mut self) -> Vec<Action> {
        match self.state {
            State::Starting => Vec::new(),
            State::Opening => self.start_granting(),
            State::Granting { end } => self.extend(end),
        }
    }

    /// Starts to grant once all ranks are in the epoch and have the weights loaded.
    fn start_granting(&mut self) -> Vec<Action> {
        if !self.all(|s, leader| s.epoch == leader.epoch && s.ready.contains(&leader.current.id)) {
            return Vec::new();
        }
        let steps = self.ranks.iter().flatten().map(|s| s.step + 1);
        let first = steps.max().unwrap_or(1).max(self.current.step);
        self.state = State::Granting { end: first };
        self.extend(first)
    }

    /// Grants steps up to the window ahead of the slowest rank.
    fn extend(&mut self, end: u64) -> Vec<Action> {
        let steps = self.ranks.iter().flatten();
        let current = steps.filter(|s| s.epoch == self.epoch).map(|s| s.step);
        let slowest = current.min().unwrap_or(0).max(self.first_step(end));
        self.grants.retain(|g| g.end > slowest);
        let goal = slowest + GRANT_WINDOW_STEPS;
        if goal < end + GRANT_WINDOW_STEPS / 2 && self.switch_step(end) != Some(end) {
            return Vec::new();
        }
        self.grant(end, goal.max(end + 1));
        self.send_grants()
    }

    fn first_step(&self, end: u64) -> u64 {
        self.grants.first().map_or(end, |g| g.first)
    }

    /// First step that can run under the decided map; `None` until all ranks have its weights.
    fn switch_step(&self, end: u64) -> Option<u64> {
        let newer = self.decided.id > self.current.id;
        let ready = newer && self.all(|s, leader| s.ready.contains(&leader.decided.id));
        ready.then(|| self.decided.step.max(end))
    }

    fn grant(&mut self, first: u64, goal: u64) {
        let mut first = first;
        if let Some(step) = self.switch_step(first)
            && step < goal
        {
            self.push(first, step);
            self.current = self.decided.clone();
            first = step;
        }
        self.push(first, goal);
        self.state = State::Granting { end: goal };
    }

    fn push(&mut self, first: u64, end: u64) {
        if first < end {
            self.grants.push(Grant {
                first,
                end,
                map: self.current.id,
            });
        }
    }

    fn all<F>(&self, test: F) -> bool
    where
        F: Fn(&RankStatus, &Self) -> bool,
    {
        self.ranks
            .iter()
            .all(|s| s.as_ref().is_some_and(|s| test(s, self)))
    }
}
