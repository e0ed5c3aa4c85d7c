//! One request of a caller: sends it to upstreams and decides on retries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use pimentotide_fleet::{
    Choice, Ended, Next, Outcome, Policy, RequestDigests, RouteKind, Step, Ticket, is_sound_run,
    next_step,
};
use pimentotide_model::{Failure, ServiceName, Time, UpstreamName, WorkspaceName};
use pimentotide_platform::{Answer, AnswerError, Body, Call, SendOptions, UpstreamClient};

use super::crashes::{Interruption, check_crash};
use super::ordered::Order;
use super::state::{EntryState, OpenRequest};
use crate::lines::{Interrupted, Placed};

/// Timeout of connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time beyond the deadline in which the upstream's own timeout response may still arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(60);

thread_local! {
    static CLIENT: UpstreamClient = UpstreamClient::open(CONNECT_TIMEOUT);
}

/// Open request, with the state of its retries.
pub(super) struct Attempt {
    pub(super) state: Arc<EntryState>,
    pub(super) call: Call,
    /// Digests by which the request is compared with others.
    pub(super) digests: RequestDigests,
    pub(super) route: Arc<str>,
    pub(super) kind: RouteKind,
    /// Version of the configuration that routed the request.
    pub(super) version: u64,
    pub(super) service: ServiceName,
    /// Path of the service's health check.
    pub(super) health: Arc<str>,
    pub(super) workspace: Option<WorkspaceName>,
    /// Time without an event after which its caller leaves; `None` if it waits until its deadline.
    pub(super) abandon_after: Option<Duration>,
    /// Terms on which it is admitted.
    pub(super) order: Order,
    pub(super) policy: Policy,
    pub(super) tried: Vec<UpstreamName>,
    pub(super) sends: u32,
    /// Latest send.
    pub(super) last_send: Option<LastSend>,
    pub(super) _open: OpenRequest,
}

/// Destination of the latest send and what it has returned.
#[derive(Debug)]
pub(super) struct LastSend {
    ticket: Ticket,
    address: SocketAddr,
    sent_at: Time,
    /// Complete events received from this upstream.
    events: u64,
    /// Complete events received from earlier ones.
    earlier: u64,
    /// Whether it is recorded that the stream stays here although the upstream is slow.
    kept: AtomicBool,
}

/// Chosen upstream with a place taken there.
pub(super) struct Destination {
    choice: Choice,
    ticket: TicketGuard,
}

/// Send that has begun.
enum Sent {
    /// The response head has arrived.
    Running(Running),
    /// The upstream became slow first, and the stream is to go on elsewhere.
    Relieved(Destination),
}

impl LastSend {
    /// Returns the complete events received from this upstream and earlier ones.
    fn all_events(&self) -> u64 {
        self.earlier + self.events
    }
}

/// Send whose response head has arrived.
pub(super) struct Running {
    pub(super) answer: Answer,
    pub(super) ticket: TicketGuard,
}

/// Ticket for an upstream, returned with its outcome; a drop counts as neutral.
#[derive(derive_more::Debug)]
#[debug("{upstream}")]
pub(super) struct TicketGuard {
    state: Arc<EntryState>,
    ticket: Option<Ticket>,
    sent_at: Time,
    pub(super) upstream: UpstreamName,
    /// Whether the upstream has begun to answer.
    begun: bool,
}

impl TicketGuard {
    pub(super) fn new(state: Arc<EntryState>, ticket: Ticket) -> Self {
        Self {
            sent_at: state.now(),
            state,
            upstream: ticket.upstream.clone(),
            ticket: Some(ticket),
            begun: false,
        }
    }

    /// Records that the upstream has begun to answer.
    fn record_begun(&mut self) {
        if let Some(ticket) = &self.ticket {
            self.begun = true;
            self.state.lock().balancer.record_begun(ticket);
        }
    }

    /// Records that the upstream is silent, although the request stays there.
    pub(super) fn record_silence(&self) {
        if let Some(ticket) = &self.ticket {
            self.state.record_silence(ticket);
        }
    }

    /// Leaves the ticket to another guard.
    pub(super) fn release(mut self) {
        self.ticket = None;
    }

    pub(super) fn end(mut self, outcome: Outcome) {
        if let Some(ticket) = self.ticket.take() {
            if outcome == Outcome::Good {
                let duration = self.state.now().since(self.sent_at);
                self.state
                    .lock()
                    .balancer
                    .record_duration(&ticket, duration);
            }
            self.state.finish_send(&ticket, outcome, self.begun);
        }
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.state
                .finish_send(&ticket, Outcome::Neutral, self.begun);
        }
    }
}

impl Attempt {
    /// Returns the time left until the deadline of the caller or the route.
    pub(super) fn remaining(&self) -> Duration {
        self.policy.deadline.since(self.state.now())
    }

    pub(super) fn elapsed_ms(&self) -> u128 {
        self.call.received.elapsed().as_millis()
    }

    /// Records a complete response and its duration in the metrics.
    pub(super) fn count_answer(&self, kind: &str) {
        let metrics = self.state.metrics();
        metrics.count("entry.requests", ("outcome", "answered"), 1);
        metrics.time("entry.answer", ("kind", kind), self.call.received.elapsed());
    }

    /// Returns the instant at which the wait for an upstream times out.
    pub(super) fn answer_deadline(&self) -> Instant {
        self.state.clock().timer(self.policy.deadline) + ANSWER_MARGIN
    }

    /// Sends the request to a chosen upstream and waits for the response head.
    ///
    /// # Errors
    ///
    /// Fails if the send ended without a usable response, or if no upstream was available.
    pub(super) async fn send(&mut self, last_event: Option<String>) -> Result<Running, SendError> {
        let choice = self.place().await.map_err(SendError::Refused)?;
        let destination = self.destination(choice);
        let sent = self.send_to(destination, last_event).await;
        sent.map_err(|(ended, upstream)| SendError::Ended(ended, upstream))
    }

    /// Returns a chosen upstream whose place is given back unless the request is sent there.
    pub(super) fn destination(&self, choice: Choice) -> Destination {
        let ticket = TicketGuard::new(self.state.clone(), choice.ticket.clone());
        Destination { choice, ticket }
    }

    /// Sends the request to a chosen upstream and waits for the response head there, or at another
    /// upstream if the stream is moved meanwhile.
    ///
    /// # Errors
    ///
    /// Fails if the send ended without a usable response; returns how, and at which upstream.
    pub(super) async fn send_to(
        &mut self,
        destination: Destination,
        last_event: Option<String>,
    ) -> Result<Running, (Ended, UpstreamName)> {
        let last = last_event.or_else(|| self.call.last_event.clone());
        let mut destination = destination;
        loop {
            match self.send_once(destination, last.as_deref()).await? {
                Sent::Running(running) => return Ok(running),
                Sent::Relieved(next) => destination = next,
            }
        }
    }

    async fn send_once(
        &mut self,
        destination: Destination,
        last_event: Option<&str>,
    ) -> Result<Sent, (Ended, UpstreamName)> {
        let Destination {
            choice,
            ticket: guard,
        } = destination;
        self.sends += 1;
        let left = self.remaining();
        pimentotide_observe::event(&Placed {
            request: &self.call.id,
            route: &self.route,
            upstream: &choice.ticket.upstream,
            send: self.sends,
            outstanding: choice.outstanding,
            candidates: choice.candidates,
            version: self.version,
            age_ms: self.state.age().as_millis(),
            left_ms: left.as_millis(),
        });
        let upstream = choice.ticket.upstream.clone();
        self.tried.push(upstream.clone());
        let earlier = self.last_send.as_ref().map_or(0, LastSend::all_events);
        self.last_send = Some(LastSend {
            ticket: choice.ticket.clone(),
            address: choice.address,
            sent_at: self.state.now(),
            events: 0,
            earlier,
            kept: AtomicBool::new(false),
        });
        let client = CLIENT.with(UpstreamClient::clone);
        let send = SendOptions {
            address: choice.address,
            upstream: &upstream,
            workspace: self.workspace.as_deref(),
            timeout: left,
            last_event,
            priority: Some(self.order.rank),
        };
        let sending = client.send(&self.call, &send);
        let limit = tokio::time::Instant::from_std(self.answer_deadline());
        let withdrawn = self.state.until_refused(&self.digests);
        let relieved = self.until_relieved();
        let result = tokio::select! {
            result = tokio::time::timeout_at(limit, sending) => result,
            () = withdrawn => {
                guard.end(Outcome::Neutral);
                return Err((Ended::Withdrawn, upstream));
            }
            next = relieved => {
                guard.end(Outcome::Neutral);
                self.record_relief(&upstream);
                return Ok(Sent::Relieved(next));
            }
        };
        let result = match result {
            Ok(result) => result,
            Err(_) => {
                guard.end(Outcome::Failed);
                return Err((Ended::Silent, upstream));
            }
        };
        match result {
            Ok(answer) => self.classify_answer(answer, guard).map(Sent::Running),
            Err(AnswerError::Unsent) => {
                guard.end(Outcome::Failed);
                Err((Ended::Unsent, upstream))
            }
            Err(
                AnswerError::Broken
                | AnswerError::Foreign
                | AnswerError::TooLong
                | AnswerError::NoRoom,
            ) => {
                guard.end(Outcome::Failed);
                Err((Ended::Broken, upstream))
            }
        }
    }

    fn classify_answer(
        &self,
        answer: Answer,
        mut guard: TicketGuard,
    ) -> Result<Running, (Ended, UpstreamName)> {
        if let Some(load) = answer.load {
            let now = self.state.now();
            self.state
                .lock()
                .balancer
                .report_load(&guard.upstream, load, now);
        }
        let sent_at = self.last_send.as_ref().map_or(Time::ZERO, |s| s.sent_at);
        if let Some(ticket) = &guard.ticket {
            self.state
                .record_signals(&self.call.id, ticket, &answer.signals, sent_at);
        }
        guard.record_begun();
        self.state.notify_waiting();
        let upstream = guard.upstream.clone();
        if answer.not_run {
            let outcome = if answer.misdirected {
                Outcome::Gone
            } else {
                Outcome::Full
            };
            guard.end(outcome);
            return Err((Ended::Rejected, upstream));
        }
        self.state.lock().gate(&self.service).record_accepted();
        if matches!(answer.status.as_u16(), 408 | 421 | 429 | 503) {
            // The upstream did not mark the request as not executed, so the status cannot be forwarded.
            guard.end(Outcome::Failed);
            return Err((Ended::Broken, upstream));
        }
        Ok(Running {
            answer,
            ticket: guard,
        })
    }

    /// Returns the ticket of the latest send.
    pub(super) fn last_ticket(&self) -> Option<&Ticket> {
        self.last_send.as_ref().map(|s| &s.ticket)
    }

    /// Returns the upstream of the latest send.
    pub(super) fn last_upstream(&self) -> Option<UpstreamName> {
        self.tried.last().cloned()
    }

    /// Returns the upstream of the latest send the first time that it is asked for; else `None`.
    pub(super) fn first_kept(&self) -> Option<UpstreamName> {
        let send = self.last_send.as_ref()?;
        let first = !send.kept.swap(true, Ordering::Relaxed);
        first.then(|| send.ticket.upstream.clone())
    }

    /// Counts the latest send as one that may have run and logs that its stream is moved.
    pub(super) fn record_relief(&mut self, upstream: &UpstreamName) {
        self.policy.ran += 1;
        let events = self.last_send.as_ref().map_or(0, LastSend::all_events);
        self.record_interruption(Ended::Relieved, upstream, events, Step::Again, "");
    }

    /// Counts complete events received from the upstream of the latest send.
    pub(super) fn record_events(&mut self, events: u64) {
        let Some(send) = &mut self.last_send else {
            return;
        };
        let was_sound = is_sound_run(send.events);
        send.events += events;
        if is_sound_run(send.events) && !was_sound {
            self.state.record_sound_run(&self.digests);
        }
    }

    /// Whether the upstream of the latest send has sent enough events to rule out a crash by
    /// this request.
    pub(super) fn is_sound(&self) -> bool {
        let send = self.last_send.as_ref();
        send.is_some_and(|s| is_sound_run(s.events))
    }

    /// Reads the rest of an answer of the latest send.
    ///
    /// # Errors
    ///
    /// Fails if the body cannot be read, or if it has no length and its upstream does not run any
    /// more: the kernel closes the connections of a crashed process as it does after a whole answer.
    pub(super) async fn read_body(&self, body: Body, unframed: bool) -> Result<Bytes, AnswerError> {
        let bytes = body.read_all().await?;
        if unframed && !self.is_upstream_running().await {
            return Err(AnswerError::Broken);
        }
        Ok(bytes)
    }

    /// Whether the upstream of the latest send still runs.
    pub(super) async fn is_upstream_running(&self) -> bool {
        let Some(send) = &self.last_send else {
            return false;
        };
        let client = CLIENT.with(UpstreamClient::clone);
        let name = &send.ticket.upstream;
        client.is_running(send.address, name, &self.health).await
    }

    /// Checks whether the upstream of the latest send, which broke off, has crashed, and reports it.
    async fn check_crash(&self) {
        let Some(send) = &self.last_send else {
            return;
        };
        let interruption = Interruption {
            request: self.call.id.clone(),
            digests: self.digests.clone(),
            parts: self.call.shared_parts.clone(),
            events: send.events,
        };
        check_crash(&self.state, &send.ticket, send.address, interruption).await;
    }

    /// Decides on the next step after a failed send and logs it.
    pub(super) async fn next_step(
        &mut self,
        ended: Ended,
        upstream: &UpstreamName,
        events: u64,
    ) -> Step {
        if ended == Ended::Broken {
            self.check_crash().await;
        }
        match ended {
            Ended::Unsent => self.policy.not_run += 1,
            Ended::Rejected => {
                self.policy.not_run += 1;
                let now = self.state.now();
                self.state.lock().gate(&self.service).record_refused(now);
            }
            Ended::Broken | Ended::Failed | Ended::Silent | Ended::Withdrawn | Ended::Relieved => {
                self.policy.ran += 1;
            }
        }
        self.policy.crashing = self.state.is_refused(&self.digests);
        let now: Time = self.state.now();
        let Next { step, limit } = next_step(ended, &self.policy, now, || {
            self.state.lock().budget.spend(&self.service, now)
        });
        let reason = limit.map(|l| l.to_string()).unwrap_or_default();
        self.record_interruption(ended, upstream, events, step, &reason);
        step
    }

    fn record_interruption(
        &self,
        ended: Ended,
        upstream: &UpstreamName,
        events: u64,
        step: Step,
        reason: &str,
    ) {
        let name = format!("{ended:?}").to_ascii_lowercase();
        self.state
            .metrics()
            .count("entry.interruptions", ("ended", &name), 1);
        pimentotide_observe::event(&Interrupted {
            request: &self.call.id,
            upstream,
            ended: format!("{ended:?}"),
            events,
            next: format!("{step:?}"),
            reason,
            after_ms: self.elapsed_ms(),
        });
    }
}

/// Reason why a send has no response.
pub(super) enum SendError {
    /// The send to this upstream ended early.
    Ended(Ended, UpstreamName),
    /// No upstream was available.
    Refused(Failure),
}
