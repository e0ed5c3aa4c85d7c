//! Runs a request that may run at most once.
//!
//! [`Attempt`] decides when to claim, send, inquire and settle; this module
//! executes its actions. The request continues after the caller disconnects,
//! since its effect cannot be undone.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pimentotide_caller::{Answer, AnswerBody};
use pimentotide_control::{Command, Response};
use pimentotide_instance::Submitter;
use pimentotide_instance::work::{Frame, FrameStream, HeldClaim, UpdateRequest, WorkClient};
use pimentotide_model::{ErrorKind, Failure, Ran, UpstreamName};
use pimentotide_outcome::{
    Action, Answer as AttemptAnswer, Attempt, Blob, Body, ClaimRef, Event, Intent, LedgerEpoch,
    NotRun, Outcome, Place, generated_key,
};
use pimentotide_routing::AttemptOutcome;
use tokio::sync::oneshot;

use super::attempt::work_order;
use super::core::{Core, Running};
use super::decision::{log_placed, log_refused};
use super::placing::{self, Placed};
use super::resolve::Job;

/// Timeout of committing one command.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Future of the event that the attempt waits for.
type EventFuture = Pin<Box<dyn Future<Output = Event>>>;

/// One request that may run at most once.
struct AtMostOnce {
    core: Arc<Core>,
    client: WorkClient,
    control: Submitter,
    job: Job,
    /// Placement of the current attempt; taken when it is sent.
    placed: RefCell<Option<Placed>>,
    tried: RefCell<Vec<UpstreamName>>,
}

/// Runs the request and waits for its answer.
pub(super) async fn run(
    core: Arc<Core>,
    client: WorkClient,
    job: Job,
    running: Running,
) -> Result<Answer, Failure> {
    let Some(control) = core.control().cloned() else {
        let detail = "a request that is not idempotent needs a control replica";
        return Err(Failure::new(ErrorKind::NoQuorum, detail).with_ran(Ran::No));
    };
    let (placed, tried) = (RefCell::default(), RefCell::default());
    let request = Rc::new(AtMostOnce {
        core,
        client,
        control,
        job,
        placed,
        tried,
    });
    let (sender, receiver) = oneshot::channel();
    actix_rt::spawn(async move {
        drive(request, sender).await;
        drop(running);
    });
    let unknown = || {
        Failure::new(
            ErrorKind::OutcomeUnknown,
            "the request ended without an answer",
        )
    };
    match receiver.await.map_err(|_| unknown())? {
        AttemptAnswer::Outcome(outcome) => Ok(answer(&outcome)),
        AttemptAnswer::Failure(failure) => Err(failure),
    }
}

/// Runs the attempt until it is closed.
async fn drive(request: Rc<AtMostOnce>, caller: oneshot::Sender<AttemptAnswer>) {
    let mut caller = Some(caller);
    let (mut attempt, actions) = Attempt::open(intent(&request.job));
    let mut step = request.execute(actions, &mut caller);
    let mut deadline_passed = false;
    while let Some(waiting) = &mut step {
        let deadline = request.job.meta.deadline.since(request.core.now());
        let event = tokio::select! {
            event = waiting => event,
            () = disconnected(&mut caller) => Event::CallerGone,
            () = tokio::time::sleep(deadline), if !deadline_passed => Event::DeadlinePassed,
        };
        let interrupted = matches!(event, Event::CallerGone | Event::DeadlinePassed);
        deadline_passed |= event == Event::DeadlinePassed;
        if event == Event::CallerGone {
            caller = None;
        }
        let actions = attempt.on(event, request.core.now());
        let next = request.execute(actions, &mut caller);
        if next.is_some() || !interrupted || attempt.is_closed() {
            step = next;
        }
    }
}

/// Completes when the caller disconnects; never once it has been answered.
async fn disconnected(caller: &mut Option<oneshot::Sender<AttemptAnswer>>) {
    match caller {
        Some(caller) => caller.closed().await,
        None => std::future::pending().await,
    }
}

impl AtMostOnce {
    /// Executes actions; returns the next event to wait for.
    fn execute(
        self: &Rc<Self>,
        actions: Vec<Action>,
        caller: &mut Option<oneshot::Sender<AttemptAnswer>>,
    ) -> Option<EventFuture> {
        let mut step = None;
        for action in actions {
            match action {
                Action::Answer(answer) => {
                    if let Some(caller) = caller.take() {
                        // The caller may have disconnected.
                        let _ = caller.send(answer);
                    }
                }
                Action::Finish => {}
                action => step = Some(Rc::clone(self).step(action)),
            }
        }
        step
    }

    fn step(self: Rc<Self>, action: Action) -> EventFuture {
        Box::pin(async move {
            match action {
                Action::Choose { attempt } => self.choose(attempt).await,
                Action::Propose { command, after } => self.propose(*command, after).await,
                Action::Send { held, place } => self.send(&held, place).await,
                Action::Inquire { held, place, after } => self.inquire(&held, place, after).await,
                Action::Answer(_) | Action::Finish => Event::Unconfirmed,
            }
        })
    }

    async fn choose(&self, attempt: u32) -> Event {
        let tried = self.tried.borrow().clone();
        let profile = &self.job.profile.name;
        let placed = match placing::place(&self.core, &self.client, &self.job, &tried).await {
            Ok(placed) => placed,
            Err(failure) => {
                let revision = self.core.view().declarations.revision;
                log_refused(&self.job.meta, profile, attempt, &failure.detail, revision);
                return Event::NoPlace(failure);
            }
        };
        log_placed(&self.job.meta, profile, attempt, &placed);
        self.tried.borrow_mut().push(placed.upstream.clone());
        let Some(epoch) = self.ledger_epoch(&placed).await else {
            let detail = "the agent does not answer";
            return Event::NoPlace(Failure::new(ErrorKind::NoUpstream, detail));
        };
        let (upstream, incarnation) = (placed.upstream.clone(), placed.incarnation);
        *self.placed.borrow_mut() = Some(placed);
        Event::Chosen(Place {
            upstream,
            incarnation,
            epoch,
        })
    }

    /// Returns the cached ledger epoch of the agent, or requests it.
    async fn ledger_epoch(&self, placed: &Placed) -> Option<LedgerEpoch> {
        let cached = self.core.lock().epochs.get(&placed.upstream).copied();
        if cached.is_some() {
            return cached;
        }
        let order = UpdateRequest {
            incarnation: placed.incarnation,
            sequence: u64::MAX,
        };
        self.client
            .upstream_update(placed.agent, &order)
            .await
            .ok()
            .map(|update| update.epoch)
    }

    async fn propose(&self, command: pimentotide_outcome::Command, after: Duration) -> Event {
        tokio::time::sleep(after).await;
        let command = Command::Outcome(command);
        match self.control.submit(&command, PROPOSE_TIMEOUT).await {
            Ok(Response::Outcome(reply)) => Event::Committed(reply),
            Ok(other) => {
                log::error!("unexpected response from a control replica: {other:?}");
                Event::Unconfirmed
            }
            Err(e) => {
                log::debug!("a command was not confirmed: {e}");
                Event::Unconfirmed
            }
        }
    }

    async fn send(&self, held: &ClaimRef, place: Place) -> Event {
        let Some(placed) = self.placed.borrow_mut().take() else {
            return Event::Broken;
        };
        let number = u32::try_from(self.tried.borrow().len()).unwrap_or(u32::MAX);
        let mut order = work_order(&self.core, &self.job, &placed, number, 0);
        order.claim = Some(HeldClaim {
            claim: held.claim,
            place,
        });
        let event = match self.client.send(placed.agent, &order).await {
            Ok(frames) => collect(frames).await,
            Err(e) if e.is_not_forwarded() => Event::NotRun(NotRun::Refused),
            Err(_) => Event::Broken,
        };
        placed.in_flight.finish(match &event {
            Event::Answered(_) => AttemptOutcome::Good,
            Event::NotRun(_) => AttemptOutcome::Refused(None),
            _ => AttemptOutcome::Failed,
        });
        event
    }

    async fn inquire(&self, held: &ClaimRef, place: Place, after: Duration) -> Event {
        tokio::time::sleep(after).await;
        let view = self.core.view();
        // An agent that is no longer in the directory has lost its lease and its requests.
        let Some(announcement) = view.upstreams.get(&place.upstream) else {
            return if view.is_current() {
                Event::Gone
            } else {
                Event::Unreachable
            };
        };
        let Ok(agent) = announcement.address.parse() else {
            return Event::Unreachable;
        };
        let held = HeldClaim {
            claim: held.claim,
            place,
        };
        match self.client.inquire(agent, &held).await {
            Ok(finding) => Event::Found(finding),
            Err(_) => Event::Unreachable,
        }
    }
}

/// Collects the frames of an answer into its outcome.
async fn collect(mut frames: FrameStream) -> Event {
    let (mut status, mut headers, mut body) = (0, Vec::new(), Vec::new());
    loop {
        match frames.next_frame().await {
            Ok(Frame::Alive) => {}
            Ok(Frame::Refused { .. }) => return Event::NotRun(NotRun::Refused),
            Ok(Frame::Failed { .. }) | Err(_) => return Event::Broken,
            Ok(Frame::Head {
                status: s,
                headers: h,
                ..
            }) => (status, headers) = (s, h),
            Ok(Frame::Piece { data, .. }) => body.extend_from_slice(&data),
            Ok(Frame::End { .. }) => break,
        }
    }
    let body = Body::Whole(Blob(Bytes::from(body)));
    Event::Answered(Arc::new(Outcome {
        status,
        headers,
        body,
    }))
}

fn intent(job: &Job) -> Intent {
    let meta = &job.meta;
    Intent {
        request: meta.id,
        workspace: meta.workspace.clone(),
        service: meta.service.clone(),
        key: meta.key.clone().unwrap_or_else(|| generated_key(meta.id)),
        generated: meta.key.is_none(),
        fingerprint: meta.fingerprint,
        attempts: job.profile.retry.attempts,
        deadline: meta.deadline,
    }
}

fn answer(outcome: &Outcome) -> Answer {
    let body = match &outcome.body {
        Body::Whole(body) => body.0.clone(),
        Body::Digest { .. } | Body::Omitted => Bytes::new(),
    };
    let headers = outcome.headers.clone();
    Answer {
        status: outcome.status,
        headers,
        body: AnswerBody::Whole(body),
    }
}
