//! What an entry knows, shared by its requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pimentotide_fleet::{
    Balancer, BalancerOptions, BudgetOptions, ColdLimit, EntryCount, EntryPosition, Outcome,
    RetryAfterSchedule, RetryBudget, RouteTable, ServiceGate, Ticket,
};
use pimentotide_instance::Clock;
use pimentotide_model::{ErrorKind, Failure, ServiceName, Time, ZoneName};
use pimentotide_observe::Metrics;
use pimentotide_platform::read_configuration;
use tokio::sync::Notify;

use super::super::FleetSettings;
use super::super::news::{Fleet, News, Seen};
use crate::lines::{Declared, Ejected, LeaseLost, LeaseWon, UpstreamChanged, ZonesClosed};

/// Silence beyond the time for which a group stalls for a lost rank; events of the others arrive in it.
const STALL_MARGIN: Duration = Duration::from_millis(200);
/// Requests that may wait at an upstream for each of its slots.
const QUEUE: f64 = 2.0;
/// What an entry knows.
pub(super) struct EntryState {
    clock: Clock,
    metrics: Metrics,
    /// Silence in a stream after which it is continued elsewhere.
    silence: Duration,
    /// Own address for callers.
    callers: SocketAddr,
    lease: Duration,
    held: Mutex<Known>,
    open: AtomicUsize,
    stopping: AtomicBool,
    refusing: AtomicBool,
    stopped: Notify,
    started: Notify,
}

/// Part that changes with the news and with each request.
pub(super) struct Known {
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) balancer: Balancer,
    pub(super) budget: RetryBudget,
    /// Callers that were sent away, by service.
    pub(super) returns: BTreeMap<ServiceName, RetryAfterSchedule>,
    /// Refusals of upstreams, by service.
    gates: BTreeMap<ServiceName, ServiceGate>,
    seen: Seen,
    /// Time until which what is known may be acted on.
    until: Time,
    /// Time of the newest question whose answer confirmed what is known.
    confirmed: Time,
    /// Whether it may be acted on, as it was logged last.
    current: bool,
    entries: EntryCount,
    /// Addresses of the entries that take callers.
    list: Vec<SocketAddr>,
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
            queue: QUEUE,
        });
        let clock = Clock::start();
        let entries = EntryCount::new(clock.now());
        let first = entries.get(clock.now());
        balancer.set_entries(first, clock.now());
        Self {
            clock,
            metrics,
            silence: Duration::from_millis(settings.bounds.stall_ms) + STALL_MARGIN,
            callers,
            lease: settings.lease(),
            held: Mutex::new(Known {
                table: None,
                balancer,
                budget: RetryBudget::new(budget, first),
                returns: BTreeMap::new(),
                gates: BTreeMap::new(),
                seen: Seen::default(),
                until: Time::ZERO,
                confirmed: Time::ZERO,
                current: false,
                entries,
                list: Vec::new(),
            }),
            open: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            stopped: Notify::new(),
            started: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Silence in a stream after which it is continued elsewhere.
    pub(super) fn silence(&self) -> Duration {
        self.silence
    }

    pub(super) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    pub(super) fn known(&self) -> MutexGuard<'_, Known> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn seen(&self) -> Seen {
        self.known().seen
    }

    /// Takes in news that were asked for at `asked`.
    pub(super) fn learn(&self, news: News, asked: Time) -> Result<(), Failure> {
        let now = self.now();
        let mut known = self.known();
        if let Some(document) = news.declared
            && document.index > known.seen.declared
        {
            let declaration = read_configuration(document.text.as_bytes())
                .map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))?;
            let before = known.table.as_ref().map(|t| t.declaration().version);
            pimentotide_observe::event(&Declared {
                version: declaration.version,
                before,
                routes: declaration.routes.len(),
            });
            let colds: BTreeMap<ServiceName, ColdLimit> = declaration
                .services
                .iter()
                .filter_map(|(name, s)| Some((name.clone(), s.cold?)))
                .collect();
            known.balancer.set_cold_limits(colds);
            known.table = Some(Arc::new(RouteTable::new(declaration)));
            known.seen.declared = document.index;
        }
        known.count_entries(news.entries.len(), news.recorded, now);
        if let Some(place) = EntryPosition::among(&self.callers, &news.entries) {
            known.balancer.set_position(place);
        }
        known.list = news.entries;
        if let Some(fleet) = news.fleet
            && fleet.revision > known.seen.revision
        {
            known.follow(fleet, now);
        }
        known.until = known.until.max(asked + self.lease);
        known.confirmed = known.confirmed.max(asked);
        if known.table.is_some() {
            self.started.notify_waiters();
        }
        known.note_lease(now);
        Ok(())
    }

    /// Waits for the first configuration, at most for `limit`.
    pub(super) async fn wait_for_start(&self, limit: Duration) {
        let started = self.started.notified();
        if self.known().table.is_some() {
            return;
        }
        // Either end of the wait is the reason to go on.
        let _ = tokio::time::timeout(limit, started).await;
    }

    /// Whether what is known may be acted on.
    pub(super) fn is_current(&self) -> bool {
        let now = self.now();
        self.known().note_lease(now)
    }

    /// Time since what is known was last confirmed.
    pub(super) fn age(&self) -> Duration {
        self.now().since(self.known().confirmed)
    }

    /// Version of the configuration in use; none before the first.
    pub(super) fn version(&self) -> Option<u64> {
        let known = self.known();
        known.table.as_ref().map(|t| t.declaration().version)
    }

    /// Sets gauges to what is known now.
    pub(super) fn measure(&self, metrics: &Metrics) {
        let now = self.now();
        let current = self.is_current();
        let known = self.known();
        let census = known.balancer.counts(now);
        let states = [
            ("usable", census.usable),
            ("cold", census.cold),
            ("ejected", census.ejected),
            ("out", census.out),
        ];
        for (state, count) in states {
            metrics.gauge("entry.upstreams", ("state", state), count as u64);
        }
        for (service, left) in known.budget.left(now) {
            metrics.gauge("entry.repeats_left", ("service", service), left);
        }
        let age = now.since(known.confirmed).as_millis() as u64;
        let version = known.table.as_ref().map_or(0, |t| t.declaration().version);
        let figures = [
            ("current", u64::from(current)),
            ("age_ms", age),
            ("version", version),
            ("revision", known.seen.revision),
            ("entries", known.entries.get(now) as u64),
        ];
        for (figure, value) in figures {
            metrics.gauge("entry.knowledge", ("figure", figure), value);
        }
        metrics.gauge(
            "entry.open",
            ("scope", "requests"),
            self.open_requests() as u64,
        );
        metrics.gauge("entry.open", ("scope", "sends"), census.in_flight as u64);
    }

    /// Routes, if they may be acted on.
    pub(super) fn table(&self) -> Result<Arc<RouteTable>, Failure> {
        let now = self.now();
        let mut known = self.known();
        known.note_lease(now);
        match &known.table {
            Some(table) if now < known.until => Ok(table.clone()),
            Some(_) => Err(Failure::new(
                ErrorKind::NotCurrent,
                "no replica has confirmed the configuration for too long",
            )),
            None => Err(Failure::new(ErrorKind::NotCurrent, "no configuration yet")),
        }
    }

    /// Entries that callers may use; none if they are not known or may have changed.
    pub(super) fn entry_list(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let known = self.known();
        if now < known.until {
            known.list.clone()
        } else {
            Vec::new()
        }
    }

    pub(super) fn ended(&self, ticket: &Ticket, outcome: Outcome) {
        let now = self.now();
        let ejected = self.known().balancer.finish(ticket, outcome, now);
        if ejected {
            self.metrics
                .count("entry.ejections", ("scope", "upstream"), 1);
            pimentotide_observe::event(&Ejected {
                upstream: ticket.upstream.to_string(),
            });
        }
    }

    pub(super) fn enter(self: &Arc<Self>) -> OpenRequest {
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        self.metrics
            .gauge("entry.open", ("scope", "requests"), open as u64);
        OpenRequest(self.clone())
    }

    pub(super) fn open_requests(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.stopped.notify_waiters();
    }

    /// Waits for the signal to stop, at most for `limit`.
    pub(super) async fn wait_for_stop(&self, limit: Duration) {
        // Either end of the wait is the reason to go on.
        let _ = tokio::time::timeout(limit, self.stopped.notified()).await;
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(super) fn refuse_new(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }
}

impl Known {
    /// Refusals of the upstreams of a service.
    pub(super) fn gate(&mut self, service: &ServiceName) -> &mut ServiceGate {
        self.gates.entry(service.clone()).or_default()
    }

    /// Takes over zones and upstreams and logs what is new of them.
    fn follow(&mut self, fleet: Fleet, now: Time) {
        let revision = fleet.revision;
        if *self.balancer.closed() != fleet.closed {
            pimentotide_observe::event(&ZonesClosed {
                zones: fleet.closed.iter().map(ToString::to_string).collect(),
                revision,
            });
        }
        for news in self.balancer.update(fleet.closed, fleet.upstreams, now) {
            pimentotide_observe::event(&UpstreamChanged {
                upstream: news.upstream.to_string(),
                zone: news.zone.to_string(),
                change: news.change.to_string(),
                revision,
            });
        }
        self.seen.revision = revision;
    }

    /// Whether what is known may be acted on; logs a change of that.
    fn note_lease(&mut self, now: Time) -> bool {
        let current = self.table.is_some() && now < self.until;
        if current != self.current {
            self.current = current;
            if current {
                pimentotide_observe::event(&LeaseWon {
                    version: self.table.as_ref().map_or(0, |t| t.declaration().version),
                    revision: self.seen.revision,
                });
            } else {
                pimentotide_observe::event(&LeaseLost {
                    age_ms: now.since(self.confirmed).as_millis(),
                });
            }
        }
        current
    }

    fn count_entries(&mut self, heard: usize, recorded: usize, now: Time) {
        self.entries.update(heard, recorded, now);
        let entries = self.entries.get(now);
        self.balancer.set_entries(entries, now);
        self.budget.set_entries(entries, now);
    }
}

/// A request under way; counted until dropped.
pub(super) struct OpenRequest(Arc<EntryState>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
