//! Slow upstreams in the balancer of one entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pimentotide_model::{ServiceName, Time, UpstreamName};

use super::{Balancer, ChoiceRequest, Ticket};
use crate::upstream::Upstream;
use crate::{Engine, SlowEngine, Stage};

/// Largest part of a service's upstreams that is avoided because they are slow.
///
/// If more are slow, none is avoided, because the cause lies elsewhere.
const MAX_SLOW_RATIO: f64 = 0.25;

/// Upstreams listed as slow, and the pace from which they are avoided.
#[derive(Debug, Default)]
pub(super) struct SlowUpstreams {
    /// Pace relative to a normal engine, by address.
    paces: BTreeMap<SocketAddr, f64>,
    /// Pace above which an upstream of a service is avoided.
    limits: BTreeMap<ServiceName, f64>,
}

/// Changed pace of an upstream in the view of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// Upstream.
    pub upstream: UpstreamName,
    /// Time per unit of work relative to a normal upstream.
    pub pace: f64,
    /// Whether it gets no requests while another has room.
    pub avoided: bool,
}

/// Whether a stream can leave its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relief {
    /// Its upstream is not avoided.
    Unneeded,
    /// No other upstream that was not tried has room.
    NoRoom,
    /// [`Balancer::choose`] finds another upstream.
    Possible,
}

impl Balancer {
    /// Sets the engines of the services, which determine from which pace an upstream is avoided.
    pub fn set_engines<I>(&mut self, engines: I)
    where
        I: IntoIterator<Item = (ServiceName, Engine)>,
    {
        let engines = engines.into_iter();
        self.slow.limits = engines.map(|(s, e)| (s, max_pace(&e))).collect();
    }

    /// Replaces the list of slow engines; returns what has changed.
    pub fn set_slow(&mut self, engines: &[SlowEngine]) -> Vec<PaceChange> {
        let paces = engines
            .iter()
            .map(|e| (e.engine, f64::from(e.pace) / 100.0));
        let paces: BTreeMap<SocketAddr, f64> = paces.collect();
        if paces == self.slow.paces {
            return Vec::new();
        }
        self.slow.paces = paces;
        let changed = self.apply_paces();
        let changes = changed.into_iter().filter_map(|name| {
            let upstream = self.upstreams.get(&name)?;
            Some(PaceChange {
                pace: upstream.pace,
                avoided: self.is_avoided(upstream),
                upstream: name,
            })
        });
        changes.collect()
    }

    /// Whether any upstream is listed as slow.
    pub fn has_slow(&self) -> bool {
        !self.slow.paces.is_empty()
    }

    /// Returns whether the stream of a ticket can leave its upstream because that is slow.
    ///
    /// `request` has the upstream among those already tried.
    pub fn relief(&mut self, ticket: &Ticket, request: &ChoiceRequest<'_>, now: Time) -> Relief {
        let avoided = self.ticket_upstream(ticket).map(|u| u.pace);
        let limit = self.avoided_pace(request.service);
        if !avoided.is_some_and(|pace| pace > limit) {
            return Relief::Unneeded;
        }
        let (queue, closed) = (self.options.queue, &self.closed);
        let takes = |u: &mut Upstream| {
            let announcement = &u.record.announcement;
            announcement.service == *request.service
                && announcement.stage == Stage::Ready
                && !closed.contains(&announcement.zone)
                && !request.tried.contains(&announcement.upstream)
                && !u.gone
                && !u.leaving
                && u.pace <= limit
                && now >= u.backoff_until
                && !u.is_ejected(now)
                && !u.is_saturated(now)
                && !u.is_limited(now)
                && u.has_room(queue, now)
        };
        if self.upstreams.values_mut().any(takes) {
            Relief::Possible
        } else {
            Relief::NoRoom
        }
    }

    /// Pace above which an upstream of a service is avoided.
    pub(super) fn avoided_pace(&self, service: &ServiceName) -> f64 {
        let limit = self.slow.limits.get(service);
        let Some(limit) = limit.filter(|_| self.has_slow()) else {
            return f64::INFINITY;
        };
        let serving = self.upstreams.values().filter(|u| {
            let announcement = &u.record.announcement;
            let open = !self.closed.contains(&announcement.zone);
            let ready = announcement.stage == Stage::Ready && !u.gone && !u.leaving;
            announcement.service == *service && ready && open
        });
        let (slow, all) = serving.fold((0, 0), |(slow, all), u| {
            (slow + usize::from(u.pace > 1.0), all + 1)
        });
        if slow as f64 > f64::from(all) * MAX_SLOW_RATIO {
            return f64::INFINITY;
        }
        *limit
    }

    fn is_avoided(&self, upstream: &Upstream) -> bool {
        upstream.pace > self.avoided_pace(&upstream.record.announcement.service)
    }

    /// Sets the pace of each upstream by the list; returns those that have changed.
    pub(super) fn apply_paces(&mut self) -> Vec<UpstreamName> {
        let mut changed = Vec::new();
        for (name, upstream) in &mut self.upstreams {
            let address = &upstream.record.announcement.address;
            let pace = self.slow.paces.get(address).copied().unwrap_or(1.0);
            if std::mem::replace(&mut upstream.pace, pace) != pace {
                changed.push(name.clone());
            }
        }
        changed
    }
}

/// Returns the pace at which one request costs a group as much as a full engine of normal pace.
fn max_pace(engine: &Engine) -> f64 {
    let one = engine.step_ms + engine.per_request_ms;
    let full = engine.step_ms + engine.per_request_ms * f64::from(engine.slots);
    let pace = full / one;
    if pace.is_finite() {
        pace
    } else {
        f64::INFINITY
    }
}
