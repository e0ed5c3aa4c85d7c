//! Requests that wait in the queues of an entry, and the credits that end the wait.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_instance::work::{DemandOrder, WorkClient};
use pimentotide_model::{Failure, RequestMeta, ServiceName, Time, UpstreamName};
use pimentotide_routing::{CreditId, Decision, EntryDemand, Grant, Placement};
use tokio::sync::oneshot;

use super::core::{Core, Inner};
use super::placing::cancelled;

/// Pause after an agent could not be asked.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// Place that a request has waited for, or why there is none.
pub(super) type Place = Result<Box<Decision>, Failure>;

/// A request in a queue.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) meta: RequestMeta,
    /// Upstreams that refused it before.
    pub(super) tried: Vec<UpstreamName>,
    pub(super) sender: oneshot::Sender<Place>,
}

impl Waiting {
    /// Tells the request that there will be no place.
    pub(super) fn refuse(self, failure: Failure) {
        // A caller that went away needs no answer.
        let _ = self.sender.send(Err(failure));
    }

    /// Hands a place over; the booking is given back if nobody waits any more.
    fn accept(self, inner: &mut Inner, decision: Decision, now: Time) {
        if let Err(Ok(unused)) = self.sender.send(Ok(Box::new(decision))) {
            inner
                .placer
                .finish(unused.ticket, &self.meta, &cancelled(), now);
        }
    }
}

/// Sheds what cannot be answered in time and places what finds room.
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
        drain(core, client, &mut inner, &service, now);
    }
    for upstream in inner.placer.check_stalls(now) {
        log::warn!("upstream {upstream} makes no progress and gets no work for a while");
        inner.stall_of(&upstream).notify_waiters();
    }
}

/// Places queued requests until the first that finds no room.
fn drain(
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
                    ask_for_credits(core, client, inner, upstream, service);
                }
                if let Some(queue) = inner.queues.get_mut(service) {
                    queue.requeue(queued, now);
                }
                return;
            }
        }
    }
}

/// Asks the agent of `upstream` for credits for as long as requests for `service` wait.
pub(super) fn ask_for_credits(
    core: &Arc<Core>,
    client: &WorkClient,
    inner: &mut Inner,
    upstream: &UpstreamName,
    service: &ServiceName,
) {
    let services = inner.asked.entry(upstream.clone()).or_default();
    let asking = !services.is_empty();
    services.insert(service.clone());
    if !asking {
        actix_rt::spawn(ask(Arc::clone(core), client.clone(), upstream.clone()));
    }
}

/// Asks one agent for credits until nothing waits for it.
async fn ask(core: Arc<Core>, client: WorkClient, upstream: UpstreamName) {
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
            core.lock().asked.remove(&upstream);
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
                log::debug!("asking the agent of {upstream} for credits failed: {e}");
                tokio::time::sleep(ASK_PAUSE).await;
            }
        }
        if last && returned.is_empty() {
            return;
        }
    }
}

/// Demand to state to the agent of `upstream`; stops asking if there is none.
fn demand_for(core: &Core, upstream: &UpstreamName) -> EntryDemand {
    let now = core.now();
    let mut inner = core.lock();
    let asked = inner.asked.get(upstream).cloned().unwrap_or_default();
    let mut demand = EntryDemand::new();
    for service in &asked {
        let agents = inner.asked.values().filter(|s| s.contains(service)).count();
        if let Some(queue) = inner.queues.get(service) {
            demand.extend(queue.demand(agents, now));
        }
    }
    if demand.is_empty() {
        inner.asked.remove(upstream);
    }
    demand
}

/// Sends waiting requests to the upstream that granted; returns the credits left over.
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
