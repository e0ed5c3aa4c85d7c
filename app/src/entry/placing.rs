//! Places a request, waiting in the queue where no upstream has room.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pimentotide_instance::work::WorkClient;
use pimentotide_model::{
    ErrorKind, Failure, Incarnation, LoadReport, RequestMeta, Revision, Time, UpstreamName,
};
use pimentotide_routing::{
    AttemptOutcome, Candidates, CreditId, Decision, Finished, Placement, Reason, Ticket,
};
use tokio::sync::{Notify, oneshot};

use super::core::{Core, Inner};
use super::resolve::Job;
use super::waiting::{Place, Waiting, ask_for_credits};

/// Where a request goes, and why.
pub(super) struct Placed {
    /// Upstream that was chosen.
    pub(super) upstream: UpstreamName,
    /// Start of the upstream.
    pub(super) incarnation: Incarnation,
    /// Address of its agent.
    pub(super) agent: SocketAddr,
    /// Upstreams that were considered, best first.
    pub(super) candidates: Candidates,
    /// Why this one.
    pub(super) reason: Reason,
    /// Credit to use.
    pub(super) credit: Option<CreditId>,
    /// Configuration in force.
    pub(super) revision: Revision,
    /// Time spent in the queue.
    pub(super) waited: Duration,
    /// Booking at the upstream.
    pub(super) flight: Flight,
}

/// Counts an attempt against its upstream; cancelled unless a verdict is given.
pub(super) struct Flight {
    core: Arc<Core>,
    meta: RequestMeta,
    ticket: Option<Ticket>,
    sent: Time,
    first: Option<Duration>,
    pieces: u32,
    last: Time,
    /// Wakes when the upstream has been ejected for making no progress.
    pub(super) stalled: Arc<Notify>,
}

/// Finds a place for a request, outside the upstreams in `tried`.
pub(super) async fn place(
    core: &Arc<Core>,
    client: &WorkClient,
    job: &Job,
    tried: &[UpstreamName],
) -> Result<Placed, Failure> {
    let arrived = core.now();
    let decision = match try_at_once(core, client, job, tried)? {
        Attempted::Placed(decision) => *decision,
        Attempted::Queued(place) => Waited::new(core, job, place).decision().await?,
    };
    booked(core, job, decision, core.now().since(arrived))
}

enum Attempted {
    Placed(Box<Decision>),
    Queued(oneshot::Receiver<Place>),
}

fn try_at_once(
    core: &Arc<Core>,
    client: &WorkClient,
    job: &Job,
    tried: &[UpstreamName],
) -> Result<Attempted, Failure> {
    let now = core.now();
    let mut inner = core.lock();
    let queued = inner
        .queues
        .get(&job.meta.service)
        .is_some_and(|q| !q.is_empty());
    if !queued {
        match inner.placer.place(&job.meta, tried, now, &mut rand::rng()) {
            Placement::Chosen(decision) => return Ok(Attempted::Placed(Box::new(decision))),
            Placement::Refused(failure) => return Err(failure),
            Placement::Wait(wait) => {
                for upstream in &wait.upstreams {
                    ask_for_credits(core, client, &mut inner, upstream, &job.meta.service);
                }
            }
        }
    }
    let (sender, receiver) = oneshot::channel();
    let waiting = Waiting {
        meta: job.meta.clone(),
        tried: tried.to_vec(),
        sender,
    };
    enqueue(&mut inner, job, waiting, now);
    Ok(Attempted::Queued(receiver))
}

fn enqueue(inner: &mut Inner, job: &Job, waiting: Waiting, now: Time) {
    let queue = inner
        .queues
        .entry(job.meta.service.clone())
        .or_insert_with(|| {
            let profile = &job.profile;
            let (policy, shares) = (profile.queue.clone(), profile.shares.clone());
            pimentotide_routing::FairQueue::open(job.meta.service.clone(), policy, shares)
        });
    for shed in queue.push(&job.meta, waiting, now) {
        let failure = shed.failure();
        shed.queued.item.refuse(failure);
    }
}

/// A request in the queue; leaves it when dropped.
struct Waited<'a> {
    core: &'a Arc<Core>,
    job: &'a Job,
    place: oneshot::Receiver<Place>,
}

impl<'a> Waited<'a> {
    fn new(core: &'a Arc<Core>, job: &'a Job, place: oneshot::Receiver<Place>) -> Self {
        Self { core, job, place }
    }

    async fn decision(mut self) -> Result<Decision, Failure> {
        let gone = || Failure::new(ErrorKind::Internal, "the queue was dropped");
        (&mut self.place).await.map_err(|_| gone())?.map(|d| *d)
    }
}

impl Drop for Waited<'_> {
    fn drop(&mut self) {
        self.place.close();
        let now = self.core.now();
        let mut inner = self.core.lock();
        if let Some(queue) = inner.queues.get_mut(&self.job.meta.service) {
            queue.cancel(self.job.meta.id);
        }
        // A place that was found in the meantime is not needed any more.
        if let Ok(Ok(decision)) = self.place.try_recv() {
            inner
                .placer
                .finish(decision.ticket, &self.job.meta, &cancelled(), now);
        }
    }
}

fn booked(
    core: &Arc<Core>,
    job: &Job,
    decision: Decision,
    waited: Duration,
) -> Result<Placed, Failure> {
    let view = core.view();
    let stalled = core.lock().stall_of(&decision.upstream);
    let now = core.now();
    let flight = Flight {
        core: Arc::clone(core),
        meta: job.meta.clone(),
        ticket: Some(decision.ticket),
        sent: now,
        first: None,
        pieces: 0,
        last: now,
        stalled,
    };
    let gone = || Failure::new(ErrorKind::NoUpstream, "the upstream has left");
    let announcement = view.upstreams.get(&decision.upstream).ok_or_else(gone)?;
    let agent = announcement.address.parse().map_err(|_| {
        Failure::new(
            ErrorKind::NoUpstream,
            "the agent announced a malformed address",
        )
    })?;
    Ok(Placed {
        upstream: decision.upstream,
        incarnation: announcement.incarnation,
        agent,
        candidates: decision.candidates,
        reason: decision.reason,
        credit: decision.credit,
        revision: view.declarations.revision,
        waited,
        flight,
    })
}

impl Flight {
    /// Notes a piece of the answer.
    pub(super) fn progress(&mut self) {
        self.pieces += 1;
        if self.first.is_none() {
            self.first = Some(self.core.now().since(self.sent));
        }
        self.alive();
    }

    /// Notes that the upstream is at work.
    pub(super) fn alive(&mut self) {
        let now = self.core.now();
        self.last = now;
        if let Some(ticket) = &self.ticket {
            self.core.lock().placer.progress(ticket, now);
        }
    }

    /// Time since the last piece, or since the request was sent.
    pub(super) fn silence(&self) -> Duration {
        self.core.now().since(self.last)
    }

    /// Takes a load report that came with the answer.
    pub(super) fn report(&self, upstream: &UpstreamName, report: &LoadReport) {
        self.core.observe_report(upstream, report);
    }

    /// Ends the attempt.
    pub(super) fn finish(mut self, verdict: AttemptOutcome) {
        self.end(verdict);
    }

    fn end(&mut self, verdict: AttemptOutcome) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let done = Finished {
            outcome: verdict,
            first_token: self.first,
            total: self.core.now().since(self.sent),
            tokens: self.pieces,
            cached: None,
        };
        self.core.finish(ticket, &self.meta, &done);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Cancelled);
    }
}

/// End of a booking that was never used.
pub(super) fn cancelled() -> Finished {
    Finished {
        outcome: AttemptOutcome::Cancelled,
        first_token: None,
        total: Duration::ZERO,
        tokens: 0,
        cached: None,
    }
}
