//! Choice of the upstream of a request at one entry.
//!
//! The least loaded upstream is chosen among those that are in service. Load is
//! what the upstream last told plus what this entry has sent there since. An
//! upstream that fails is ejected for a while, but never so many that less than
//! a part of the service is left, because then the cause lies elsewhere. An
//! upstream that is cold gets this entry's share of what it bears.
//!
//! With many entries, what an upstream told one of them is long out of date when
//! it sends there again, and all go for the same upstreams that once were idle.
//! So each entry keeps to a few upstreams, next to each other in the order of
//! names and as many for each entry, and knows these well; it takes others only
//! once its own are full.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{ServiceName, Time, UpstreamName, ZoneName};
use rand::{Rng, RngExt};

use crate::upstream::{Cold, Upstream};
use crate::{ColdLimit, FleetState, Load, Outcome, RateLimit, Record, Stage, UpstreamEvent};

/// Load by which an upstream in another availability zone counts as more loaded.
const ZONE_PENALTY: f64 = 0.02;
/// Random load that keeps entries from choosing alike.
const JITTER: f64 = 0.04;
/// Entries that keep to the same upstream, so that a busy one finds room beside its neighbours.
const SHARED_BY: usize = 3;
/// Upstreams that an entry keeps to at least.
const LEAST_OWN: usize = 4;
/// Part of a service's upstreams that may be ejected at once.
const MOST_EJECTED: f64 = 0.4;
/// Time for which an upstream that refused for want of room is avoided.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Requests that an entry may send to a cold upstream at once, at least and at most.
const COLD_BURST: (f64, f64) = (1.0, 2.0);
/// Part of what upstreams bear that is left beside the usual load.
const SPARE_PART: f64 = 0.4;
/// Part of what a cold upstream bears that all entries together use.
const COLD_PART: f64 = 0.8;

/// What a balancer is built with.
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Requests that may wait at an upstream for each of its slots.
    pub queue: f64,
}

/// Request that looks for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Upstreams that it was sent to already; chosen only if there is no other.
    pub tried: &'a [UpstreamName],
    /// Whether it may wait at an upstream that is full.
    pub may_queue: bool,
}

/// Request under way at an upstream; handed back when it has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Upstream.
    pub upstream: UpstreamName,
    /// Start of the upstream, ms of the Unix epoch.
    pub born: u64,
}

/// Upstream chosen, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Ticket to hand back.
    pub ticket: Ticket,
    /// Address.
    pub address: std::net::SocketAddr,
    /// Requests thought to be there before this one.
    pub outstanding: f64,
    /// Upstreams among which it was chosen.
    pub candidates: usize,
}

/// Why no upstream is chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream of the service is in service.
    #[display("no upstream in service")]
    Empty,
    /// Every upstream has as much as it can take.
    #[display("all upstreams full")]
    Full,
    /// Only cold upstreams are left, and they bear no more for now.
    #[display("upstreams cold")]
    Cold,
}

/// Number of upstreams in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// Takes new work.
    pub usable: usize,
    /// Takes little, since it is cold.
    pub cold: usize,
    /// Avoided after failures.
    pub ejected: usize,
    /// Draining, or in a zone out of service.
    pub out: usize,
    /// Requests of this entry under way at all of them.
    pub in_flight: usize,
}

/// Place of an entry among all that take callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryPosition {
    /// Entries that come before it.
    pub index: usize,
    /// All entries, at least one.
    pub count: usize,
}

impl EntryPosition {
    /// Finds the place of one of the entries; none if it is not among them.
    pub fn among<E>(own: &E, entries: &[E]) -> Option<Self>
    where
        E: Ord,
    {
        let before = entries.iter().filter(|e| *e < own).count();
        let all = entries.len();
        entries.contains(own).then_some(Self {
            index: before,
            count: all,
        })
    }

    /// First of `count` upstreams that the entry keeps to.
    fn first_of(self, count: usize) -> usize {
        self.index * count / self.count.max(1) % count.max(1)
    }

    /// Number of upstreams that the entry keeps to.
    fn own_of(self, count: usize) -> usize {
        (count * SHARED_BY)
            .div_ceil(self.count.max(1))
            .max(LEAST_OWN)
    }
}

/// Upstreams as one entry sees them.
#[derive(Debug)]
pub struct Balancer {
    options: BalancerOptions,
    place: EntryPosition,
    entries: usize,
    closed: BTreeSet<ZoneName>,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    colds: BTreeMap<ServiceName, ColdLimit>,
}

impl Balancer {
    /// Starts without upstreams.
    pub fn new(options: BalancerOptions) -> Self {
        Self {
            options,
            place: EntryPosition::default(),
            entries: 1,
            closed: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            colds: BTreeMap::new(),
        }
    }

    /// Number of entries among which limits are divided.
    pub fn set_entries(&mut self, entries: usize, now: Time) {
        if self.entries == entries.max(1) {
            return;
        }
        self.entries = entries.max(1);
        for upstream in self.upstreams.values_mut() {
            if let Some(cold) = &mut upstream.cold {
                let (size, rate) = cold_share(cold.bears, self.entries);
                cold.limit.resize(size, rate, now);
            }
        }
    }

    /// Place of this entry, by which it keeps to its own upstreams.
    pub fn set_position(&mut self, place: EntryPosition) {
        self.place = place;
    }

    /// What upstreams of each service bear while they are cold.
    pub fn set_cold_limits(&mut self, colds: BTreeMap<ServiceName, ColdLimit>) {
        self.colds = colds;
    }

    /// Takes over the shared state of zones and upstreams; returns what is new of each upstream.
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
        let mut news = Vec::new();
        for record in records {
            let known = old.remove(&record.announcement.upstream);
            let before = known.as_ref().map(|k| &k.record);
            news.extend(UpstreamEvent::between(before, Some(&record)));
            let upstream = self.renew(known, record, now);
            self.upstreams
                .insert(upstream.record.announcement.upstream.clone(), upstream);
        }
        let left = old.values().map(|k| &k.record);
        news.extend(left.filter_map(|k| UpstreamEvent::between(Some(k), None)));
        news
    }

    /// Availability zones out of service.
    pub fn closed(&self) -> &BTreeSet<ZoneName> {
        &self.closed
    }

    /// Upstreams known, by what may be sent to them.
    pub fn counts(&self, now: Time) -> UpstreamCounts {
        let mut census = UpstreamCounts::default();
        for upstream in self.upstreams.values() {
            let said = &upstream.record.announcement;
            let count = if said.stage == Stage::Draining || self.closed.contains(&said.zone) {
                &mut census.out
            } else if upstream.is_ejected(now) {
                &mut census.ejected
            } else if upstream.is_cold(now) {
                &mut census.cold
            } else {
                &mut census.usable
            };
            *count += 1;
            census.in_flight += upstream.mine as usize;
        }
        census
    }

    /// Requests a second that this entry may send a service beside the usual load.
    ///
    /// `usual` is the time that a request takes there.
    pub fn spare_rate(&self, service: &ServiceName, usual: Duration, now: Time) -> f64 {
        let serving = self.upstreams.values().filter(|u| {
            let said = &u.record.announcement;
            said.service == *service && !u.gone && !self.closed.contains(&said.zone)
        });
        let rates = serving.map(|u| {
            let warm = f64::from(u.slots()) / usual.as_secs_f64().max(f64::EPSILON);
            let cold = u.cold.as_ref().filter(|c| now < c.until);
            cold.map_or(warm, |c| warm.min(c.bears * COLD_PART))
        });
        rates.sum::<f64>() * SPARE_PART / self.entries as f64
    }

    /// Takes over the whole shared state, as [`update`](Self::update).
    pub fn update_from_state(&mut self, state: &FleetState, now: Time) {
        let records: Vec<Record> = state.upstreams().values().cloned().collect();
        // What is new is told only where the state is followed.
        let _ = self.update(state.closed().clone(), records, now);
    }

    fn renew(&self, known: Option<Upstream>, record: Record, now: Time) -> Upstream {
        let known = known.filter(|k| k.record.announcement.born == record.announcement.born);
        let chilled = known
            .as_ref()
            .is_none_or(|k| k.record.cold_index != record.cold_index);
        let limit = self.colds.get(&record.announcement.service);
        let mut upstream = match known {
            Some(mut upstream) => {
                if upstream.record.announcement.address != record.announcement.address {
                    upstream.gone = false;
                }
                upstream.record = record;
                upstream
            }
            None => Upstream::new(record),
        };
        let cold_ms = upstream.record.announcement.cold_ms;
        if cold_ms == 0 {
            upstream.cold = None;
        } else if let (true, Some(limit)) = (chilled, limit) {
            let (size, rate) = cold_share(limit.rate, self.entries);
            upstream.cold = Some(Cold {
                until: now + Duration::from_millis(u64::from(cold_ms)),
                bears: limit.rate,
                limit: RateLimit::new(size, rate, now),
            });
        }
        upstream
    }

    /// Notes the load that an upstream told.
    pub fn report_load(&mut self, upstream: &UpstreamName, load: Load, now: Time) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.tell(load, now);
        }
    }

    /// Chooses an upstream and counts the request there.
    ///
    /// # Errors
    ///
    /// Fails if no upstream can take the request now.
    pub fn choose<R>(
        &mut self,
        ask: &ChoiceRequest<'_>,
        now: Time,
        rng: &mut R,
    ) -> Result<Choice, Refusal>
    where
        R: Rng,
    {
        let mut fit: Vec<&mut Upstream> = self
            .upstreams
            .values_mut()
            .filter(|u| u.record.announcement.service == *ask.service)
            .filter(|u| u.record.announcement.stage == Stage::Ready && !u.gone)
            .filter(|u| !self.closed.contains(&u.record.announcement.zone))
            .collect();
        if fit.is_empty() {
            return Err(Refusal::Empty);
        }
        // The own upstreams come first, by places that all entries count alike.
        let (first, own) = (self.place.first_of(fit.len()), self.place.own_of(fit.len()));
        fit.rotate_left(first);
        let is_new = |u: &Upstream| !ask.tried.contains(&u.record.announcement.upstream);
        if fit.iter().any(|u| is_new(u)) {
            fit.retain(|u| is_new(u));
        }
        let ejected = fit.iter().filter(|u| u.is_ejected(now)).count();
        if ejected < fit.len() && ejected as f64 <= fit.len() as f64 * MOST_EJECTED {
            fit.retain(|u| !u.is_ejected(now));
        }
        fit.retain_mut(|u| !u.is_saturated(now));
        if fit.is_empty() {
            return Err(Refusal::Cold);
        }
        let queue = self.options.queue;
        let has_room =
            |u: &Upstream| now >= u.full && u.outstanding() < f64::from(u.slots()) * (1.0 + queue);
        if fit.iter().any(|u| has_room(u)) {
            fit.retain(|u| has_room(u));
        } else if !ask.may_queue {
            return Err(Refusal::Full);
        }
        let is_free = |u: &&mut Upstream| u.outstanding() < f64::from(u.slots());
        if fit.iter().take(own).any(is_free) {
            fit.truncate(own);
        }
        let candidates = fit.len();
        let zone = &self.options.zone;
        let mut score = |u: &Upstream| {
            let away = if u.record.announcement.zone == *zone {
                0.0
            } else {
                ZONE_PENALTY
            };
            u.outstanding() / f64::from(u.slots()) + away + rng.random_range(0.0..JITTER)
        };
        let scored = fit.into_iter().map(|u| (score(u), u));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, upstream)) = best else {
            return Err(Refusal::Empty);
        };
        let outstanding = upstream.outstanding();
        upstream.sent(now);
        let said = &upstream.record.announcement;
        Ok(Choice {
            ticket: Ticket {
                upstream: said.upstream.clone(),
                born: said.born,
            },
            address: said.address,
            outstanding,
            candidates,
        })
    }

    /// Notes how a request ended; true if its upstream was ejected for it.
    pub fn finish(&mut self, ticket: &Ticket, outcome: Outcome, now: Time) -> bool {
        let upstream = self.upstreams.get_mut(&ticket.upstream);
        let Some(upstream) = upstream.filter(|u| u.record.announcement.born == ticket.born) else {
            return false;
        };
        if outcome == Outcome::Full {
            upstream.full = now + FULL_PAUSE;
        }
        let eject = upstream.ended(outcome, now);
        if eject {
            upstream.health.eject(now);
        }
        eject
    }
}

/// Requests at once and a second that one of `entries` may send to a cold upstream that bears `rate`.
fn cold_share(rate: f64, entries: usize) -> (f64, f64) {
    let share = rate * COLD_PART / entries as f64;
    (share.clamp(COLD_BURST.0, COLD_BURST.1), share)
}
