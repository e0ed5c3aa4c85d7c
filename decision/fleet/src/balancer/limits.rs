//! Limits of upstreams in the balancer of one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::{ServiceName, Time};

use super::{Balancer, Ticket};
use crate::limit::{LimitReport, LimitView, SharePlace, UpstreamLimit};
use crate::upstream::Upstream;
use crate::{RequestRate, Stage};

impl Balancer {
    /// Records the limit that an answer names, or that it names none; `sent_at` is the time of its
    /// request. Returns what has changed.
    pub fn record_limit(
        &mut self,
        ticket: &Ticket,
        rate: Option<RequestRate>,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitReport> {
        let upstream = self.ticket_upstream(ticket)?;
        if !upstream.record_limit(rate, sent_at, now) {
            return None;
        }
        self.divide_limits(now);
        Some(LimitReport {
            upstream: ticket.upstream.clone(),
            born: ticket.born,
            rate,
        })
    }

    /// Limits as all entries share them.
    pub fn shared_limits(&self) -> &LimitView {
        &self.shared_limits
    }

    /// Replaces the limits that all entries share; what has changed replaces the own observations.
    pub fn update_limits(&mut self, view: LimitView, now: Time) {
        let before = std::mem::replace(&mut self.shared_limits, view);
        for (name, upstream) in &mut self.upstreams {
            let born = upstream.record.announcement.born;
            let rate = self.shared_limits.rate(name, born);
            if rate != before.rate(name, born) {
                upstream.record_limit(rate, now, now);
            }
        }
        self.divide_limits(now);
    }

    /// Returns the limit that all entries share for an upstream that is new to this one.
    pub(super) fn known_limit(&self, upstream: &Upstream, now: Time) -> Option<UpstreamLimit> {
        let announcement = &upstream.record.announcement;
        let rate = self
            .shared_limits
            .rate(&announcement.upstream, announcement.born);
        rate.map(|rate| UpstreamLimit::new(rate, now))
    }

    /// Sets this entry's share of each limit.
    ///
    /// Depends on the shared state only, so that all entries divide the limits alike.
    pub(super) fn divide_limits(&mut self, now: Time) {
        if self.upstreams.values().all(|u| u.limit.is_none()) {
            return;
        }
        let mut services: BTreeMap<ServiceName, Vec<&mut Upstream>> = BTreeMap::new();
        for upstream in self.upstreams.values_mut() {
            let announcement = &upstream.record.announcement;
            let closed = self.closed.contains(&announcement.zone);
            if announcement.stage == Stage::Ready && !closed {
                let service = announcement.service.clone();
                services.entry(service).or_default().push(upstream);
            }
        }
        for serving in services.values_mut() {
            let upstreams = serving.len();
            for (index, upstream) in serving.iter_mut().enumerate() {
                if let Some(limit) = &mut upstream.limit {
                    let place = SharePlace {
                        index,
                        upstreams,
                        position: self.position,
                        entries: self.entries,
                    };
                    limit.set_share(place.share(limit.rate), now);
                }
            }
        }
    }
}

/// Returns the time until the first of these upstreams may get a request; `None` if this entry has
/// no share of any limit.
pub(super) fn next_allowance<'a, I>(limited: I, now: Time) -> Option<Duration>
where
    I: IntoIterator<Item = &'a mut Upstream>,
{
    let limits = limited.into_iter().filter_map(|u| u.limit.as_mut());
    limits.filter_map(|l| l.allowance.time_until_one(now)).min()
}
