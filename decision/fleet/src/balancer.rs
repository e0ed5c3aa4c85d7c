//! Least-loaded balancing over the upstreams in service, at one entry.
//!
//! Load is the last report of an upstream plus this entry's sends since. Failing
//! upstreams are ejected for a while, but only a limited part of a service, because
//! with more failures the cause lies elsewhere. A cold upstream gets this entry's
//! share of its rate limit. An upstream that says in an answer that it is leaving
//! receives nothing more from this entry, and one that asks for a backoff nothing
//! until its end; neither rule has an exception for retries. One that names a limit gets
//! this entry's share of it.
//!
//! With many entries, a load report is stale by the time the entry sends to that
//! upstream again, and all entries choose the same upstreams that were last reported idle.
//! So each entry prefers a deterministic subset of equal size, adjacent in the
//! order of names, and uses other upstreams only once its subset is full.
//!
//! An upstream whose engine is so slow that one request there delays its whole group is avoided
//! while another one has room.

mod limits;
mod room;
mod slow;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{ServiceName, Time, UpstreamName, ZoneName};
use rand::{Rng, RngExt};

use self::limits::next_allowance;
use self::room::{Room, StaleSends};
use self::slow::SlowUpstreams;
use crate::upstream::{Cold, Upstream};
use crate::{
    ColdLimit, FleetState, LimitView, Load, Outcome, RateLimit, Record, Stage, UpstreamEvent,
};

pub use self::room::QueueBound;
pub use self::slow::{PaceChange, Relief};

/// Load added to the score of an upstream in another availability zone.
const ZONE_PENALTY: f64 = 0.02;
/// Upper bound of the random load that keeps entries from making the same choice.
const MAX_JITTER: f64 = 0.04;
/// Number of entries whose subsets contain the same upstream.
///
/// With more than one, a busy entry can use capacity that the others leave free.
const ENTRIES_PER_UPSTREAM: usize = 3;
/// Minimum number of upstreams in the subset of an entry.
const MIN_SUBSET_SIZE: usize = 4;
/// Largest part of a service's upstreams that is avoided after ejection.
///
/// If more are ejected, ejections are ignored, because the cause lies elsewhere.
const MAX_EJECTED_RATIO: f64 = 0.4;
/// Time for which an upstream is avoided after it refused a request because it was full.
const FULL_BACKOFF: Duration = Duration::from_millis(100);
/// Smallest and largest burst that an entry may send to a cold upstream, in requests.
const COLD_BURST_RANGE: (f64, f64) = (1.0, 2.0);
/// Part of the capacity that is left beside the usual load.
const SPARE_RATIO: f64 = 0.4;
/// Part of the rate limit of a cold upstream that all entries together use.
const COLD_RATIO: f64 = 0.8;

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Requests that may queue at an upstream, per slot.
    pub queue: f64,
}

/// Request for which an upstream is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service whose upstreams are considered.
    pub service: &'a ServiceName,
    /// Upstreams already tried; chosen only if there is no other.
    pub tried: &'a [UpstreamName],
    /// Whether the request may queue at a full upstream.
    pub may_queue: bool,
    /// Bound on its wait at an upstream; `None` if only that of the balancer applies.
    pub bound: Option<QueueBound>,
}

/// In-flight request at an upstream; passed to [`Balancer::finish`] when it has ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Upstream that the request was sent to.
    pub upstream: UpstreamName,
    /// Start of the upstream, ms since the Unix epoch.
    pub born: u64,
}

/// Chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Ticket for [`Balancer::finish`].
    pub ticket: Ticket,
    /// Address of the upstream.
    pub address: std::net::SocketAddr,
    /// Estimated requests at the upstream before this one.
    pub outstanding: f64,
    /// Number of upstreams that were compared.
    pub candidates: usize,
}

/// Reason why no upstream is chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no upstream in service.
    #[display("no upstream in service")]
    Empty,
    /// All upstreams are full.
    #[display("all upstreams full")]
    Full,
    /// Only cold upstreams are left, and this entry's share of their rate is used up.
    #[display("upstreams cold")]
    Cold,
    /// The limits that upstreams named are used up; this entry may use the first one again after
    /// this time, if it has a share of any.
    #[display("limits of upstreams used up")]
    Limited(Option<Duration>),
    /// All upstreams asked for a backoff; the first one ends after this time.
    #[display("all upstreams asked for a backoff")]
    Backoff(Duration),
}

/// Number of upstreams by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// In service without restriction.
    pub usable: usize,
    /// Cold and rate-limited.
    pub cold: usize,
    /// Ejected after failures.
    pub ejected: usize,
    /// Avoided because they asked for a backoff.
    pub backoff: usize,
    /// In service, with a limit that they named in an answer.
    pub limited: usize,
    /// Avoided because they are slow.
    pub slow: usize,
    /// Draining, leaving, or in a closed zone.
    pub out: usize,
    /// In-flight requests of this entry at all upstreams.
    pub in_flight: usize,
}

/// Position of an entry among all entries that accept callers, in their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryPosition {
    /// Number of entries that precede it.
    pub index: usize,
    /// Number of entries; 0 is treated as 1.
    pub count: usize,
}

impl EntryPosition {
    /// Returns the position of `own` among `entries`; `None` if it is not one of them.
    pub fn among<E>(own: &E, entries: &[E]) -> Option<Self>
    where
        E: Ord,
    {
        let index = entries.iter().filter(|e| *e < own).count();
        let count = entries.len();
        entries.contains(own).then_some(Self { index, count })
    }

    /// Start of the entry's subset among `upstreams` upstreams.
    fn subset_start(self, upstreams: usize) -> usize {
        self.index * upstreams / self.count.max(1) % upstreams.max(1)
    }

    /// Size of the entry's subset among `upstreams` upstreams.
    fn subset_size(self, upstreams: usize) -> usize {
        (upstreams * ENTRIES_PER_UPSTREAM)
            .div_ceil(self.count.max(1))
            .max(MIN_SUBSET_SIZE)
    }
}

/// Load balancer of one entry.
#[derive(Debug)]
pub struct Balancer {
    options: BalancerOptions,
    position: EntryPosition,
    entries: usize,
    closed: BTreeSet<ZoneName>,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    cold_limits: BTreeMap<ServiceName, ColdLimit>,
    /// Limits that all entries share.
    shared_limits: LimitView,
    stale_sends: StaleSends,
    /// Upstreams listed as slow, and the pace from which they are avoided.
    slow: SlowUpstreams,
}

impl Balancer {
    /// Creates a balancer without upstreams.
    pub fn new(options: BalancerOptions) -> Self {
        Self {
            options,
            position: EntryPosition::default(),
            entries: 1,
            closed: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            cold_limits: BTreeMap::new(),
            shared_limits: LimitView::default(),
            stale_sends: StaleSends::default(),
            slow: SlowUpstreams::default(),
        }
    }

    /// Sets the number of entries that share the limits.
    pub fn set_entries(&mut self, entries: usize, now: Time) {
        if self.entries == entries.max(1) {
            return;
        }
        self.entries = entries.max(1);
        for upstream in self.upstreams.values_mut() {
            if let Some(cold) = &mut upstream.cold {
                let (size, rate) = cold_share(cold.total_rate, self.entries);
                cold.limit.resize(size, rate, now);
            }
        }
        self.divide_limits(now);
    }

    /// Sets the position of this entry, which determines its subset and its shares of limits.
    pub fn set_position(&mut self, position: EntryPosition, now: Time) {
        if self.position != position {
            self.position = position;
            self.divide_limits(now);
        }
    }

    /// Sets the limit of cold upstreams by service; applies to upstreams that become cold later.
    pub fn set_cold_limits(&mut self, cold_limits: BTreeMap<ServiceName, ColdLimit>) {
        self.cold_limits = cold_limits;
    }

    /// Replaces closed zones and upstreams by those of the shared state; returns what changed.
    pub fn update<I>(
        &mut self,
        closed: BTreeSet<ZoneName>,
        records: I,
        now: Time,
    ) -> Vec<UpstreamEvent>
    where
        I: IntoIterator<Item = Record>,
    {
        self.closed = closed;
        let mut old = std::mem::take(&mut self.upstreams);
        let mut events = Vec::new();
        for record in records {
            let previous = old.remove(&record.announcement.upstream);
            let before = previous.as_ref().map(|p| &p.record);
            events.extend(UpstreamEvent::between(before, Some(&record)));
            let upstream = self.refresh(previous, record, now);
            self.upstreams
                .insert(upstream.record.announcement.upstream.clone(), upstream);
        }
        self.divide_limits(now);
        self.apply_paces();
        let removed = old.values().map(|p| &p.record);
        events.extend(removed.filter_map(|r| UpstreamEvent::between(Some(r), None)));
        events
    }

    /// Records of all upstreams.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.upstreams.values().map(|u| &u.record)
    }

    /// Closed availability zones.
    pub fn closed(&self) -> &BTreeSet<ZoneName> {
        &self.closed
    }

    /// Counts the upstreams by state.
    pub fn counts(&self, now: Time) -> UpstreamCounts {
        let mut counts = UpstreamCounts::default();
        for upstream in self.upstreams.values() {
            let announcement = &upstream.record.announcement;
            let count = if announcement.stage == Stage::Draining
                || upstream.leaving
                || self.closed.contains(&announcement.zone)
            {
                &mut counts.out
            } else if now < upstream.backoff_until {
                &mut counts.backoff
            } else if upstream.is_ejected(now) {
                &mut counts.ejected
            } else if upstream.is_cold(now) {
                &mut counts.cold
            } else if upstream.pace > self.avoided_pace(&announcement.service) {
                &mut counts.slow
            } else if upstream.limit.is_some() {
                &mut counts.limited
            } else {
                &mut counts.usable
            };
            *count += 1;
            counts.in_flight += upstream.in_flight as usize;
        }
        counts
    }

    /// Requests per second that this entry may send to a service beside the usual load.
    ///
    /// `usual` is the usual duration of a request.
    pub fn spare_rate(&self, service: &ServiceName, usual: Duration, now: Time) -> f64 {
        let serving = self.upstreams.values().filter(|u| {
            let announcement = &u.record.announcement;
            let open = !self.closed.contains(&announcement.zone);
            announcement.service == *service && !u.gone && !u.leaving && open
        });
        let rates = serving.map(|u| {
            let warm = f64::from(u.slots()) / usual.as_secs_f64().max(f64::EPSILON);
            let cold = u.cold.as_ref().filter(|c| now < c.until);
            let warm = cold.map_or(warm, |c| warm.min(c.total_rate * COLD_RATIO));
            u.limit.map_or(warm, |l| warm.min(l.rate.used()))
        });
        rates.sum::<f64>() * SPARE_RATIO / self.entries as f64
    }

    /// Applies the whole shared state without reporting changes; see [`update`](Self::update).
    pub fn update_from_state(&mut self, state: &FleetState, now: Time) {
        let records: Vec<Record> = state.upstreams().values().cloned().collect();
        // Events are needed only by callers that follow every change of the state.
        let _ = self.update(state.closed().clone(), records, now);
    }

    fn refresh(&self, previous: Option<Upstream>, record: Record, now: Time) -> Upstream {
        let previous = previous.filter(|p| p.record.announcement.born == record.announcement.born);
        let became_cold = previous
            .as_ref()
            .is_none_or(|p| p.record.cold_index != record.cold_index);
        let limit = self.cold_limits.get(&record.announcement.service);
        let mut upstream = match previous {
            Some(mut upstream) => {
                if upstream.record.announcement.address != record.announcement.address {
                    upstream.gone = false;
                }
                upstream.record = record;
                upstream
            }
            None => {
                let mut upstream = Upstream::new(record);
                upstream.limit = self.known_limit(&upstream, now);
                upstream
            }
        };
        let cold_ms = upstream.record.announcement.cold_ms;
        if cold_ms == 0 {
            upstream.cold = None;
        } else if let (true, Some(limit)) = (became_cold, limit) {
            let (size, rate) = cold_share(limit.rate, self.entries);
            upstream.cold = Some(Cold {
                until: now + Duration::from_millis(u64::from(cold_ms)),
                total_rate: limit.rate,
                limit: RateLimit::new(size, rate, now),
            });
        }
        upstream
    }

    /// Records the load reported by an upstream.
    pub fn report_load(&mut self, upstream: &UpstreamName, load: Load, now: Time) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.report_load(load, now);
        }
    }

    /// Records that an upstream is shutting down; true if that is new.
    pub fn record_leaving(&mut self, ticket: &Ticket) -> bool {
        let upstream = self.ticket_upstream(ticket);
        upstream.is_some_and(|u| !std::mem::replace(&mut u.leaving, true))
    }

    /// Records that an upstream asks this entry for no requests for `backoff`.
    pub fn record_backoff(&mut self, ticket: &Ticket, backoff: Duration, now: Time) {
        if let Some(upstream) = self.ticket_upstream(ticket) {
            upstream.backoff_until = upstream.backoff_until.max(now + backoff);
        }
    }

    /// Returns the upstream of a ticket unless it has restarted since.
    fn ticket_upstream(&mut self, ticket: &Ticket) -> Option<&mut Upstream> {
        let upstream = self.upstreams.get_mut(&ticket.upstream);
        upstream.filter(|u| u.record.announcement.born == ticket.born)
    }

    /// Chooses an upstream and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Fails if the service has no upstream in service, if all are full or asked for a backoff,
    /// or if only saturated cold upstreams, or those at their limits, are left.
    pub fn choose<R>(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Time,
        rng: &mut R,
    ) -> Result<Choice, Refusal>
    where
        R: Rng,
    {
        let avoided_pace = self.avoided_pace(request.service);
        let mut eligible: Vec<&mut Upstream> = self
            .upstreams
            .values_mut()
            .filter(|u| u.record.announcement.service == *request.service)
            .filter(|u| u.record.announcement.stage == Stage::Ready && !u.gone && !u.leaving)
            .filter(|u| !self.closed.contains(&u.record.announcement.zone))
            .collect();
        if eligible.is_empty() {
            return Err(Refusal::Empty);
        }
        // Moves the subset to the front before other filters, so that all entries divide the same list.
        let (start, subset) = (
            self.position.subset_start(eligible.len()),
            self.position.subset_size(eligible.len()),
        );
        eligible.rotate_left(start);
        let backoff_end = eligible.iter().map(|u| u.backoff_until).min();
        eligible.retain(|u| now >= u.backoff_until);
        if let (true, Some(end)) = (eligible.is_empty(), backoff_end) {
            return Err(Refusal::Backoff(end.since(now)));
        }
        let is_new = |u: &Upstream| !request.tried.contains(&u.record.announcement.upstream);
        if eligible.iter().any(|u| is_new(u)) {
            eligible.retain(|u| is_new(u));
        }
        let ejected = eligible.iter().filter(|u| u.is_ejected(now)).count();
        if ejected < eligible.len() && ejected as f64 <= eligible.len() as f64 * MAX_EJECTED_RATIO {
            eligible.retain(|u| !u.is_ejected(now));
        }
        eligible.retain_mut(|u| !u.is_saturated(now));
        if eligible.is_empty() {
            return Err(Refusal::Cold);
        }
        if eligible.iter_mut().all(|u| u.is_limited(now)) {
            let next = next_allowance(eligible, now);
            return Err(Refusal::Limited(next));
        }
        eligible.retain_mut(|u| !u.is_limited(now));
        let room = Room {
            queue: self.options.queue,
            entries: self.entries,
            now,
        };
        room.retain(&mut eligible, request, &mut self.stale_sends)?;
        if eligible.iter().any(|u| u.pace <= avoided_pace) {
            eligible.retain(|u| u.pace <= avoided_pace);
        }
        let is_free = |u: &&mut Upstream| u.outstanding() < f64::from(u.slots());
        if eligible.iter().take(subset).any(is_free) {
            eligible.truncate(subset);
        }
        let candidates = eligible.len();
        let zone = &self.options.zone;
        let mut score = |u: &Upstream| {
            let penalty = if u.record.announcement.zone == *zone {
                0.0
            } else {
                ZONE_PENALTY
            };
            let load = u.outstanding() / f64::from(u.slots()) * u.pace;
            load + penalty + rng.random_range(0.0..MAX_JITTER)
        };
        let scored = eligible.into_iter().map(|u| (score(u), u));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, upstream)) = best else {
            return Err(Refusal::Empty);
        };
        let outstanding = upstream.outstanding();
        upstream.record_send(now);
        let announcement = &upstream.record.announcement;
        Ok(Choice {
            ticket: Ticket {
                upstream: announcement.upstream.clone(),
                born: announcement.born,
            },
            address: announcement.address,
            outstanding,
            candidates,
        })
    }

    /// Records the outcome of a request; true if its upstream is ejected because of it.
    pub fn finish(&mut self, ticket: &Ticket, outcome: Outcome, now: Time) -> bool {
        let Some(upstream) = self.ticket_upstream(ticket) else {
            return false;
        };
        if outcome == Outcome::Full {
            upstream.full_until = now + FULL_BACKOFF;
        }
        let eject = upstream.record_outcome(outcome, now);
        if eject {
            upstream.health.eject(now);
        }
        eject
    }

    /// Records that an upstream fails a request that still runs there; returns whether this ejects it.
    pub fn record_failure(&mut self, ticket: &Ticket, now: Time) -> bool {
        let Some(upstream) = self.ticket_upstream(ticket) else {
            return false;
        };
        let eject = upstream.record_failure(now);
        if eject {
            upstream.health.eject(now);
        }
        eject
    }
}

/// Returns the burst and the requests per second that one of `entries` entries may send to a
/// cold upstream limited to `rate` requests per second.
fn cold_share(rate: f64, entries: usize) -> (f64, f64) {
    let share = rate * COLD_RATIO / entries as f64;
    (share.clamp(COLD_BURST_RANGE.0, COLD_BURST_RANGE.1), share)
}
