//! Admission control of one upstream.
//!
//! A slot is free while the allowance exceeds the running requests plus the
//! leased credits. A request without a credit takes a free slot or is refused
//! without having run. Entries with queued requests report their demand, and
//! each freed slot is leased as a credit to one demand, selected by priority,
//! fair share and deadline. A credit that expires frees its slot.
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
const SMOOTHING_FACTOR: f64 = 0.2;
/// The allowance counts as in use when at least one in this many slots is taken.
const IN_USE_DIVISOR: u32 = 2;
/// Number of first tokens that must be overdue at the same time to lower the allowance.
const MIN_OVERDUE: usize = 2;

/// Initial state of a gate.
#[derive(Clone, Debug, PartialEq)]
pub struct GateSettings {
    /// Incarnation of the upstream's process.
    pub incarnation: Incarnation,
    /// Largest number of concurrent requests when warm.
    pub capacity: u32,
    /// Policy in force.
    pub policy: GatePolicy,
}

/// Request for admission, as an entry sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Admission {
    /// Entry that sends the request.
    pub entry: InstanceName,
    /// Identifier of the request.
    pub request: RequestId,
    /// Requested service.
    pub service: ServiceName,
    /// Workspace on whose behalf it runs.
    pub workspace: WorkspaceName,
    /// Priority of the request.
    pub priority: Priority,
    /// Time left until its deadline.
    pub remaining: Duration,
    /// Configuration revision in force at the entry.
    pub revision: Revision,
    /// Credit to redeem, if the entry holds one.
    pub credit: Option<CreditId>,
}

/// Right to run one request; returned to [`Gate::complete`].
#[derive(Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{id}")]
#[must_use = "a permit occupies its slot until it is completed"]
pub struct Permit {
    id: u64,
    incarnation: Incarnation,
}

impl Permit {
    /// Returns the incarnation of the upstream that admitted the request.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Consumes the permit; returns its identifier and incarnation.
    fn into_parts(self) -> (u64, Incarnation) {
        (self.id, self.incarnation)
    }
}

/// Refusal of a request that did not run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: ErrorKind,
    /// Load at the time of the refusal.
    pub report: LoadReport,
}

/// How the work under a permit ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Answered completely.
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

/// Completion of a permit, as the agent observed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completed {
    /// How the work ended.
    pub outcome: Outcome,
    /// Time from admission to the first token; `None` if none was produced.
    pub first_token: Option<Duration>,
    /// Mean time between tokens; `None` for plain services.
    pub token_gap: Option<Duration>,
}

/// One running request.
#[derive(Clone, Debug)]
struct Running {
    service: ServiceName,
    admitted_at: Time,
    first_token: bool,
}

/// Admission gate of one upstream; smoothed times in microseconds.
#[derive(Debug)]
pub struct Gate {
    incarnation: Incarnation,
    policy: GatePolicy,
    min_revision: Revision,
    warmup: Warmup,
    running: BTreeMap<u64, Running>,
    per_service: BTreeMap<ServiceName, u32>,
    credits: Credits,
    shares: Shares,
    lease_expiry: Time,
    draining: bool,
    waiting: u32,
    next_id: u64,
    sequence: u64,
    first_token: f64,
    token_gap: f64,
}

impl Gate {
    /// Creates a gate that refuses requests until its configuration lease is first renewed.
    pub fn open(settings: GateSettings, now: Time) -> Self {
        let start = settings.policy.slow_start.clone();
        let limit = settings.policy.limit(settings.capacity);
        Self {
            incarnation: settings.incarnation,
            min_revision: settings.policy.revision,
            policy: settings.policy,
            warmup: Warmup::open(start, limit, now),
            running: BTreeMap::new(),
            per_service: BTreeMap::new(),
            credits: Credits::default(),
            shares: Shares::default(),
            lease_expiry: Time::ZERO,
            draining: false,
            waiting: 0,
            next_id: 0,
            sequence: 0,
            first_token: 0.0,
            token_gap: 0.0,
        }
    }

    /// Applies a policy, unless the current one is newer; returns the credits for freed slots.
    ///
    /// An upstream that returns to service restarts slow start, because its
    /// caches may be cold.
    pub fn set_policy(&mut self, policy: GatePolicy, capacity: u32, now: Time) -> Vec<Grant> {
        if policy.revision < self.policy.revision {
            return Vec::new();
        }
        if !policy.same_rules(&self.policy) {
            self.min_revision = policy.revision;
        }
        self.warmup
            .resize(policy.slow_start.clone(), policy.limit(capacity));
        match (self.policy.standing, policy.standing) {
            (AdminState::Out, AdminState::In) => self.warmup.restart(now),
            (_, AdminState::Out) => self.credits.clear(),
            (AdminState::In, AdminState::In) => {}
        }
        self.policy = policy;
        self.grant_free(now)
    }

    /// Extends the configuration lease to `until`.
    pub fn renew(&mut self, until: Time) {
        self.lease_expiry = self.lease_expiry.max(until);
    }

    /// Refuses new work from now on and revokes all credits; running requests complete.
    pub fn drain(&mut self) {
        self.draining = true;
        self.credits.clear();
    }

    /// Accepts new work again after [`Gate::drain`], from the initial allowance.
    pub fn resume(&mut self, now: Time) {
        self.draining = false;
        self.warmup.restart(now);
    }

    /// Restarts slow start and revokes all credits, if `incarnation` is newer.
    pub fn restart(&mut self, incarnation: Incarnation, now: Time) {
        if incarnation <= self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        self.credits.clear();
        self.waiting = 0;
        self.warmup.restart(now);
    }

    /// Records the number of requests queued inside the engine.
    pub fn observe_waiting(&mut self, waiting: u32) {
        self.waiting = waiting;
    }

    /// Lowers the allowance on a signal of a cold, overloaded or failing upstream.
    pub fn observe(&mut self, signal: HealthSignal, now: Time) {
        self.warmup.observe(signal, now);
        self.credits.trim(self.credit_room());
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// Fails without running the request if the upstream is draining or out of service,
    /// the lease or `revision` is stale, the deadline has passed or no slot is free.
    pub fn admit(&mut self, request: &Admission, now: Time) -> Result<Permit, Refusal> {
        self.credits.expire(now);
        self.warmup.advance(now);
        match self.check(request, now) {
            Ok(()) => Ok(self.start(request, now)),
            Err(kind) => Err(Refusal {
                kind,
                report: self.report(),
            }),
        }
    }

    /// Records the first token of a request; later calls have no effect.
    pub fn first_token(&mut self, permit: &Permit, now: Time) {
        let Some(run) = self.running.get_mut(&permit.id) else {
            return;
        };
        if run.first_token {
            return;
        }
        run.first_token = true;
        let taken = now.since(run.admitted_at);
        if permit.incarnation == self.incarnation {
            self.warmup.record_first_token(taken, now);
            self.credits.trim(self.credit_room());
        }
    }

    /// Frees the slot of a permit and grants the free slots.
    pub fn complete(&mut self, permit: Permit, done: Completed, now: Time) -> Vec<Grant> {
        let full = self.used() * IN_USE_DIVISOR >= self.warmup.allowance();
        let (id, incarnation) = permit.into_parts();
        let Some(run) = self.running.remove(&id) else {
            return Vec::new();
        };
        if let Some(count) = self.per_service.get_mut(&run.service) {
            *count -= 1;
        }
        if incarnation == self.incarnation {
            self.record_outcome(&run, done, full, now);
        }
        self.grant_free(now)
    }

    /// Replaces the demand of an entry; an empty one removes it.
    pub fn demand(&mut self, entry: &InstanceName, demand: EntryDemand, now: Time) -> Vec<Grant> {
        self.credits.demand(entry, demand, now);
        self.grant_free(now)
    }

    /// Frees the slot of a credit that its entry does not need.
    pub fn return_credit(&mut self, credit: CreditId, now: Time) -> Vec<Grant> {
        self.credits.remove(credit);
        self.grant_free(now)
    }

    /// Removes the credits and the demand of an entry that is no longer present.
    pub fn remove_entry(&mut self, entry: &InstanceName, now: Time) -> Vec<Grant> {
        self.credits.remove_entry(entry);
        self.grant_free(now)
    }

    /// Expires leases, checks for overdue first tokens and grants the free slots.
    pub fn tick(&mut self, now: Time) -> Vec<Grant> {
        let mut overdue: Vec<Duration> = self
            .running
            .values()
            .filter(|r| !r.first_token)
            .map(|r| now.since(r.admitted_at))
            .collect();
        overdue.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(elapsed) = overdue.get(MIN_OVERDUE - 1) {
            self.warmup.record_overdue(*elapsed, now);
        }
        self.grant_free(now)
    }

    /// Builds the next load report; leased credits count as running.
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

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests that may currently run at once.
    pub fn allowance(&self) -> u32 {
        self.warmup.allowance()
    }

    /// Returns whether the gate is draining and no request is running.
    pub fn is_drained(&self) -> bool {
        self.draining && self.running.is_empty()
    }

    /// Returns the earliest expiry of a leased credit.
    pub fn next_expiry(&self) -> Option<Time> {
        self.credits.next_expiry()
    }

    /// Returns the slots taken by requests and credits.
    fn used(&self) -> u32 {
        self.running() + self.credits.len()
    }

    /// Returns the slots that credits may hold beside the running requests.
    fn credit_room(&self) -> u32 {
        self.warmup.allowance().saturating_sub(self.running())
    }

    /// Checks state, lease, revision, deadline, limits and room, in that order.
    fn check(&mut self, request: &Admission, now: Time) -> Result<(), ErrorKind> {
        self.check_standing(now, self.policy.lapse_of(&request.service))?;
        if request.revision < self.min_revision {
            return Err(ErrorKind::StaleRevision);
        }
        if request.remaining.is_zero() {
            return Err(ErrorKind::Overloaded);
        }
        if !self.service_has_room(&request.service) {
            return Err(ErrorKind::Overloaded);
        }
        if let Some(credit) = request.credit {
            self.credits.redeem(credit, &request.entry);
        }
        if self.used() < self.warmup.allowance() {
            return Ok(());
        }
        Err(ErrorKind::Overloaded)
    }

    fn check_standing(&self, now: Time, lapse: LeaseExpiryPolicy) -> Result<(), ErrorKind> {
        if self.draining {
            return Err(ErrorKind::Stopping);
        }
        if self.policy.standing == AdminState::Out {
            return Err(ErrorKind::OutOfService);
        }
        if now > self.lease_expiry && lapse == LeaseExpiryPolicy::Refuse {
            return Err(ErrorKind::NotCurrent);
        }
        Ok(())
    }

    fn service_has_room(&self, service: &ServiceName) -> bool {
        let running = self.per_service.get(service).copied().unwrap_or(0);
        self.policy
            .concurrency_of(service)
            .is_none_or(|max| running < max)
    }

    fn start(&mut self, request: &Admission, now: Time) -> Permit {
        let weight = self.policy.weight_of(&request.service, &request.workspace);
        if request.credit.is_none() {
            self.shares.charge(&request.workspace, weight);
        }
        self.next_id += 1;
        let run = Running {
            service: request.service.clone(),
            admitted_at: now,
            first_token: false,
        };
        self.running.insert(self.next_id, run);
        *self.per_service.entry(request.service.clone()).or_default() += 1;
        Permit {
            id: self.next_id,
            incarnation: self.incarnation,
        }
    }

    fn record_outcome(&mut self, run: &Running, done: Completed, full: bool, now: Time) {
        match done.outcome {
            Outcome::Good => self.record_success(run, done, full, now),
            Outcome::Overloaded => self.warmup.observe(HealthSignal::Overload, now),
            Outcome::Cold => self.warmup.observe(HealthSignal::Cold, now),
            Outcome::Failed => self.warmup.observe(HealthSignal::Failure, now),
            Outcome::Cancelled => {}
        }
    }

    fn record_success(&mut self, run: &Running, done: Completed, full: bool, now: Time) {
        if let Some(taken) = done.first_token {
            smooth(&mut self.first_token, taken);
            if !run.first_token {
                self.warmup.record_first_token(taken, now);
            }
        }
        if let Some(gap) = done.token_gap {
            smooth(&mut self.token_gap, gap);
        }
        self.warmup.record_completion(done.first_token, full, now);
    }

    /// Expires leases, trims credits to the allowance and grants the free slots.
    fn grant_free(&mut self, now: Time) -> Vec<Grant> {
        self.credits.expire(now);
        self.warmup.advance(now);
        self.credits.trim(self.credit_room());
        if self.draining || self.policy.standing == AdminState::Out {
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

    /// Grants one slot to the next demand whose service has room.
    fn grant(&mut self, now: Time) -> Option<Grant> {
        let lapsed = now > self.lease_expiry;
        let admissible = |service: &ServiceName| {
            let refuse = lapsed && self.policy.lapse_of(service) == LeaseExpiryPolicy::Refuse;
            let running = self.per_service.get(service).copied().unwrap_or(0);
            let leased = self.credits.leased_for(service);
            let room = self
                .policy
                .concurrency_of(service)
                .is_none_or(|max| running + leased < max);
            room && !refuse
        };
        let demand = self.credits.select(&self.shares, admissible)?;
        let weight = self.policy.weight_of(&demand.service, &demand.workspace);
        self.shares.charge(&demand.workspace, weight);
        Some(self.credits.grant(&demand, now))
    }
}

/// Updates an exponentially smoothed time, in microseconds.
fn smooth(value: &mut f64, sample: Duration) {
    let sample = sample.as_micros() as f64;
    if *value == 0.0 {
        *value = sample;
    } else {
        *value += SMOOTHING_FACTOR * (sample - *value);
    }
}
