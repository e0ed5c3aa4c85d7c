//! Bound on the requests that wait at an upstream, for requests that have to begin in time.
//!
//! An entry sees the sends of others only when an upstream answers one of its own. If each
//! entry took all that an upstream can have finished since as room, they would together fill its
//! queue; so each takes its share, or what it has seen end, whichever is more. For the same reason
//! the streams that it has sent and that have not begun stay within its share of the room that it
//! knows of: at the onset of a burst all entries see the same room. An entry that has
//! nothing at upstreams last reported very full would wait long for its share. Once an upstream has
//! had the time to finish its whole excess, the entry may send there to learn its load, at a part
//! of its share of the service's rate.

use std::time::Duration;

use pimentotide_model::{ServiceName, Time};

use super::{Balancer, ChoiceRequest, Refusal, Ticket};
use crate::upstream::Upstream;
use crate::{Outcome, RateLimit};

/// Weight of the latest duration of a request at an upstream.
const DURATION_WEIGHT: f64 = 0.1;
/// Requests that an entry may always have sent without an answer yet.
const MIN_UNANSWERED: f64 = 3.0;
/// Part of an entry's share of a service's rate that it sends by reports without effect.
const STALE_RATIO: f64 = 0.25;
/// Burst of the sends to upstreams whose reports have lost their effect, requests.
const STALE_BURST: f64 = 1.0;

/// Bound on the wait of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBound {
    /// Longest wait there.
    pub wait: Duration,
    /// Usual duration of a request at an upstream that has finished none yet.
    pub usual: Duration,
    /// Whether an answer begins before it is complete.
    pub streams: bool,
}

impl QueueBound {
    fn usual_at(&self, upstream: &Upstream) -> Duration {
        upstream.usual.unwrap_or(self.usual)
    }

    /// Returns the requests that may be outstanding at an upstream, which has at most `queue` for
    /// each slot beyond those running.
    fn max_outstanding(&self, upstream: &Upstream, queue: f64) -> f64 {
        let usual = self.usual_at(upstream).as_secs_f64().max(f64::EPSILON);
        let slots = f64::from(upstream.slots());
        slots + (slots * queue.min(self.wait.as_secs_f64() / usual)).round()
    }

    /// Requests per second that an upstream usually finishes.
    pub(super) fn rate_of(&self, upstream: &Upstream) -> f64 {
        let usual = self.usual_at(upstream).as_secs_f64().max(f64::EPSILON);
        f64::from(upstream.slots()) / usual
    }

    /// Whether an upstream has room, by its last report and what this entry, one of `entries`, has
    /// sent and may count as finished since.
    pub(super) fn has_room(
        &self,
        upstream: &Upstream,
        queue: f64,
        entries: usize,
        now: Time,
    ) -> bool {
        let finished = self.rate_of(upstream) * upstream.report_age(now).as_secs_f64();
        let outstanding = upstream.outstanding_after(finished / entries.max(1) as f64);
        let max_outstanding = self.max_outstanding(upstream, queue);
        now >= upstream.full_until
            && outstanding < max_outstanding
            && self.is_answering(upstream, max_outstanding - outstanding, entries)
    }

    /// Whether an upstream has begun to answer enough of what this entry sent, given its `room`.
    fn is_answering(&self, upstream: &Upstream, room: f64, entries: usize) -> bool {
        let unanswered = f64::from(upstream.unanswered);
        let share = (room + unanswered) / entries.max(1) as f64;
        !self.streams || unanswered < share.max(1.0)
    }

    /// Whether this entry, one of `entries`, may send another request before upstreams have begun to
    /// answer those sent.
    pub(super) fn is_open<'a, U>(&self, upstreams: U, queue: f64, entries: usize) -> bool
    where
        U: IntoIterator<Item = &'a Upstream>,
    {
        let (mut unanswered, mut room) = (0.0, 0.0);
        for upstream in upstreams {
            unanswered += f64::from(upstream.unanswered);
            room += (self.max_outstanding(upstream, queue) - upstream.outstanding()).max(0.0);
        }
        let share = (room + unanswered) / entries.max(1) as f64;
        !self.streams || unanswered < share.max(MIN_UNANSWERED)
    }

    /// Whether an upstream has had the time to finish the reported excess.
    pub(super) fn is_stale(&self, upstream: &Upstream, queue: f64, now: Time) -> bool {
        let finished = self.rate_of(upstream) * upstream.report_age(now).as_secs_f64();
        let left = upstream.outstanding_after(finished);
        let is_unanswered = self.streams && upstream.unanswered > 0;
        now >= upstream.full_until && !is_unanswered && left < self.max_outstanding(upstream, queue)
    }
}

impl Balancer {
    /// Records that an upstream has begun to answer a request.
    pub fn record_begun(&mut self, ticket: &Ticket) {
        if let Some(upstream) = self.ticket_upstream(ticket) {
            upstream.unanswered = upstream.unanswered.saturating_sub(1);
        }
    }

    /// Records the outcome of a request that its upstream has not begun to answer; see
    /// [`finish`](Self::finish).
    pub fn finish_unanswered(&mut self, ticket: &Ticket, outcome: Outcome, now: Time) -> bool {
        self.record_begun(ticket);
        self.finish(ticket, outcome, now)
    }

    /// Records the time from sending a request until its upstream had finished it.
    pub fn record_duration(&mut self, ticket: &Ticket, duration: Duration) {
        if let Some(upstream) = self.ticket_upstream(ticket) {
            let usual = upstream.usual.unwrap_or(duration);
            upstream.usual =
                Some(usual.mul_f64(1.0 - DURATION_WEIGHT) + duration.mul_f64(DURATION_WEIGHT));
        }
    }
}

/// Room at the upstreams in the view of one entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// Requests that may queue at an upstream, per slot.
    pub(super) queue: f64,
    /// Number of entries that share the room.
    pub(super) entries: usize,
    pub(super) now: Time,
}

impl Room {
    /// Keeps the upstreams with room for a request, or those where it may go without.
    ///
    /// # Errors
    ///
    /// Fails if the request may go to none of them.
    pub(super) fn retain(
        self,
        eligible: &mut Vec<&mut Upstream>,
        request: &ChoiceRequest<'_>,
        stale_sends: &mut StaleSends,
    ) -> Result<(), Refusal> {
        let Self {
            queue,
            entries,
            now,
        } = self;
        let bound = request.bound.as_ref();
        if bound.is_some_and(|b| !b.is_open(eligible.iter().map(|u| &**u), queue, entries)) {
            return Err(Refusal::Full);
        }
        let has_room = |u: &Upstream| match bound {
            Some(bound) => bound.has_room(u, queue, entries, now),
            None => u.has_room(queue, now),
        };
        if eligible.iter().any(|u| has_room(u)) {
            eligible.retain(|u| has_room(u));
        } else if let Some(bound) = bound {
            let rate: f64 = eligible.iter().map(|u| bound.rate_of(u)).sum();
            eligible.retain(|u| bound.is_stale(u, queue, now));
            let share = rate / entries as f64;
            if eligible.is_empty() || !stale_sends.take(request.service, share, now) {
                return Err(Refusal::Full);
            }
        } else if !request.may_queue {
            return Err(Refusal::Full);
        }
        Ok(())
    }
}

/// Sends of an entry to upstreams whose reports have lost their effect, by service.
#[derive(Debug, Default)]
pub(super) struct StaleSends(std::collections::BTreeMap<ServiceName, RateLimit>);

impl StaleSends {
    /// Takes one send if this entry's share of the service's rate is `share` per second; false if
    /// none is left.
    pub(super) fn take(&mut self, service: &ServiceName, share: f64, now: Time) -> bool {
        let rate = share * STALE_RATIO;
        let new = || RateLimit::new(STALE_BURST, rate, now);
        let limit = self.0.entry(service.clone()).or_insert_with(new);
        limit.resize(STALE_BURST, rate, now);
        limit.take(now)
    }
}
