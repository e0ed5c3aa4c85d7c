//! Group of engines that carry out orders at once, late, or without an answer.

use std::cell::RefCell;
use std::time::Duration;

use pimentotide_experts::{
    EngineOrder, EngineReport, FencedOrder, Membership, OrderAnswer, Placement, Ranks,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::even_script::{Fate, Script};

/// What engines leave out, to show what the protections are for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lapses {
    /// Passes begin although they are held back.
    pub(crate) hold: bool,
    /// A prepared map stays armable after another one was prepared, and fences are not checked.
    pub(crate) fence: bool,
    /// Orders of an earlier epoch are carried out.
    pub(crate) epoch: bool,
}

/// How orders fare, in parts of a thousand.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trouble {
    /// Carried out, but the answer is lost.
    pub(crate) unanswered: u32,
    /// Not answered and carried out after many passes.
    pub(crate) late: u32,
    /// Lost.
    pub(crate) lost: u32,
}

#[derive(Clone, Debug, Default)]
struct Rank {
    map: (u64, Placement),
    prepared: Vec<(u64, Placement)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    highest: u64,
    fence: u64,
    sequence: u64,
}

struct State {
    ranks: Vec<Rank>,
    step: u64,
    late: Vec<(u64, usize, FencedOrder)>,
    rng: ChaCha8Rng,
    trouble: Trouble,
    lapses: Lapses,
    /// Orders after which the coordinator stands still.
    life: Option<u32>,
    /// Whether orders take a random number of turns to arrive.
    slow: bool,
    epoch: u64,
    first: Placement,
    script: Option<Script>,
    broken: Option<String>,
    most_held: u64,
    waited: u64,
}

/// Group of engines.
pub(crate) struct Group {
    state: RefCell<State>,
}

const FIRST_EPOCH: u64 = 1;

impl Group {
    pub(crate) fn new(
        ranks: usize,
        old: &Placement,
        seed: u64,
        trouble: Trouble,
        lapses: Lapses,
    ) -> Self {
        let rank = Rank {
            map: (0, old.clone()),
            ..Rank::default()
        };
        Self {
            state: RefCell::new(State {
                ranks: vec![rank; ranks],
                step: 10,
                late: Vec::new(),
                rng: ChaCha8Rng::seed_from_u64(seed),
                trouble,
                lapses,
                life: None,
                slow: false,
                epoch: FIRST_EPOCH,
                first: old.clone(),
                script: None,
                broken: None,
                most_held: 0,
                waited: 0,
            }),
        }
    }

    /// What becomes of orders is taken from a script instead of being drawn.
    pub(crate) fn follow(&self, script: Script) {
        self.state.borrow_mut().script = Some(script);
    }

    /// Ends the script, after which orders fare well.
    pub(crate) fn take_script(&self) -> Script {
        self.state.borrow_mut().script.take().unwrap_or_default()
    }

    /// Number of times that the group was formed.
    pub(crate) fn epoch(&self) -> u64 {
        self.state.borrow().epoch
    }

    /// The coordinator stands still after so many orders.
    pub(crate) fn set_life(&self, orders: Option<u32>) {
        self.state.borrow_mut().life = orders;
    }

    /// Orders and reports take turns, so that two coordinators interleave.
    pub(crate) fn set_slow(&self) {
        self.state.borrow_mut().slow = true;
    }

    /// Waits for a random number of turns.
    async fn travel(&self) {
        let turns = {
            let mut state = self.state.borrow_mut();
            if state.slow {
                state.rng.random_range(0..6)
            } else {
                0
            }
        };
        for _ in 0..turns {
            let mut waited = false;
            std::future::poll_fn(|_| {
                if std::mem::replace(&mut waited, true) {
                    std::task::Poll::Ready(())
                } else {
                    std::task::Poll::Pending
                }
            })
            .await;
        }
    }

    /// Lets `passes` passes begin if none is held back.
    pub(crate) fn run(&self, passes: u64) {
        let mut state = self.state.borrow_mut();
        for _ in 0..passes {
            state.advance();
        }
    }

    /// Two ranks that began a pass under different maps.
    pub(crate) fn broken(&self) -> Option<String> {
        self.state.borrow().broken.clone()
    }

    /// Version in use, if all ranks agree.
    pub(crate) fn version(&self) -> Option<u64> {
        let state = self.state.borrow();
        let first = state.ranks[0].map.0;
        state
            .ranks
            .iter()
            .all(|r| r.map.0 == first)
            .then_some(first)
    }

    /// Whether a pass is held back.
    pub(crate) fn is_held(&self) -> bool {
        self.state.borrow().ranks.iter().any(|r| r.held.is_some())
    }

    /// Pass that rank 0 holds back.
    pub(crate) fn held(&self) -> Option<u64> {
        self.state.borrow().ranks[0].held
    }

    /// Highest version that any rank has had.
    pub(crate) fn highest(&self) -> u64 {
        self.state
            .borrow()
            .ranks
            .iter()
            .map(|r| r.highest)
            .max()
            .unwrap_or(0)
    }

    /// Most times in a row that a pass could not begin.
    pub(crate) fn most_held(&self) -> u64 {
        self.state.borrow().most_held
    }
}

impl State {
    fn advance(&mut self) {
        let now = self.step;
        let due: Vec<(usize, FencedOrder)> = {
            let (due, rest) = std::mem::take(&mut self.late)
                .into_iter()
                .partition(|(at, _, _)| *at <= now);
            self.late = rest;
            let due: Vec<(u64, usize, FencedOrder)> = due;
            due.into_iter()
                .map(|(_, rank, order)| (rank, order))
                .collect()
        };
        for (rank, order) in due {
            self.carry_out(rank, &order);
        }
        let next = self.step + 1;
        let held = self.ranks.iter().any(|r| r.held.is_some_and(|h| h <= next));
        if held && !self.lapses.hold {
            self.waited += 1;
            self.most_held = self.most_held.max(self.waited);
            return;
        }
        self.waited = 0;
        self.step = next;
        for rank in &mut self.ranks {
            if let Some((version, step)) = rank.armed
                && step <= next
            {
                let map = rank.prepared.iter().find(|(v, _)| *v == version).cloned();
                rank.map = map.unwrap_or_default();
                rank.armed = None;
            }
        }
        let first = &self.ranks[0].map;
        if let Some(other) = self.ranks.iter().position(|r| r.map != *first) {
            let maps = (first.0, self.ranks[other].map.0);
            self.broken
                .get_or_insert(format!("pass {next}: rank 0 and {other} use {maps:?}"));
        }
    }

    fn carry_out(&mut self, rank: usize, fenced: &FencedOrder) -> OrderAnswer {
        let (step, lapses) = (self.step, self.lapses);
        let rank = &mut self.ranks[rank];
        if fenced.epoch != self.epoch && !lapses.epoch {
            return OrderAnswer::Refused;
        }
        if fenced.fence < rank.fence && !lapses.fence {
            return OrderAnswer::Fenced;
        }
        rank.fence = rank.fence.max(fenced.fence);
        let fits = match &fenced.order {
            EngineOrder::Prepare { version, experts } => {
                if rank.prepared.last() == Some(&(*version, experts.clone())) {
                    return OrderAnswer::Accepted;
                }
                let fits = *version > rank.highest && (rank.armed.is_none() || lapses.fence);
                if fits {
                    rank.highest = *version;
                    if !lapses.fence {
                        rank.prepared.clear();
                    }
                    rank.prepared.push((*version, experts.clone()));
                }
                fits
            }
            EngineOrder::Arm { version, step: at } => {
                if rank.armed == Some((*version, *at)) {
                    return OrderAnswer::Accepted;
                }
                let fits = rank.prepared.iter().any(|(v, _)| v == version) && *at > step;
                if fits {
                    rank.armed = Some((*version, *at));
                }
                fits
            }
            EngineOrder::Disarm { version } => {
                if rank.map.0 == *version {
                    return OrderAnswer::Refused;
                }
                if rank.armed.is_some_and(|(v, _)| v == *version) {
                    rank.armed = None;
                }
                true
            }
            EngineOrder::Hold { step: at } => {
                let fits = *at > step;
                if fits {
                    rank.held = Some(*at);
                }
                fits
            }
            EngineOrder::Go { step: at } => {
                if rank.held == Some(*at) {
                    rank.held = None;
                }
                true
            }
        };
        rank.sequence += u64::from(fits);
        if fits {
            OrderAnswer::Accepted
        } else {
            OrderAnswer::Refused
        }
    }

    fn report(&self, rank: usize) -> EngineReport {
        let state = &self.ranks[rank];
        EngineReport {
            membership: Some(Membership {
                group: "g".to_owned(),
                epoch: self.epoch,
                rank: rank as u16,
                open: true,
            }),
            size: self.ranks.len() as u16,
            born: 0,
            running: 1,
            waiting: 0,
            used: 0,
            memory: 1,
            pace: 1.0,
            sequence: state.sequence,
            step: self.step,
            map: state.map.0,
            prepared: state.prepared.last().map(|(v, _)| *v),
            armed: state.armed.map(|(v, _)| v),
            held: state.held,
        }
    }

    /// A rank starts anew, and the group is formed anew with the first map.
    fn crash(&mut self, rank: usize) {
        self.epoch += 1;
        let first = self.first.clone();
        for (number, rank_state) in self.ranks.iter_mut().enumerate() {
            rank_state.map = (0, first.clone());
            rank_state.prepared.clear();
            rank_state.armed = None;
            rank_state.held = None;
            if number == rank {
                rank_state.highest = 0;
                rank_state.fence = 0;
                rank_state.sequence = 0;
            }
        }
    }

    /// Lets an order fare as a script has it; outer none if the coordinator stands still.
    fn act(&mut self, fate: Fate, rank: usize, order: FencedOrder) -> Option<Option<OrderAnswer>> {
        let late = |state: &mut Self, passes: u64, order: FencedOrder| {
            let at = state.step + passes;
            state.late.push((at, rank, order));
        };
        Some(match fate {
            Fate::Fine => Some(self.carry_out(rank, &order)),
            Fate::Unanswered => {
                self.carry_out(rank, &order);
                None
            }
            Fate::Lost => None,
            Fate::Late(passes) => {
                late(self, passes, order);
                None
            }
            Fate::Twice(passes) => {
                late(self, passes, order.clone());
                Some(self.carry_out(rank, &order))
            }
            Fate::AfterPasses => {
                for _ in 0..4 {
                    self.advance();
                }
                Some(self.carry_out(rank, &order))
            }
            Fate::CrashBefore => {
                self.crash(rank);
                None
            }
            Fate::CrashAfter => {
                self.carry_out(rank, &order);
                self.crash(rank);
                None
            }
            Fate::StandStill => return None,
        })
    }

    /// Carries an order out, or not, as the trouble has it.
    fn order(&mut self, rank: usize, order: FencedOrder) -> Option<OrderAnswer> {
        if self.rng.random_range(0..6) == 0 {
            self.advance();
        }
        let draw = self.rng.random_range(0..1_000_u32);
        let Trouble {
            unanswered,
            late,
            lost,
        } = self.trouble;
        if draw < unanswered {
            self.carry_out(rank, &order);
            return None;
        }
        if draw < unanswered + late {
            let at = self.step + self.rng.random_range(1..40);
            self.late.push((at, rank, order));
            return None;
        }
        if draw < unanswered + late + lost {
            return None;
        }
        Some(self.carry_out(rank, &order))
    }
}

impl Ranks for Group {
    fn size(&self) -> usize {
        self.state.borrow().ranks.len()
    }

    async fn report(&self, rank: usize) -> Option<EngineReport> {
        let report = self.state.borrow().report(rank);
        self.travel().await;
        Some(report)
    }

    async fn order(&self, rank: usize, order: FencedOrder) -> Option<OrderAnswer> {
        let scripted = {
            let mut state = self.state.borrow_mut();
            let fate = state.script.as_mut().map(Script::next);
            fate.map(|fate| state.act(fate, rank, order.clone()))
        };
        match scripted {
            Some(Some(answer)) => return answer,
            Some(None) => std::future::pending().await,
            None => {}
        }
        let dead = {
            let mut state = self.state.borrow_mut();
            match &mut state.life {
                Some(0) => true,
                Some(left) => {
                    *left -= 1;
                    false
                }
                None => false,
            }
        };
        if dead {
            std::future::pending::<()>().await;
        }
        self.travel().await;
        let answer = self.state.borrow_mut().order(rank, order);
        self.travel().await;
        answer
    }

    async fn pause(&self, _length: Duration) {
        self.state.borrow_mut().advance();
    }
}
