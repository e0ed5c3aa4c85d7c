//! Admission gate of one upstream, the authority on how much runs there.
//!
//! A place is free when the allowance exceeds the requests running plus the
//! credits out on lease. A request that arrives without a credit takes a free
//! place; when there is none it is refused with a true "not run". Entries with
//! queued requests state their demand, and each freed place is granted to the
//! best demand as a leased credit. A credit that lapses returns its place.
//!
//! Work of an earlier incarnation counts until it completes, because a request
//! admitted just before a restart may reach the new process.

mod credit;
mod policy;
mod share;
mod warmup;

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{
    AdminState, ErrorKind, Incarnation, InstanceName, LeaseExpiryPolicy, LoadReport, Priority,
    RequestId, Revision, ServiceName, Time, WorkspaceName,
};
use serde::{Deserialize, Serialize};

use credit::Credits;
pub use credit::{CreditId, Demand, EntryDemand, Grant};
pub(crate) use policy::serves;
pub use policy::{GatePolicy, ServiceLimit};
use share::Shares;
pub use warmup::{HealthSignal, Warmup};

/// Weight of the latest sample in smoothed times.
const SMOOTHING: f64 = 0.2;
/// The allowance is in use when one part in this many is.
const FULL_PART: u32 = 2;
/// First tokens that have to be overdue at once to count as a sign.
const OVERDUE_COUNT: usize = 2;

/// What a gate knows of its upstream when it opens.
#[derive(Clone, Debug, PartialEq)]
pub struct GateSettings {
    /// Start of the upstream's process.
    pub incarnation: Incarnation,
    /// Most requests at once when warm.
    pub capacity: u32,
    /// Policy in force.
    pub policy: GatePolicy,
}

/// What an entry says of a request that it wants to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Admission {
    /// Entry that asks.
    pub entry: InstanceName,
    /// Request to run.
    pub request: RequestId,
    /// Service that is asked.
    pub service: ServiceName,
    /// Workspace on whose behalf it runs.
    pub workspace: WorkspaceName,
    /// Priority of the request.
    pub priority: Priority,
    /// Time left until its deadline.
    pub remaining: Duration,
    /// Configuration that the entry has in force.
    pub revision: Revision,
    /// Credit that the entry wants to use.
    pub credit: Option<CreditId>,
}

/// Right to run one request; given back by [`Gate::complete`].
#[derive(Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{id}")]
#[must_use = "a permit holds its place until it is completed"]
pub struct Permit {
    id: u64,
    incarnation: Incarnation,
}

impl Permit {
    /// Start of the upstream that admitted the request.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Gives the permit up.
    fn into_parts(self) -> (u64, Incarnation) {
        (self.id, self.incarnation)
    }
}

/// Refusal of a request that did not run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// Load at the moment of the refusal.
    pub report: LoadReport,
}

/// How the work under a permit ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Answered in full.
    Good,
    /// Cancelled by the caller or the entry.
    Cancelled,
    /// Refused by the engine because it is overloaded.
    Overloaded,
    /// Refused by the engine because it has not warmed up.
    Cold,
    /// Failed while running.
    Failed,
}

/// A completion as the agent saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completed {
    /// How it ended.
    pub outcome: Outcome,
    /// Time from admission to the first token; none if there was none.
    pub first_token: Option<Duration>,
    /// Mean time between tokens; none for plain services.
    pub token_gap: Option<Duration>,
}

/// One request that runs.
#[derive(Clone, Debug)]
struct Running {
    service: ServiceName,
    since: Time,
    started: bool,
}

/// Admission gate of one upstream.
#[derive(Debug)]
pub struct Gate {
    incarnation: Incarnation,
    policy: GatePolicy,
    material: Revision,
    warmup: Warmup,
    running: BTreeMap<u64, Running>,
    busy: BTreeMap<ServiceName, u32>,
    credits: Credits,
    shares: Shares,
    current: Time,
    leaving: bool,
    waiting: u32,
    next: u64,
    sequence: u64,
    first_token: f64,
    token_gap: f64,
}

impl Gate {
    /// Opens a gate that refuses until its currency lease is first renewed.
    pub fn open(settings: GateSettings, now: Time) -> Self {
        let start = settings.policy.slow_start.clone();
        let limit = settings.policy.limit(settings.capacity);
        Self {
            incarnation: settings.incarnation,
            material: settings.policy.revision,
            policy: settings.policy,
            warmup: Warmup::open(start, limit, now),
            running: BTreeMap::new(),
            busy: BTreeMap::new(),
            credits: Credits::default(),
            shares: Shares::default(),
            current: Time::ZERO,
            leaving: false,
            waiting: 0,
            next: 0,
            sequence: 0,
            first_token: 0.0,
            token_gap: 0.0,
        }
    }

    /// Puts a policy in force; an older one than that in force is ignored.
    ///
    /// An upstream that was out starts over, because its caches may be cold.
    pub fn set_policy(&mut self, policy: GatePolicy, capacity: u32, now: Time) -> Vec<Grant> {
        if policy.revision < self.policy.revision {
            return Vec::new();
        }
        if !policy.same_rules(&self.policy) {
            self.material = policy.revision;
        }
        self.warmup
            .resize(policy.slow_start.clone(), policy.limit(capacity));
        match (self.policy.standing, policy.standing) {
            (AdminState::Out, AdminState::In) => self.warmup.restart(now),
            (_, AdminState::Out) => self.credits.clear(),
            (AdminState::In, AdminState::In) => {}
        }
        self.policy = policy;
        self.settle(now)
    }

    /// Extends the lease on being current until `until`.
    pub fn renew(&mut self, until: Time) {
        self.current = self.current.max(until);
    }

    /// Takes no new work from now on; what runs goes on.
    pub fn drain(&mut self) {
        self.leaving = true;
        self.credits.clear();
    }

    /// Takes new work again after [`Gate::drain`], from the initial allowance.
    pub fn resume(&mut self, now: Time) {
        self.leaving = false;
        self.warmup.restart(now);
    }

    /// Starts over from the initial allowance under a new incarnation.
    pub fn restart(&mut self, incarnation: Incarnation, now: Time) {
        if incarnation <= self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        self.credits.clear();
        self.waiting = 0;
        self.warmup.restart(now);
    }

    /// Notes how many requests wait inside the engine.
    pub fn observe_waiting(&mut self, waiting: u32) {
        self.waiting = waiting;
    }

    /// Lowers the allowance at a sign of coldness or overload.
    pub fn observe(&mut self, sign: HealthSignal, now: Time) {
        self.warmup.observe(sign, now);
        self.credits.trim(self.spare_for_credits());
    }

    /// Admits a request or refuses it as "not run".
    pub fn admit(&mut self, ask: &Admission, now: Time) -> Result<Permit, Refusal> {
        self.credits.expire(now);
        self.warmup.advance(now);
        match self.check(ask, now) {
            Ok(()) => Ok(self.enter(ask, now)),
            Err(kind) => Err(Refusal {
                kind,
                report: self.report(),
            }),
        }
    }

    /// Notes that the first token of a request has arrived.
    pub fn first_token(&mut self, permit: &Permit, now: Time) {
        let Some(run) = self.running.get_mut(&permit.id) else {
            return;
        };
        if run.started {
            return;
        }
        run.started = true;
        let taken = now.since(run.since);
        if permit.incarnation == self.incarnation {
            self.warmup.first_token(taken, now);
            self.credits.trim(self.spare_for_credits());
        }
    }

    /// Gives a place back and grants what became free.
    pub fn complete(&mut self, permit: Permit, done: Completed, now: Time) -> Vec<Grant> {
        let full = self.used() * FULL_PART >= self.warmup.allowance();
        let (id, incarnation) = permit.into_parts();
        let Some(run) = self.running.remove(&id) else {
            return Vec::new();
        };
        if let Some(count) = self.busy.get_mut(&run.service) {
            *count -= 1;
        }
        if incarnation == self.incarnation {
            self.learn(&run, done, full, now);
        }
        self.settle(now)
    }

    /// Replaces what an entry demands; an empty demand withdraws it.
    pub fn demand(&mut self, entry: &InstanceName, demand: EntryDemand, now: Time) -> Vec<Grant> {
        self.credits.demand(entry, demand, now);
        self.settle(now)
    }

    /// Takes back a credit that its entry has no use for.
    pub fn return_credit(&mut self, credit: CreditId, now: Time) -> Vec<Grant> {
        self.credits.take(credit);
        self.settle(now)
    }

    /// Drops the credits and the demand of an entry that is gone.
    pub fn remove_entry(&mut self, entry: &InstanceName, now: Time) -> Vec<Grant> {
        self.credits.forget(entry);
        self.settle(now)
    }

    /// Expires leases, notices overdue first tokens and grants what is free.
    pub fn tick(&mut self, now: Time) -> Vec<Grant> {
        let mut overdue: Vec<Duration> = self
            .running
            .values()
            .filter(|r| !r.started)
            .map(|r| now.since(r.since))
            .collect();
        overdue.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(elapsed) = overdue.get(OVERDUE_COUNT - 1) {
            self.warmup.overdue(*elapsed, now);
        }
        self.settle(now)
    }

    /// Writes the next load report; credits count as running.
    pub fn report(&mut self) -> LoadReport {
        self.sequence += 1;
        LoadReport {
            incarnation: self.incarnation,
            sequence: self.sequence,
            running: self.used(),
            waiting: self.waiting,
            allowance: self.warmup.allowance(),
            warmth: self.warmup.warmth(),
            first_token: self.first_token as u64,
            token_gap: self.token_gap as u64,
        }
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Requests that may run at once for now.
    pub fn allowance(&self) -> u32 {
        self.warmup.allowance()
    }

    /// Whether the last work has ended after [`Gate::drain`].
    pub fn is_drained(&self) -> bool {
        self.leaving && self.running.is_empty()
    }

    /// Time of the next lease to run out.
    pub fn next_expiry(&self) -> Option<Time> {
        self.credits.next_expiry()
    }

    /// Places taken, by requests or by credits.
    fn used(&self) -> u32 {
        self.running() + self.credits.len()
    }

    /// Places that credits may hold beside what runs.
    fn spare_for_credits(&self) -> u32 {
        self.warmup.allowance().saturating_sub(self.running())
    }

    /// Checks standing, leases, limits and room, in that order.
    fn check(&mut self, ask: &Admission, now: Time) -> Result<(), ErrorKind> {
        self.check_standing(now, self.policy.lapse_of(&ask.service))?;
        if ask.revision < self.material {
            return Err(ErrorKind::StaleRevision);
        }
        if ask.remaining.is_zero() {
            return Err(ErrorKind::Overloaded);
        }
        if !self.service_room(&ask.service) {
            return Err(ErrorKind::Overloaded);
        }
        if let Some(credit) = ask.credit {
            self.credits.redeem(credit, &ask.entry);
        }
        if self.used() < self.warmup.allowance() {
            return Ok(());
        }
        Err(ErrorKind::Overloaded)
    }

    fn check_standing(&self, now: Time, lapse: LeaseExpiryPolicy) -> Result<(), ErrorKind> {
        if self.leaving {
            return Err(ErrorKind::Stopping);
        }
        if self.policy.standing == AdminState::Out {
            return Err(ErrorKind::OutOfService);
        }
        if now > self.current && lapse == LeaseExpiryPolicy::Refuse {
            return Err(ErrorKind::NotCurrent);
        }
        Ok(())
    }

    fn service_room(&self, service: &ServiceName) -> bool {
        let busy = self.busy.get(service).copied().unwrap_or(0);
        self.policy
            .concurrency_of(service)
            .is_none_or(|most| busy < most)
    }

    fn enter(&mut self, ask: &Admission, now: Time) -> Permit {
        let weight = self.policy.weight_of(&ask.service, &ask.workspace);
        if ask.credit.is_none() {
            self.shares.charge(&ask.workspace, weight);
        }
        self.next += 1;
        let run = Running {
            service: ask.service.clone(),
            since: now,
            started: false,
        };
        self.running.insert(self.next, run);
        *self.busy.entry(ask.service.clone()).or_default() += 1;
        Permit {
            id: self.next,
            incarnation: self.incarnation,
        }
    }

    fn learn(&mut self, run: &Running, done: Completed, full: bool, now: Time) {
        match done.outcome {
            Outcome::Good => self.learn_good(run, done, full, now),
            Outcome::Overloaded => self.warmup.observe(HealthSignal::Overload, now),
            Outcome::Cold => self.warmup.observe(HealthSignal::Cold, now),
            Outcome::Failed => self.warmup.observe(HealthSignal::Failure, now),
            Outcome::Cancelled => {}
        }
    }

    fn learn_good(&mut self, run: &Running, done: Completed, full: bool, now: Time) {
        if let Some(taken) = done.first_token {
            smooth(&mut self.first_token, taken);
            if !run.started {
                self.warmup.first_token(taken, now);
            }
        }
        if let Some(gap) = done.token_gap {
            smooth(&mut self.token_gap, gap);
        }
        self.warmup.completed(done.first_token, full, now);
    }

    /// Expires leases, keeps credits within the allowance and grants free places.
    fn settle(&mut self, now: Time) -> Vec<Grant> {
        self.credits.expire(now);
        self.warmup.advance(now);
        self.credits.trim(self.spare_for_credits());
        if self.leaving || self.policy.standing == AdminState::Out {
            return Vec::new();
        }
        let mut grants = Vec::new();
        while self.used() < self.warmup.allowance() {
            let Some(grant) = self.grant(now) else {
                break;
            };
            grants.push(grant);
        }
        grants
    }

    /// Grants one place to the best demand whose service has room.
    fn grant(&mut self, now: Time) -> Option<Grant> {
        let lapsed = now > self.current;
        let open = |service: &ServiceName| {
            let refuse = lapsed && self.policy.lapse_of(service) == LeaseExpiryPolicy::Refuse;
            let busy = self.busy.get(service).copied().unwrap_or(0);
            let held = self.credits.held_for(service);
            let room = self
                .policy
                .concurrency_of(service)
                .is_none_or(|most| busy + held < most);
            room && !refuse
        };
        let best = self.credits.best(&self.shares, open)?;
        let weight = self.policy.weight_of(&best.service, &best.workspace);
        self.shares.charge(&best.workspace, weight);
        Some(self.credits.grant(&best, now))
    }
}

/// Moves a smoothed time in microseconds towards a sample.
fn smooth(value: &mut f64, sample: Duration) {
    let sample = sample.as_micros() as f64;
    if *value == 0.0 {
        *value = sample;
    } else {
        *value += SMOOTHING * (sample - *value);
    }
}
