//! Places a request at an upstream, or queues it while no upstream has a free slot.

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
use super::waiting::{PlaceResult, Waiting, request_credits};

/// Placement of a request.
pub(super) struct Placed {
    /// Chosen upstream.
    pub(super) upstream: UpstreamName,
    /// Incarnation of the upstream.
    pub(super) incarnation: Incarnation,
    /// Address of its agent.
    pub(super) agent: SocketAddr,
    /// Candidates, best first.
    pub(super) candidates: Candidates,
    /// Reason of the choice.
    pub(super) reason: Reason,
    /// Credit to redeem at the agent.
    pub(super) credit: Option<CreditId>,
    /// Revision of the configuration in force.
    pub(super) revision: Revision,
    /// Time spent in the queue.
    pub(super) waited: Duration,
    /// Booking at the upstream.
    pub(super) in_flight: InFlight,
}

/// Booking of an attempt at its upstream; ends as cancelled unless an outcome is set.
pub(super) struct InFlight {
    core: Arc<Core>,
    meta: RequestMeta,
    ticket: Option<Ticket>,
    sent_at: Time,
    /// Time from sending to the first piece.
    first_token: Option<Duration>,
    pieces: u32,
    last_activity: Time,
    /// Notified when the upstream is ejected for making no progress.
    pub(super) stalled: Arc<Notify>,
}

/// Places a request at an upstream outside `tried`, after queueing if needed.
pub(super) async fn place(
    core: &Arc<Core>,
    client: &WorkClient,
    job: &Job,
    tried: &[UpstreamName],
) -> Result<Placed, Failure> {
    let arrived = core.now();
    let decision = match place_or_enqueue(core, client, job, tried)? {
        Placing::Placed(decision) => *decision,
        Placing::Queued(receiver) => QueuedRequest::new(core, job, receiver).decision().await?,
    };
    book(core, job, decision, core.now().since(arrived))
}

enum Placing {
    Placed(Box<Decision>),
    Queued(oneshot::Receiver<PlaceResult>),
}

fn place_or_enqueue(
    core: &Arc<Core>,
    client: &WorkClient,
    job: &Job,
    tried: &[UpstreamName],
) -> Result<Placing, Failure> {
    let now = core.now();
    let mut inner = core.lock();
    let queued = inner
        .queues
        .get(&job.meta.service)
        .is_some_and(|q| !q.is_empty());
    if !queued {
        match inner.placer.place(&job.meta, tried, now, &mut rand::rng()) {
            Placement::Chosen(decision) => return Ok(Placing::Placed(Box::new(decision))),
            Placement::Refused(failure) => return Err(failure),
            Placement::Wait(wait) => {
                for upstream in &wait.upstreams {
                    request_credits(core, client, &mut inner, upstream, &job.meta.service);
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
    Ok(Placing::Queued(receiver))
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

/// A queued request; removed from the queue when dropped.
struct QueuedRequest<'a> {
    core: &'a Arc<Core>,
    job: &'a Job,
    receiver: oneshot::Receiver<PlaceResult>,
}

impl<'a> QueuedRequest<'a> {
    fn new(core: &'a Arc<Core>, job: &'a Job, receiver: oneshot::Receiver<PlaceResult>) -> Self {
        Self {
            core,
            job,
            receiver,
        }
    }

    async fn decision(mut self) -> Result<Decision, Failure> {
        let gone = || Failure::new(ErrorKind::Internal, "the queue dropped the request");
        (&mut self.receiver).await.map_err(|_| gone())?.map(|d| *d)
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.receiver.close();
        let now = self.core.now();
        let mut inner = self.core.lock();
        if let Some(queue) = inner.queues.get_mut(&self.job.meta.service) {
            queue.cancel(self.job.meta.id);
        }
        // Releases a placement that was made in the meantime.
        if let Ok(Ok(decision)) = self.receiver.try_recv() {
            inner
                .placer
                .finish(decision.ticket, &self.job.meta, &cancelled(), now);
        }
    }
}

fn book(
    core: &Arc<Core>,
    job: &Job,
    decision: Decision,
    waited: Duration,
) -> Result<Placed, Failure> {
    let view = core.view();
    let stalled = core.lock().stall_signal(&decision.upstream);
    let now = core.now();
    let in_flight = InFlight {
        core: Arc::clone(core),
        meta: job.meta.clone(),
        ticket: Some(decision.ticket),
        sent_at: now,
        first_token: None,
        pieces: 0,
        last_activity: now,
        stalled,
    };
    let gone = || {
        Failure::new(
            ErrorKind::NoUpstream,
            "the upstream is no longer in the directory",
        )
    };
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
        in_flight,
    })
}

impl InFlight {
    /// Records a piece of the answer.
    pub(super) fn record_piece(&mut self) {
        self.pieces += 1;
        if self.first_token.is_none() {
            self.first_token = Some(self.core.now().since(self.sent_at));
        }
        self.record_activity();
    }

    /// Records that the upstream is making progress.
    pub(super) fn record_activity(&mut self) {
        let now = self.core.now();
        self.last_activity = now;
        if let Some(ticket) = &self.ticket {
            self.core.lock().placer.progress(ticket, now);
        }
    }

    /// Time since the last recorded activity, or since the request was sent.
    pub(super) fn idle_time(&self) -> Duration {
        self.core.now().since(self.last_activity)
    }

    /// Applies a load report received with the answer.
    pub(super) fn report(&self, upstream: &UpstreamName, report: &LoadReport) {
        self.core.observe_report(upstream, report);
    }

    /// Ends the attempt with `outcome`.
    pub(super) fn finish(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let done = Finished {
            outcome,
            first_token: self.first_token,
            total: self.core.now().since(self.sent_at),
            tokens: self.pieces,
            cached: None,
        };
        self.core.finish(ticket, &self.meta, &done);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Cancelled);
    }
}

/// Outcome of a booking that was never used.
pub(super) fn cancelled() -> Finished {
    Finished {
        outcome: AttemptOutcome::Cancelled,
        first_token: None,
        total: Duration::ZERO,
        tokens: 0,
        cached: None,
    }
}
