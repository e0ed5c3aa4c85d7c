//! Leader of the steps: names the map of each step before it runs.
//!
//! The leader runs beside the agent of one fixed rank. It grants steps in
//! ranges ahead of the ranks, so no rank waits for it. A new epoch begins when
//! the leader or any rank has restarted: all ranks first close the older
//! epochs, so no two leaders can grant steps that both run. A decided map is
//! granted only when every rank has its weights in place.

use pimentotide_model::{Fence, GroupName, Incarnation};

use super::message::{Action, Epoch, Grant, MapOrder, Message, Peer, RankStatus};
use crate::{Command, DecidedMap, Reply};

/// Steps granted ahead of the slowest rank.
const WINDOW_STEPS: u64 = 16;

/// Life cycle of a leader.
#[derive(Clone, Debug, PartialEq)]
enum Life {
    /// Waits for its term.
    Starting,
    /// Waits for all ranks to close older epochs.
    Opening,
    /// Grants steps.
    Granting { end: u64 },
}

/// Leader of the steps of one group.
#[derive(Clone, Debug)]
pub struct Leader {
    group: GroupName,
    incarnation: Incarnation,
    life: Life,
    epoch: Epoch,
    floor: Fence,
    decided: DecidedMap,
    current: DecidedMap,
    grants: Vec<Grant>,
    ranks: Vec<Option<RankStatus>>,
}

impl Leader {
    /// Starts a leader of `ranks` ranks that has no term yet.
    pub fn new(group: GroupName, incarnation: Incarnation, ranks: u16) -> Self {
        Self {
            group,
            incarnation,
            life: Life::Starting,
            epoch: Epoch::default(),
            floor: Fence(0),
            decided: DecidedMap::default(),
            current: DecidedMap::default(),
            grants: Vec::new(),
            ranks: vec![None; usize::from(ranks)],
        }
    }

    /// Sends again what has not been answered; called on a period.
    pub fn tick(&mut self) -> Vec<Action> {
        match self.life {
            Life::Starting => vec![self.ask_term()],
            Life::Opening => self.send_open(),
            Life::Granting { .. } => self.send_grants(),
        }
    }

    /// Takes in the reply of the log to a command of this leader.
    pub fn replied(&mut self, reply: Reply) -> Vec<Action> {
        let Reply::Leading { fence, decided } = reply else {
            return Vec::new();
        };
        if self.life != Life::Starting {
            return Vec::new();
        }
        self.epoch = Epoch {
            term: fence,
            round: 0,
        };
        self.learn(decided);
        self.open_round()
    }

    /// Takes in a message.
    pub fn receive(&mut self, message: Message) -> Vec<Action> {
        match message {
            Message::Status(status) => self.status(&status),
            Message::Order {
                fence,
                order: MapOrder::Decided(decided),
            } if fence >= self.floor => {
                self.floor = fence;
                self.learn(decided);
                self.advance()
            }
            _ => Vec::new(),
        }
    }

    fn ask_term(&self) -> Action {
        Action::Submit(Command::Lead {
            group: self.group.clone(),
            incarnation: self.incarnation,
        })
    }

    fn learn(&mut self, decided: DecidedMap) {
        if decided.id > self.decided.id {
            self.decided = decided;
        }
    }

    fn open_round(&mut self) -> Vec<Action> {
        self.epoch.round += 1;
        self.life = Life::Opening;
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
        if index >= self.ranks.len() || self.life == Life::Starting {
            return Vec::new();
        }
        let known = self.ranks[index].replace(status.clone());
        let Some(known) = known else {
            return self.advance();
        };
        if known.incarnation > status.incarnation {
            self.ranks[index] = Some(known);
            return Vec::new();
        }
        let restarted = known.incarnation < status.incarnation;
        let stale = (known.epoch, known.step) > (status.epoch, status.step);
        if !restarted && stale {
            self.ranks[index] = Some(known);
            return Vec::new();
        }
        let lost = restarted && known.epoch == self.epoch;
        match self.life {
            Life::Granting { .. } if restarted => self.open_round(),
            Life::Opening if lost => self.open_round(),
            _ => self.advance(),
        }
    }

    fn advance(&mut self) -> Vec<Action> {
        match self.life {
            Life::Starting => Vec::new(),
            Life::Opening => self.begin(),
            Life::Granting { end } => self.extend(end),
        }
    }

    /// Begins to grant once all ranks are in the epoch with the weights in place.
    fn begin(&mut self) -> Vec<Action> {
        if !self.all(|s, leader| s.epoch == leader.epoch && s.ready.contains(&leader.current.id)) {
            return Vec::new();
        }
        let steps = self.ranks.iter().flatten().map(|s| s.step + 1);
        let first = steps.max().unwrap_or(1).max(self.current.step);
        self.life = Life::Granting { end: first };
        self.extend(first)
    }

    /// Grants steps up to the window ahead of the slowest rank.
    fn extend(&mut self, end: u64) -> Vec<Action> {
        let steps = self.ranks.iter().flatten();
        let inside = steps.filter(|s| s.epoch == self.epoch).map(|s| s.step);
        let slowest = inside.min().unwrap_or(0).max(self.first_step(end));
        self.grants.retain(|g| g.end > slowest);
        let goal = slowest + WINDOW_STEPS;
        if goal < end + WINDOW_STEPS / 2 && self.switch_step(end) != Some(end) {
            return Vec::new();
        }
        self.grant(end, goal.max(end + 1));
        self.send_grants()
    }

    fn first_step(&self, end: u64) -> u64 {
        self.grants.first().map_or(end, |g| g.first)
    }

    /// Step from which the decided map can follow the current one.
    fn switch_step(&self, end: u64) -> Option<u64> {
        let newer = self.decided.id > self.current.id;
        let armed = newer && self.all(|s, leader| s.ready.contains(&leader.decided.id));
        armed.then(|| self.decided.step.max(end))
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
        self.life = Life::Granting { end: goal };
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
