//! Simulated group of engines with late, lost or unanswered orders.

use std::cell::RefCell;
use std::time::Duration;

use pimentotide_experts::{
    EngineOrder, EngineReport, FencedOrder, Membership, OrderAnswer, Placement, Ranks,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::even_script::{Delivery, Script};

/// Safety checks that engines skip, to show that each of them is needed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SkippedChecks {
    /// Passes begin although they are held.
    pub(crate) hold: bool,
    /// A prepared map can be armed after another one was prepared, and fencing tokens are ignored.
    pub(crate) fence: bool,
    /// Orders of an earlier epoch are applied.
    pub(crate) epoch: bool,
}

/// Rates of delivery faults, per thousand orders.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultRates {
    /// Applied, but the answer is lost.
    pub(crate) unanswered: u32,
    /// Not answered and applied after 1 to 39 passes.
    pub(crate) late: u32,
    /// Not applied and not answered.
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
    faults: FaultRates,
    skipped: SkippedChecks,
    /// Remaining orders until the coordinator hangs.
    order_limit: Option<u32>,
    /// Rank whose instance freezes, and the number of orders before that.
    freezes: Option<(usize, u32)>,
    /// Rank whose instance is frozen; orders to it wait in `queued`.
    frozen_rank: Option<usize>,
    queued: Vec<FencedOrder>,
    /// Distance from the last pass begun to the pass that is held.
    pass_lead: u64,
    /// Whether orders take a random number of polls to arrive.
    delayed: bool,
    epoch: u64,
    initial: Placement,
    script: Option<Script>,
    violation: Option<String>,
    longest_wait: u64,
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
        faults: FaultRates,
        skipped: SkippedChecks,
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
                faults,
                skipped,
                order_limit: None,
                freezes: None,
                frozen_rank: None,
                queued: Vec::new(),
                pass_lead: 3,
                delayed: false,
                epoch: FIRST_EPOCH,
                initial: old.clone(),
                script: None,
                violation: None,
                longest_wait: 0,
                waited: 0,
            }),
        }
    }

    /// Takes the delivery of orders from a script instead of drawing it at random.
    pub(crate) fn use_script(&self, script: Script) {
        self.state.borrow_mut().script = Some(script);
    }

    /// Ends the script and returns it.
    pub(crate) fn take_script(&self) -> Script {
        self.state.borrow_mut().script.take().unwrap_or_default()
    }

    /// Number of times that the group has been formed.
    pub(crate) fn epoch(&self) -> u64 {
        self.state.borrow().epoch
    }

    /// Hangs the coordinator after this number of orders; never for `None`.
    pub(crate) fn set_order_limit(&self, orders: Option<u32>) {
        self.state.borrow_mut().order_limit = orders;
    }

    /// Freezes the instance of a rank after this number of orders to all ranks.
    pub(crate) fn freeze_rank_after(&self, rank: usize, orders: u32) {
        self.state.borrow_mut().freezes = Some((rank, orders));
    }

    /// Resumes the frozen instance, which handles the orders that have arrived meanwhile.
    pub(crate) fn resume_rank(&self) {
        let mut state = self.state.borrow_mut();
        let Some(rank) = state.frozen_rank.take() else {
            return;
        };
        for order in std::mem::take(&mut state.queued) {
            state.apply(rank, &order);
        }
    }

    /// Whether the instance of a rank is frozen.
    pub(crate) fn is_frozen(&self, rank: usize) -> bool {
        self.state.borrow().frozen_rank == Some(rank)
    }

    fn queue_if_frozen(&self, rank: usize, order: &FencedOrder) -> bool {
        {
            let mut state = self.state.borrow_mut();
            match &mut state.freezes {
                Some((rank, 0)) => {
                    state.frozen_rank = Some(*rank);
                    state.freezes = None;
                }
                Some((_, orders)) => *orders -= 1,
                None => {}
            }
        }
        let frozen = self.is_frozen(rank);
        if frozen {
            self.state.borrow_mut().queued.push(order.clone());
        }
        frozen
    }

    /// Delivers an order of a process that does not hang.
    pub(crate) fn deliver(&self, rank: usize, order: &FencedOrder) -> OrderAnswer {
        self.state.borrow_mut().apply(rank, order)
    }

    /// Sets the distance from the last pass begun to the pass that is held.
    pub(crate) fn set_pass_lead(&self, passes: u64) {
        self.state.borrow_mut().pass_lead = passes;
    }

    /// Delays orders and reports, so that two coordinators interleave.
    pub(crate) fn delay_messages(&self) {
        self.state.borrow_mut().delayed = true;
    }

    /// Waits until the coordinator may send orders again.
    async fn resumed(&self) {
        std::future::poll_fn(|_| match self.state.borrow().order_limit {
            None => std::task::Poll::Ready(()),
            Some(_) => std::task::Poll::Pending,
        })
        .await;
    }

    /// Versions that the ranks are armed for.
    pub(crate) fn armed(&self) -> Vec<Option<u64>> {
        let state = self.state.borrow();
        state
            .ranks
            .iter()
            .map(|r| r.armed.map(|(v, _)| v))
            .collect()
    }

    /// Waits for a random number of polls if messages are delayed.
    async fn delay(&self) {
        let turns = {
            let mut state = self.state.borrow_mut();
            if state.delayed {
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

    /// Begins up to `passes` passes, as far as none is held.
    pub(crate) fn run(&self, passes: u64) {
        let mut state = self.state.borrow_mut();
        for _ in 0..passes {
            state.advance();
        }
    }

    /// First pass that two ranks began under different maps, if any.
    pub(crate) fn violation(&self) -> Option<String> {
        self.state.borrow().violation.clone()
    }

    /// Version in use; `None` if the ranks use different ones.
    pub(crate) fn version(&self) -> Option<u64> {
        let state = self.state.borrow();
        let first = state.ranks[0].map.0;
        state
            .ranks
            .iter()
            .all(|r| r.map.0 == first)
            .then_some(first)
    }

    /// Whether any rank holds a pass.
    pub(crate) fn is_held(&self) -> bool {
        self.state.borrow().ranks.iter().any(|r| r.held.is_some())
    }

    /// Pass that is held.
    pub(crate) fn held(&self) -> Option<u64> {
        self.state.borrow().ranks.iter().find_map(|r| r.held)
    }

    /// Highest version that any rank has prepared.
    pub(crate) fn highest(&self) -> u64 {
        self.state
            .borrow()
            .ranks
            .iter()
            .map(|r| r.highest)
            .max()
            .unwrap_or(0)
    }

    /// Longest run of consecutive attempts at which a pass could not begin.
    pub(crate) fn longest_wait(&self) -> u64 {
        self.state.borrow().longest_wait
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
            self.apply(rank, &order);
        }
        let next = self.step + 1;
        let held = self.ranks.iter().any(|r| r.held.is_some_and(|h| h <= next));
        if held && !self.skipped.hold {
            self.waited += 1;
            self.longest_wait = self.longest_wait.max(self.waited);
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
            self.violation
                .get_or_insert(format!("pass {next}: rank 0 and {other} use {maps:?}"));
        }
    }

    fn apply(&mut self, rank: usize, fenced: &FencedOrder) -> OrderAnswer {
        let (step, skipped) = (self.step, self.skipped);
        let rank = &mut self.ranks[rank];
        if fenced.epoch != self.epoch && !skipped.epoch {
            return OrderAnswer::Refused;
        }
        if fenced.fence < rank.fence && !skipped.fence {
            return OrderAnswer::Fenced;
        }
        rank.fence = rank.fence.max(fenced.fence);
        let fits = match &fenced.order {
            EngineOrder::Prepare { version, experts } => {
                if rank.prepared.last() == Some(&(*version, experts.clone())) {
                    return OrderAnswer::Accepted;
                }
                let fits = *version > rank.highest && (rank.armed.is_none() || skipped.fence);
                if fits {
                    rank.highest = *version;
                    if !skipped.fence {
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

    /// Restarts a rank, and forms the group again with the initial map.
    fn crash(&mut self, rank: usize) {
        self.epoch += 1;
        let first = self.initial.clone();
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

    /// Delivers an order as a script says; the outer `None` means that the coordinator hangs.
    fn deliver_scripted(
        &mut self,
        delivery: Delivery,
        rank: usize,
        order: FencedOrder,
    ) -> Option<Option<OrderAnswer>> {
        let late = |state: &mut Self, passes: u64, order: FencedOrder| {
            let at = state.step + passes;
            state.late.push((at, rank, order));
        };
        Some(match delivery {
            Delivery::Normal => Some(self.apply(rank, &order)),
            Delivery::Unanswered => {
                self.apply(rank, &order);
                None
            }
            Delivery::Lost => None,
            Delivery::Late(passes) => {
                late(self, passes, order);
                None
            }
            Delivery::Twice(passes) => {
                late(self, passes, order.clone());
                Some(self.apply(rank, &order))
            }
            Delivery::AfterPasses => {
                for _ in 0..4 {
                    self.advance();
                }
                Some(self.apply(rank, &order))
            }
            Delivery::CrashBefore => {
                self.crash(rank);
                None
            }
            Delivery::CrashAfter => {
                self.apply(rank, &order);
                self.crash(rank);
                None
            }
            Delivery::CoordinatorHangs => return None,
        })
    }

    /// Delivers an order with the random faults of the group.
    fn order(&mut self, rank: usize, order: FencedOrder) -> Option<OrderAnswer> {
        if self.rng.random_range(0..6) == 0 {
            self.advance();
        }
        let draw = self.rng.random_range(0..1_000_u32);
        let FaultRates {
            unanswered,
            late,
            lost,
        } = self.faults;
        if draw < unanswered {
            self.apply(rank, &order);
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
        Some(self.apply(rank, &order))
    }
}

impl Ranks for Group {
    fn size(&self) -> usize {
        self.state.borrow().ranks.len()
    }

    fn pass_lead(&self) -> u64 {
        self.state.borrow().pass_lead
    }

    async fn report(&self, rank: usize) -> Option<EngineReport> {
        let report = self.state.borrow().report(rank);
        self.delay().await;
        Some(report)
    }

    async fn current_report(&self, rank: usize) -> Option<EngineReport> {
        self.report(rank).await
    }

    async fn order(&self, rank: usize, order: FencedOrder) -> Option<OrderAnswer> {
        if self.queue_if_frozen(rank, &order) {
            self.resumed().await;
            return None;
        }
        let scripted = {
            let mut state = self.state.borrow_mut();
            let delivery = state.script.as_mut().map(Script::next);
            delivery.map(|delivery| state.deliver_scripted(delivery, rank, order.clone()))
        };
        match scripted {
            Some(Some(answer)) => return answer,
            Some(None) => std::future::pending().await,
            None => {}
        }
        let hangs = {
            let mut state = self.state.borrow_mut();
            match &mut state.order_limit {
                Some(0) => true,
                Some(left) => {
                    *left -= 1;
                    false
                }
                None => false,
            }
        };
        if hangs {
            self.resumed().await;
        }
        self.delay().await;
        let answer = self.state.borrow_mut().order(rank, order);
        self.delay().await;
        answer
    }

    async fn pause(&self, _length: Duration) {
        self.state.borrow_mut().advance();
    }
}
