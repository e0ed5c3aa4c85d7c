//! One request on its way: its sends, and what follows when one ends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pimentotide_fleet::{Ended, Next, Outcome, Policy, RouteKind, Step, Ticket, next_step};
use pimentotide_model::{Failure, ServiceName, Time, UpstreamName, WorkspaceName};
use pimentotide_platform::{Answer, AnswerError, Call, Send, UpstreamClient};

use super::state::{EntryState, OpenRequest};
use crate::lines::{Interrupted, Placed};

/// Longest wait for a connection to an upstream.
const CONNECT: Duration = Duration::from_millis(300);
/// Time that an upstream's own answer at its deadline has to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(60);
thread_local! {
    static CLIENT: UpstreamClient = UpstreamClient::open(CONNECT);
}

/// Request on its way.
pub(super) struct Attempt {
    pub(super) state: Arc<EntryState>,
    pub(super) call: Call,
    pub(super) route: Arc<str>,
    pub(super) kind: RouteKind,
    /// Version of the configuration that routed it.
    pub(super) version: u64,
    pub(super) service: ServiceName,
    pub(super) workspace: Option<WorkspaceName>,
    pub(super) priority: Option<u8>,
    pub(super) policy: Policy,
    pub(super) tried: Vec<UpstreamName>,
    pub(super) sends: u32,
    pub(super) _open: OpenRequest,
}

/// A send that has an answer, or has yet to end.
pub(super) struct Running {
    pub(super) answer: Answer,
    pub(super) held: HeldTicket,
}

/// Place at an upstream; given back when dropped.
pub(super) struct HeldTicket {
    state: Arc<EntryState>,
    ticket: Option<Ticket>,
    pub(super) upstream: UpstreamName,
}

impl HeldTicket {
    pub(super) fn end(mut self, outcome: Outcome) {
        if let Some(ticket) = self.ticket.take() {
            self.state.ended(&ticket, outcome);
        }
    }
}

impl Drop for HeldTicket {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.state.ended(&ticket, Outcome::Neutral);
        }
    }
}

impl Attempt {
    /// Time left until the caller or the route gives up.
    pub(super) fn left(&self) -> Duration {
        self.policy.deadline.since(self.state.now())
    }

    pub(super) fn elapsed_ms(&self) -> u128 {
        self.call.received.elapsed().as_millis()
    }

    /// Counts an answer and the time that it took.
    pub(super) fn count_answer(&self, kind: &str) {
        let metrics = self.state.metrics();
        metrics.count("entry.requests", ("outcome", "answered"), 1);
        metrics.time("entry.answer", ("kind", kind), self.call.received.elapsed());
    }

    /// Instant at which the wait for an upstream ends.
    pub(super) fn limit(&self) -> Instant {
        self.state.clock().instant(self.policy.deadline) + ANSWER_MARGIN
    }

    /// Chooses an upstream and sends the request there; waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails with how the send ended, or with a refusal if no upstream was chosen.
    pub(super) async fn send(&mut self, last_event: Option<String>) -> Result<Running, SendError> {
        let choice = self.place().await.map_err(SendError::Refused)?;
        self.sends += 1;
        let left = self.left();
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
        let held = HeldTicket {
            state: self.state.clone(),
            ticket: Some(choice.ticket.clone()),
            upstream: upstream.clone(),
        };
        let client = CLIENT.with(UpstreamClient::clone);
        let last = last_event.or_else(|| self.call.last_event.clone());
        let send = Send {
            address: choice.address,
            upstream: &upstream,
            workspace: self.workspace.as_deref(),
            left,
            last_event: last.as_deref(),
            priority: self.priority,
        };
        let sending = client.send(&self.call, &send);
        let limit = tokio::time::Instant::from_std(self.limit());
        let result = match tokio::time::timeout_at(limit, sending).await {
            Ok(result) => result,
            Err(_) => {
                held.end(Outcome::Failed);
                return Err(SendError::Ended(Ended::Silent, upstream));
            }
        };
        match result {
            Ok(answer) => self.judge(answer, held),
            Err(AnswerError::Unsent) => {
                held.end(Outcome::Failed);
                Err(SendError::Ended(Ended::Unsent, upstream))
            }
            Err(AnswerError::Broken | AnswerError::Foreign) => {
                held.end(Outcome::Failed);
                Err(SendError::Ended(Ended::Broken, upstream))
            }
        }
    }

    fn judge(&self, answer: Answer, held: HeldTicket) -> Result<Running, SendError> {
        if let Some(load) = answer.load {
            let now = self.state.now();
            self.state
                .known()
                .balancer
                .report_load(&held.upstream, load, now);
        }
        let upstream = held.upstream.clone();
        if answer.not_run {
            let outcome = if answer.elsewhere {
                Outcome::Gone
            } else {
                Outcome::Full
            };
            held.end(outcome);
            return Err(SendError::Ended(Ended::Rejected, upstream));
        }
        self.state.known().gate(&self.service).record_accepted();
        if matches!(answer.status.as_u16(), 408 | 421 | 429 | 503) {
            // It does not say that the request did not run, so the status cannot be passed on.
            held.end(Outcome::Failed);
            return Err(SendError::Ended(Ended::Broken, upstream));
        }
        Ok(Running { answer, held })
    }

    /// Decides what follows a send and logs it.
    pub(super) fn after(&mut self, ended: Ended, upstream: &UpstreamName, events: u64) -> Step {
        match ended {
            Ended::Unsent => self.policy.not_run += 1,
            Ended::Rejected => {
                self.policy.not_run += 1;
                let now = self.state.now();
                self.state.known().gate(&self.service).record_refused(now);
            }
            Ended::Broken | Ended::Failed | Ended::Silent => self.policy.ran += 1,
        }
        let now: Time = self.state.now();
        let Next { step, limit } = next_step(ended, &self.policy, now, || {
            self.state.known().budget.spend(&self.service, now)
        });
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
            reason: &limit.map(|l| l.to_string()).unwrap_or_default(),
            after_ms: self.elapsed_ms(),
        });
        step
    }
}

/// Why a send has no answer.
pub(super) enum SendError {
    /// It ended so, at this upstream.
    Ended(Ended, UpstreamName),
    /// No upstream was chosen.
    Refused(Failure),
}
