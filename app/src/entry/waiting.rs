//! Queued requests of an entry, and the demand for credits to place them.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_instance::work::{DemandOrder, WorkClient};
use pimentotide_model::{Failure, RequestMeta, ServiceName, Time, UpstreamName};
use pimentotide_routing::{CreditId, Decision, EntryDemand, Grant, Placement};
use tokio::sync::oneshot;

use super::core::{Core, Inner};
use super::placing::cancelled;

/// Delay before a failed demand request is retried.
const DEMAND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Placement of a queued request, or the reason for its refusal.
pub(super) type PlaceResult = Result<Box<Decision>, Failure>;

/// A request in a queue.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) meta: RequestMeta,
    /// Upstreams that earlier attempts have tried.
    pub(super) tried: Vec<UpstreamName>,
    pub(super) sender: oneshot::Sender<PlaceResult>,
}

impl Waiting {
    /// Ends the wait of the request with `failure`.
    pub(super) fn refuse(self, failure: Failure) {
        // The caller may have disconnected.
        let _ = self.sender.send(Err(failure));
    }

    /// Ends the wait with a placement; releases the booking if the request was cancelled.
    fn accept(self, inner: &mut Inner, decision: Decision, now: Time) {
        if let Err(Ok(unused)) = self.sender.send(Ok(Box::new(decision))) {
            inner
                .placer
                .finish(unused.ticket, &self.meta, &cancelled(), now);
        }
    }
}

/// Sheds requests that would miss their deadline and places those that fit.
pub(super) fn tick(core: &Arc<Core>, client: &WorkClient) {
    let now = core.now();
    let mut inner = core.lock();
    let services: Vec<_> = inner.queues.keys().cloned().collect();
    for service in services {
        if let Some(queue) = inner.queues.get_mut(&service) {
            for shed in queue.shed_late(now) {
                let failure = shed.failure();
                shed.queued.item.refuse(failure);
            }
        }
        place_queued(core, client, &mut inner, &service, now);
    }
    for upstream in inner.placer.check_stalls(now) {
        log::warn!("upstream {upstream} makes no progress; ejecting it");
        inner.stall_signal(&upstream).notify_waiters();
    }
}

/// Places queued requests up to the first that no upstream can accept.
fn place_queued(
    core: &Arc<Core>,
    client: &WorkClient,
    inner: &mut Inner,
    service: &ServiceName,
    now: Time,
) {
    while let Some(queued) = inner.queues.get_mut(service).and_then(|q| q.pop(now)) {
        let waiting = &queued.item;
        match inner
            .placer
            .place(&waiting.meta, &waiting.tried, now, &mut rand::rng())
        {
            Placement::Chosen(decision) => queued.item.accept(inner, decision, now),
            Placement::Refused(failure) => queued.item.refuse(failure),
            Placement::Wait(wait) => {
                for upstream in &wait.upstreams {
                    request_credits(core, client, inner, upstream, service);
                }
                if let Some(queue) = inner.queues.get_mut(service) {
                    queue.requeue(queued, now);
                }
                return;
            }
        }
    }
}

/// Requests credits from the agent of `upstream` while requests for `service` are queued.
pub(super) fn request_credits(
    core: &Arc<Core>,
    client: &WorkClient,
    inner: &mut Inner,
    upstream: &UpstreamName,
    service: &ServiceName,
) {
    let services = inner.demanded.entry(upstream.clone()).or_default();
    let active = !services.is_empty();
    services.insert(service.clone());
    if !active {
        actix_rt::spawn(send_demand(
            Arc::clone(core),
            client.clone(),
            upstream.clone(),
        ));
    }
}

/// Sends demand to one agent until no queued request needs its credits.
async fn send_demand(core: Arc<Core>, client: WorkClient, upstream: UpstreamName) {
    let mut returned = Vec::new();
    loop {
        let demand = demand_for(&core, &upstream);
        let last = demand.is_empty();
        let agent = core
            .lock()
            .placer
            .address(&upstream)
            .and_then(|a| a.parse().ok());
        let Some(agent) = agent else {
            core.lock().demanded.remove(&upstream);
            return;
        };
        let order = DemandOrder {
            entry: core.name().clone(),
            demand,
            returned: std::mem::take(&mut returned),
        };
        match client.demand(agent, &order).await {
            Ok(answer) => returned = use_grants(&core, &upstream, answer.grants),
            Err(e) => {
                log::debug!("requesting credits from the agent of {upstream} failed: {e}");
                tokio::time::sleep(DEMAND_RETRY_DELAY).await;
            }
        }
        if last && returned.is_empty() {
            return;
        }
    }
}

/// Returns the demand for the agent of `upstream`; removes its services if it is empty.
fn demand_for(core: &Core, upstream: &UpstreamName) -> EntryDemand {
    let now = core.now();
    let mut inner = core.lock();
    let services = inner.demanded.get(upstream).cloned().unwrap_or_default();
    let mut demand = EntryDemand::new();
    for service in &services {
        let agents = inner
            .demanded
            .values()
            .filter(|s| s.contains(service))
            .count();
        if let Some(queue) = inner.queues.get(service) {
            demand.extend(queue.demand(agents, now));
        }
    }
    if demand.is_empty() {
        inner.demanded.remove(upstream);
    }
    demand
}

/// Places queued requests with the granted credits; returns the unused credits.
fn use_grants(core: &Core, upstream: &UpstreamName, grants: Vec<Grant>) -> Vec<CreditId> {
    let now = core.now();
    let mut inner = core.lock();
    let mut unused = Vec::new();
    for grant in grants {
        if !use_grant(&mut inner, upstream, &grant, now) {
            unused.push(grant.credit);
        }
    }
    unused
}

fn use_grant(inner: &mut Inner, upstream: &UpstreamName, grant: &Grant, now: Time) -> bool {
    let Some(queued) = inner
        .queues
        .get_mut(&grant.service)
        .and_then(|q| q.pop(now))
    else {
        return false;
    };
    let decision = inner
        .placer
        .redeem(&queued.item.meta, upstream, grant.credit, now);
    match decision {
        Some(decision) => {
            queued.item.accept(inner, decision, now);
            true
        }
        None => {
            if let Some(queue) = inner.queues.get_mut(&grant.service) {
                queue.requeue(queued, now);
            }
            false
        }
    }
}
