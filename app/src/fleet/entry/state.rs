//! State of an entry, shared by its requests.
//!
//! Requests are served only under a lease: for a limited time after a replica
//! last confirmed the configuration.

mod measure;
mod stop;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use pimentotide_fleet::{
    Balancer, BalancerOptions, BudgetOptions, ColdLimit, CrashEvidence, EntryCount, EntryPosition,
    LimitView, Outcome, RetryAfterSchedule, RetryBudget, RouteTable, ServiceGate, Ticket,
};
use pimentotide_instance::Clock;
use pimentotide_model::{ErrorKind, Failure, ServiceName, Time, ZoneName};
use pimentotide_observe::Metrics;
use pimentotide_platform::read_configuration;
use tokio::sync::{Notify, watch};

use super::super::FleetSettings;
use super::super::compact;
use super::super::rpc::{FleetView, SeenRevisions, StateUpdate};
use super::admission::Admissions;
use super::crashes::CrashChecks;
use super::documents::receive;
use super::report::ReportQueue;
use super::signals::LimitReports;
use crate::lines::{Declared, Ejected, LeaseLost, LeaseWon, UpstreamChanged, ZonesClosed};

/// Margin beyond the stall of a group that lost a rank, in which its events arrive.
const STALL_MARGIN: Duration = Duration::from_millis(200);
/// Maximum requests queued at an upstream per slot.
const QUEUE_PER_SLOT: f64 = 2.0;

/// State of an entry.
pub(super) struct EntryState {
    clock: Clock,
    metrics: Metrics,
    /// Silence of a stream after which it resumes at another upstream, if it may.
    silence: Duration,
    /// Address of this entry for callers.
    callers: SocketAddr,
    lease: Duration,
    inner: Mutex<Inner>,
    crash_checks: CrashChecks,
    reports: ReportQueue,
    limit_reports: LimitReports,
    /// Signals changes to suspected and refused contents.
    suspect_changes: watch::Sender<()>,
    /// Whether any engine is slow; signals changes to the list.
    slow_changes: watch::Sender<bool>,
    /// Number of open requests.
    open: AtomicUsize,
    /// Shared by the guards of requests that are being received or wait for the head of an answer.
    received: Arc<()>,
    grace: Duration,
    /// Time of the signal to stop.
    stopped_at: OnceLock<Time>,
    stopped: Notify,
    started: Notify,
    /// Signals the end of the grace period to requests that are still open.
    ended: Notify,
    /// Signals events that may let a waiting request be admitted.
    pub(super) admission: Notify,
}

/// Part of the state that changes with updates and with each request.
pub(super) struct Inner {
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) balancer: Balancer,
    pub(super) budget: RetryBudget,
    /// Retry times assigned to refused callers, by service.
    pub(super) retry_schedules: BTreeMap<ServiceName, RetryAfterSchedule>,
    /// Admission by recent refusals of upstreams, by service.
    gates: BTreeMap<ServiceName, ServiceGate>,
    /// Requests that wait to be admitted in order.
    pub(super) admissions: Admissions,
    /// Contents that crash upstreams.
    pub(super) evidence: CrashEvidence,
    seen: SeenRevisions,
    /// Text of the configuration, from which deltas start.
    held: String,
    /// Whether the configuration has changed, so that deltas are worth asking for.
    takes_deltas: bool,
    /// End of the lease.
    lease_end: Time,
    /// Time of the latest request whose answer confirmed the state.
    confirmed_at: Time,
    /// Whether the lease was valid when last logged.
    logged_current: bool,
    entries: EntryCount,
    /// Addresses of the entries that callers may use.
    entry_addresses: Vec<SocketAddr>,
}

impl EntryState {
    pub(super) fn new(settings: &FleetSettings, callers: SocketAddr, metrics: Metrics) -> Self {
        let bounds = &settings.bounds;
        let budget = BudgetOptions {
            ratio: bounds.repeat_ratio,
            allowance: bounds.repeat_allowance,
            window: Duration::from_secs_f64(bounds.repeat_window_s),
        };
        let mut balancer = Balancer::new(BalancerOptions {
            zone: ZoneName::from(settings.zone.as_str()),
            queue: QUEUE_PER_SLOT,
        });
        let clock = Clock::start();
        let entries = EntryCount::new(clock.now());
        let entry_count = entries.get(clock.now());
        balancer.set_entries(entry_count, clock.now());
        Self {
            clock,
            metrics,
            silence: Duration::from_millis(settings.bounds.stall_ms) + STALL_MARGIN,
            callers,
            lease: settings.lease(),
            inner: Mutex::new(Inner {
                table: None,
                balancer,
                budget: RetryBudget::new(budget, entry_count),
                retry_schedules: BTreeMap::new(),
                gates: BTreeMap::new(),
                admissions: Admissions::default(),
                evidence: CrashEvidence::default(),
                seen: SeenRevisions {
                    suspects: Some(0),
                    limits: Some(0),
                    ..SeenRevisions::default()
                },
                held: String::new(),
                takes_deltas: false,
                lease_end: Time::ZERO,
                confirmed_at: Time::ZERO,
                logged_current: false,
                entries,
                entry_addresses: Vec::new(),
            }),
            crash_checks: CrashChecks::default(),
            reports: ReportQueue::default(),
            limit_reports: LimitReports::default(),
            suspect_changes: watch::Sender::default(),
            slow_changes: watch::Sender::default(),
            open: AtomicUsize::new(0),
            received: Arc::default(),
            grace: Duration::from_secs_f64(bounds.grace_s),
            stopped_at: OnceLock::new(),
            stopped: Notify::new(),
            started: Notify::new(),
            ended: Notify::new(),
            admission: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the silence of a stream after which it resumes at another upstream, if it may.
    pub(super) fn silence(&self) -> Duration {
        self.silence
    }

    pub(super) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the reports for the control replicas.
    pub(super) fn reports(&self) -> &ReportQueue {
        &self.reports
    }

    /// Returns the reports on limits of upstreams.
    pub(super) fn limit_reports(&self) -> &LimitReports {
        &self.limit_reports
    }

    /// Returns a receiver of changes to suspected and refused contents.
    pub(super) fn suspect_changes(&self) -> watch::Receiver<()> {
        self.suspect_changes.subscribe()
    }

    /// Signals changes to the list of slow engines; the value is whether there are any.
    pub(super) fn slow_changes(&self) -> &watch::Sender<bool> {
        &self.slow_changes
    }

    pub(super) fn notify_suspects(&self) {
        self.suspect_changes.send_replace(());
    }

    pub(super) fn crash_checks(&self) -> &CrashChecks {
        &self.crash_checks
    }

    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn seen(&self) -> SeenRevisions {
        self.lock().seen
    }

    /// Applies an update requested at `requested_at`, from which the lease is extended.
    ///
    /// # Errors
    ///
    /// Fails if the configuration or the suspected contents cannot be parsed.
    pub(super) fn apply_update(
        &self,
        mut update: StateUpdate,
        requested_at: Time,
    ) -> Result<(), Failure> {
        if let Some(text) = &update.suspects {
            self.update_suspects(compact::decode(text)?);
        }
        let limits = update.limits.as_deref().map(compact::decode);
        let limits: Option<LimitView> = limits.transpose()?;
        let now = self.now();
        let mut inner = self.lock();
        let Inner { seen, held, .. } = &*inner;
        let received = receive(&mut update, *seen, held, &inner.balancer, &self.metrics);
        let (document, fleet) = match received {
            Ok(received) => received,
            // Nothing else is applied; the next poll asks the same replica for the whole.
            Err(_) if inner.seen.changes => {
                inner.seen.changes = false;
                return Ok(());
            }
            Err(e) => return Err(Failure::new(ErrorKind::Internal, e.to_string())),
        };
        if let Some(document) = document {
            let declaration = read_configuration(document.text.as_bytes())
                .map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))?;
            let before = inner.table.as_ref().map(|t| t.declaration().version);
            pimentotide_observe::event(&Declared {
                version: declaration.version,
                before,
                routes: declaration.routes.len(),
            });
            let cold_limits: BTreeMap<ServiceName, ColdLimit> = declaration
                .services
                .iter()
                .filter_map(|(name, s)| Some((name.clone(), s.cold?)))
                .collect();
            inner.balancer.set_cold_limits(cold_limits);
            let engines = declaration.services.iter();
            let engines = engines.filter_map(|(name, s)| Some((name.clone(), s.engine?)));
            inner.balancer.set_engines(engines);
            inner.table = Some(Arc::new(RouteTable::new(declaration)));
            // The first document is not followed by deltas: without changes, polls stay as they were.
            inner.takes_deltas = inner.seen.declared > 0;
            inner.seen.declared = document.index;
            inner.held = document.text;
        }
        inner.update_entry_count(update.entries.len(), update.recorded, now);
        if let Some(position) = EntryPosition::among(&self.callers, &update.entries) {
            inner.balancer.set_position(position, now);
        }
        inner.entry_addresses = update.entries;
        inner.seen.changes = inner.takes_deltas;
        if let Some(fleet) = fleet {
            inner.apply_fleet(fleet, now);
        }
        if let Some(limits) = limits
            && Some(limits.revision) > inner.seen.limits
        {
            inner.seen.limits = Some(limits.revision);
            inner.balancer.update_limits(limits, now);
        }
        self.apply_slow(&mut inner, &update.slow);
        inner.lease_end = inner.lease_end.max(requested_at + self.lease);
        inner.confirmed_at = inner.confirmed_at.max(requested_at);
        if inner.table.is_some() {
            self.started.notify_waiters();
        }
        inner.check_lease(now);
        drop(inner);
        self.notify_waiting();
        Ok(())
    }

    /// Waits for the first configuration, up to `limit`, or until new requests are refused.
    pub(super) async fn wait_for_start(&self, limit: Duration) {
        let started = self.started.notified();
        if self.lock().table.is_some() || self.is_refusing() {
            return;
        }
        // The caller continues after the signal and after the timeout alike.
        let _ = tokio::time::timeout(limit, started).await;
    }

    /// Returns whether the lease is valid.
    pub(super) fn is_current(&self) -> bool {
        let now = self.now();
        self.lock().check_lease(now)
    }

    /// Returns the time since the state was last confirmed.
    pub(super) fn age(&self) -> Duration {
        self.now().since(self.lock().confirmed_at)
    }

    /// Returns the version of the configuration; `None` before the first.
    pub(super) fn version(&self) -> Option<u64> {
        let inner = self.lock();
        inner.table.as_ref().map(|t| t.declaration().version)
    }

    /// Returns the routes.
    ///
    /// # Errors
    ///
    /// Fails before the first configuration and after the lease has expired.
    pub(super) fn table(&self) -> Result<Arc<RouteTable>, Failure> {
        let now = self.now();
        let mut inner = self.lock();
        inner.check_lease(now);
        match &inner.table {
            Some(table) if now < inner.lease_end => Ok(table.clone()),
            Some(_) => Err(Failure::new(
                ErrorKind::NotCurrent,
                "no replica has confirmed the configuration for too long",
            )),
            None => Err(Failure::new(ErrorKind::NotCurrent, "no configuration yet")),
        }
    }

    /// Returns the entries that callers may use; empty without a valid lease.
    pub(super) fn entry_addresses(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let inner = self.lock();
        if now < inner.lease_end {
            inner.entry_addresses.clone()
        } else {
            Vec::new()
        }
    }

    /// Records the outcome of a send; `begun` says whether its upstream had begun to answer.
    pub(super) fn finish_send(&self, ticket: &Ticket, outcome: Outcome, begun: bool) {
        let now = self.now();
        let mut inner = self.lock();
        let ejected = if begun {
            inner.balancer.finish(ticket, outcome, now)
        } else {
            inner.balancer.finish_unanswered(ticket, outcome, now)
        };
        let is_waiting = !inner.admissions.is_empty();
        drop(inner);
        if is_waiting {
            self.admission.notify_one();
        }
        if ejected {
            self.report_ejected(ticket);
        }
    }

    /// Records that a request gets nothing from its upstream, where it goes on to wait.
    pub(super) fn record_silence(&self, ticket: &Ticket) {
        let now = self.now();
        let ejected = self.lock().balancer.record_failure(ticket, now);
        if ejected {
            self.report_ejected(ticket);
        }
    }

    fn report_ejected(&self, ticket: &Ticket) {
        self.metrics
            .count("entry.ejections", ("scope", "upstream"), 1);
        pimentotide_observe::event(&Ejected {
            upstream: ticket.upstream.to_string(),
        });
    }

    pub(super) fn track_request(self: &Arc<Self>) -> OpenRequest {
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        self.metrics
            .gauge("entry.open", ("scope", "requests"), open as u64);
        OpenRequest(self.clone())
    }

    pub(super) fn open_requests(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

impl Inner {
    /// Returns the admission gate of a service.
    pub(super) fn gate(&mut self, service: &ServiceName) -> &mut ServiceGate {
        self.gates.entry(service.clone()).or_default()
    }

    /// Position of the configuration in force.
    pub(super) fn declared(&self) -> u64 {
        self.seen.declared
    }

    /// Returns the end of the lease.
    pub(super) fn lease_end(&self) -> Time {
        self.lease_end
    }

    /// Position of the last applied view of suspected contents.
    pub(super) fn seen_suspects(&self) -> u64 {
        self.seen.suspects.unwrap_or(0)
    }

    pub(super) fn set_seen_suspects(&mut self, revision: u64) {
        self.seen.suspects = Some(revision);
    }

    /// Applies zones and upstreams and logs the changes.
    fn apply_fleet(&mut self, fleet: FleetView, now: Time) {
        let revision = fleet.revision;
        if *self.balancer.closed() != fleet.closed {
            pimentotide_observe::event(&ZonesClosed {
                zones: fleet.closed.iter().map(ToString::to_string).collect(),
                revision,
            });
        }
        for changed in self.balancer.update(fleet.closed, fleet.upstreams, now) {
            pimentotide_observe::event(&UpstreamChanged {
                upstream: changed.upstream.to_string(),
                zone: changed.zone.to_string(),
                change: changed.change.to_string(),
                revision,
            });
        }
        self.seen.revision = revision;
    }

    /// Returns whether the lease is valid and logs a change.
    pub(super) fn check_lease(&mut self, now: Time) -> bool {
        let current = self.table.is_some() && now < self.lease_end;
        if current != self.logged_current {
            self.logged_current = current;
            if current {
                pimentotide_observe::event(&LeaseWon {
                    version: self.table.as_ref().map_or(0, |t| t.declaration().version),
                    revision: self.seen.revision,
                });
            } else {
                pimentotide_observe::event(&LeaseLost {
                    age_ms: now.since(self.confirmed_at).as_millis(),
                });
            }
        }
        current
    }

    fn update_entry_count(&mut self, live: usize, recorded: usize, now: Time) {
        self.entries.update(live, recorded, now);
        let entries = self.entries.get(now);
        self.balancer.set_entries(entries, now);
        self.budget.set_entries(entries, now);
    }
}

/// Guard of an open request; counted until dropped.
pub(super) struct OpenRequest(Arc<EntryState>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
