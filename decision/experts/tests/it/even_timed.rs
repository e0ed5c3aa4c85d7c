//! Simulated group whose messages take time, in virtual time.
//!
//! The durations are assumptions for an agent with 0.15 core, not measurements.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use futures_util::future::join_all;
use pimentotide_experts::{
    EngineReport, FencedOrder, LOCAL_ORDER_TIMEOUTS, OrderAnswer, Placement, Ranks, ask_again,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::even_group::{FaultRates, Group, SkippedChecks};
use crate::virtual_time::VirtualClock;

/// Ranks of the simulated group.
pub(crate) const RANKS: usize = 63;
/// Time of a pass under balanced load.
pub(crate) const PASS: Duration = Duration::from_millis(55);
/// Time of a message to the local engine and its answer.
const LOCAL: Duration = Duration::from_millis(2);
/// Time of a message to one remote engine or agent and its answer.
const DIRECT: Duration = Duration::from_millis(5);
/// Time of a relayed message to all ranks and their answers.
const RELAYED: Duration = Duration::from_millis(40);
/// Time that an agent needs for a new connection; it opens one after the other.
const CONNECTION: Duration = Duration::from_millis(12);

const NO_FAULTS: FaultRates = FaultRates {
    unanswered: 0,
    late: 0,
    lost: 0,
};

/// Group, its clock, and the faults of its processes.
pub(crate) struct TimedGroup {
    pub(crate) clock: VirtualClock,
    pub(crate) engines: Group,
    /// Orders that the coordinator still sends; `None` for any number.
    pub(crate) orders_left: Cell<Option<u32>>,
    /// When the coordinator was killed.
    pub(crate) killed_at: Cell<Option<Duration>>,
    /// Rank whose engine leaves one in three orders unanswered and applies them late.
    pub(crate) unreliable: Cell<Option<usize>>,
    rng: RefCell<ChaCha8Rng>,
    /// Unanswered orders, by the time at which they are applied.
    late: RefCell<Vec<(Duration, usize, FencedOrder)>>,
    /// Time of a pass.
    pub(crate) pass: Cell<Duration>,
    /// Time for which passes could not begin.
    pub(crate) waited: Cell<Duration>,
}

impl TimedGroup {
    pub(crate) fn new(old: &Placement, seed: u64) -> Self {
        Self {
            clock: VirtualClock::default(),
            engines: Group::new(RANKS, old, 0, NO_FAULTS, SkippedChecks::default()),
            orders_left: Cell::default(),
            killed_at: Cell::default(),
            unreliable: Cell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            late: RefCell::default(),
            pass: Cell::new(PASS),
            waited: Cell::default(),
        }
    }

    /// Last pass begun.
    pub(crate) async fn step(&self) -> u64 {
        self.engines.report(0).await.map_or(0, |r| r.step)
    }

    /// Draws whether the engine leaves an order unanswered and applies it late.
    fn leaves_unanswered(&self, rank: usize, order: &FencedOrder) -> bool {
        let mut rng = self.rng.borrow_mut();
        let unanswered = self.unreliable.get() == Some(rank) && rng.random_range(0..3) == 0;
        if unanswered {
            let delay = Duration::from_millis(rng.random_range(2_000..12_000));
            let late = (self.clock.now() + delay, rank, order.clone());
            self.late.borrow_mut().push(late);
        }
        unanswered
    }

    fn apply_late_orders(&self) {
        let now = self.clock.now();
        let late = self.late.take().into_iter();
        let (due, rest) = late.partition(|(at, _, _)| *at <= now);
        self.late.replace(rest);
        let due: Vec<(Duration, usize, FencedOrder)> = due;
        for (_, rank, order) in due {
            self.engines.deliver(rank, &order);
        }
    }

    /// Runs passes: one at a time, the next as soon as none is held.
    pub(crate) async fn run_passes(&self) {
        loop {
            self.clock.sleep(self.pass.get()).await;
            let (start, step) = (self.clock.now(), self.step().await);
            loop {
                self.apply_late_orders();
                self.engines.run(1);
                if self.step().await > step {
                    break;
                }
                self.clock.sleep(Duration::from_millis(1)).await;
            }
            self.waited
                .set(self.waited.get() + (self.clock.now() - start));
        }
    }
}

/// Access of the agent of one rank to the group.
pub(crate) struct TimedRanks<'a> {
    pub(crate) group: &'a TimedGroup,
    pub(crate) origin: usize,
    pub(crate) lead: u64,
    /// End of the last connection that was opened.
    connected: Cell<Duration>,
}

impl<'a> TimedRanks<'a> {
    pub(crate) fn new(group: &'a TimedGroup, origin: usize) -> Self {
        Self {
            group,
            origin,
            lead: 2,
            connected: Cell::default(),
        }
    }

    /// Stops the coordinator for good once its orders are used up.
    async fn spend_order(&self) {
        let Some(left) = self.group.orders_left.get().filter(|_| self.origin == 0) else {
            return;
        };
        if left == 0 {
            let now = self.group.clock.now();
            self.group
                .killed_at
                .set(self.group.killed_at.get().or(Some(now)));
            std::future::pending::<()>().await;
        }
        self.group.orders_left.set(Some(left - 1));
    }

    /// Opens a connection after those that this agent is still opening.
    async fn open_connection(&self) {
        let start = self.connected.get().max(self.group.clock.now());
        self.connected.set(start + CONNECTION);
        self.group.clock.sleep_until(self.connected.get()).await;
    }

    /// Delivers an order once the message has arrived at the instance of the rank.
    async fn deliver(&self, rank: usize, order: &FencedOrder) -> Option<OrderAnswer> {
        self.spend_order().await;
        let attempt = async |timeout| {
            if !self.group.leaves_unanswered(rank, order) {
                return Ok(self.group.engines.deliver(rank, order));
            }
            self.group.clock.sleep(timeout).await;
            Err(())
        };
        ask_again(&LOCAL_ORDER_TIMEOUTS, attempt).await.ok()
    }

    fn distance(&self, rank: usize) -> Duration {
        if rank == self.origin { LOCAL } else { DIRECT }
    }
}

impl Ranks for TimedRanks<'_> {
    fn size(&self) -> usize {
        RANKS
    }

    fn pass_lead(&self) -> u64 {
        self.lead
    }

    async fn report(&self, rank: usize) -> Option<EngineReport> {
        self.group.clock.sleep(self.distance(rank)).await;
        self.group.engines.report(rank).await
    }

    async fn current_report(&self, rank: usize) -> Option<EngineReport> {
        if rank != self.origin {
            self.open_connection().await;
            if rank == 0 {
                return None;
            }
        }
        self.report(rank).await
    }

    async fn current_reports(&self, ranks: &[usize]) -> Vec<Option<EngineReport>> {
        let mut reports = self.reports(ranks).await;
        for (rank, report) in ranks.iter().zip(&mut reports) {
            // Only the agent of a rank has its current report, and that of rank 0 is gone.
            report.take_if(|_| *rank == 0);
        }
        reports
    }

    async fn order(&self, rank: usize, order: FencedOrder) -> Option<OrderAnswer> {
        self.group.clock.sleep(self.distance(rank)).await;
        self.deliver(rank, &order).await
    }

    async fn reports(&self, ranks: &[usize]) -> Vec<Option<EngineReport>> {
        self.group.clock.sleep(RELAYED).await;
        let reports = ranks.iter().map(|rank| self.group.engines.report(*rank));
        join_all(reports).await
    }

    async fn orders(&self, ranks: &[usize], order: &FencedOrder) -> Vec<Option<OrderAnswer>> {
        let time = if ranks.len() > 1 { RELAYED } else { DIRECT };
        self.group.clock.sleep(time).await;
        join_all(ranks.iter().map(|rank| self.deliver(*rank, order))).await
    }

    async fn pause(&self, length: Duration) {
        self.group.clock.sleep(length).await;
    }
}
