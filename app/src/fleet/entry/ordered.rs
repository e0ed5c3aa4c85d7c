//! Admission of a request in order of priority, target and share.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_fleet::{
    AdmissionTerms, BEGIN_RATIO, Choice, ChoiceRequest, Match, QueueBound, Refusal, RouteKind,
    RouteTable, is_in_time, latest_send, request_work,
};
use pimentotide_model::{ErrorKind, Failure, RequestId, ServiceName, Time};
use pimentotide_platform::Call;
use pimentotide_routing::ShedReason;
use tokio::sync::oneshot;

use super::admission::{Refused, Reply, Waiter};
use super::attempt::{Attempt, TicketGuard};
use super::placing::{
    Denial, MAX_RETRY_DELAY, MIN_RETRY_FULL, MIN_RETRY_NO_UPSTREAM, TYPICAL_STREAM_TIME,
    TYPICAL_WHOLE_TIME, max_absent_wait,
};
use super::relay::{RETRY_DELAY_STALE, RETRY_DELAY_STOPPING, mismatch_failure};
use super::state::EntryState;
use crate::lines::Queued;

/// Terms on which a request is admitted.
#[derive(Clone, Debug)]
pub(super) struct Order {
    /// Priority rank; 0 is the most urgent.
    pub(super) rank: u8,
    /// Time from its arrival to its first event; zero if it has no target.
    target: Duration,
    /// Work that it takes from the share of its workspace.
    work: u64,
}

impl Order {
    /// Returns the terms of a request.
    pub(super) fn of(
        table: &RouteTable,
        found: &Match<'_>,
        service: &ServiceName,
        call: &Call,
    ) -> Self {
        Self {
            rank: table.rank(found, service),
            target: found.route.target_latency,
            work: request_work(call.tokens, call.length_hint),
        }
    }
}

/// Request in the queue; leaves it when dropped.
struct Waiting {
    state: Arc<EntryState>,
    service: ServiceName,
    id: RequestId,
    reply: oneshot::Receiver<Reply>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let left = self.state.lock().admissions.leave(&self.service, self.id);
        drop(left);
    }
}

/// Times of one wait, which stay the same under another configuration.
#[derive(Clone, Copy)]
struct Wait {
    arrived: Time,
    until: Time,
    absent_until: Time,
}

impl Attempt {
    /// Chooses an upstream when it is this request's turn.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused, or if it may no longer be sent.
    pub(super) async fn place(&mut self) -> Result<Choice, Failure> {
        let arrived = self.state.now();
        let wait = Wait {
            arrived,
            until: self.wait_end(arrived),
            absent_until: arrived + max_absent_wait(self.remaining()),
        };
        loop {
            let waiting = match self.enter(wait)? {
                Ok(choice) => return Ok(choice),
                Err(waiting) => waiting,
            };
            match self.until_reply(waiting).await? {
                Reply::Admitted(choice, guard) => return self.accept(choice, guard),
                Reply::Refused(refused) => return Err(self.refused(refused)),
                Reply::NotCurrent => return Err(self.not_current()),
                Reply::Stopping => {
                    let failure = self.failure(ErrorKind::Stopping, "this entry stops");
                    return Err(failure.with_retry(RETRY_DELAY_STOPPING));
                }
                Reply::Redeclared => self.match_again()?,
            }
        }
    }

    /// Chooses an upstream if no other request waits and one has room, otherwise enters the queue.
    fn enter(&self, wait: Wait) -> Result<Result<Choice, Waiting>, Failure> {
        let now = self.state.now();
        if !is_in_time(&self.policy, now) {
            return Err(self.failure(ErrorKind::DeadlineExceeded, "no time left to send it"));
        }
        self.check_content()?;
        let mut state = self.state.lock();
        if now >= state.lease_end() {
            drop(state);
            return Err(self.not_current());
        }
        let bound = self.queue_bound();
        let denial = match state.admissions.denial(&self.service) {
            Some(denial) => denial,
            None => {
                let request = ChoiceRequest {
                    service: &self.service,
                    tried: &self.tried,
                    may_queue: false,
                    bound,
                };
                match state.choose(&request, now) {
                    Ok(choice) => {
                        if self.sends == 0 {
                            state.budget.earn(&self.service, now);
                        }
                        drop(state);
                        self.count_admitted();
                        return Ok(Ok(choice));
                    }
                    Err(denial) => denial,
                }
            }
        };
        let (sender, reply) = oneshot::channel();
        let waiter = Waiter {
            tried: self.tried.clone(),
            bound,
            absent_until: wait.absent_until,
            reply: sender,
        };
        let terms = self.terms(wait);
        let declared = state.declared();
        state.admissions.start_at(declared);
        let entered = state
            .admissions
            .enter(&self.service, terms, waiter, denial, now);
        drop(state);
        pimentotide_observe::event(&Queued {
            request: &self.call.id,
            route: &self.route,
            rank: self.order.rank,
            ahead: entered.ahead,
            waiting: entered.waiting,
            reason: denial.to_string(),
            left_ms: self.remaining().as_millis(),
        });
        let waiting = Waiting {
            state: self.state.clone(),
            service: self.service.clone(),
            id: entered.id,
            reply,
        };
        entered.reply(denial);
        self.state.notify_waiting();
        Ok(Err(waiting))
    }

    fn terms(&self, wait: Wait) -> AdmissionTerms {
        let order = &self.order;
        let received = self.state.clock().past(self.call.received);
        let has_target = self.sends == 0 && !order.target.is_zero();
        AdmissionTerms {
            rank: order.rank,
            resend: self.sends > 0,
            workspace: self.workspace.clone(),
            target: has_target.then(|| received + order.target.mul_f64(1.0 - BEGIN_RATIO)),
            deadline: latest_send(&self.policy),
            work: order.work,
            bytes: self.call.body.len() as u64,
            arrived: wait.arrived,
            until: wait.until,
        }
    }

    fn queue_bound(&self) -> Option<QueueBound> {
        let order = &self.order;
        let usual = match self.kind {
            RouteKind::Streaming => TYPICAL_STREAM_TIME,
            RouteKind::Idempotent | RouteKind::NonIdempotent => TYPICAL_WHOLE_TIME,
        };
        (!order.target.is_zero()).then(|| QueueBound {
            wait: order.target.mul_f64(BEGIN_RATIO),
            usual,
            streams: self.kind == RouteKind::Streaming,
        })
    }

    /// Waits for the decision of the queue, or until the content is refused.
    async fn until_reply(&self, mut waiting: Waiting) -> Result<Reply, Failure> {
        let withdrawn = self.state.until_refused(&self.digests);
        tokio::select! {
            reply = &mut waiting.reply => Ok(reply.unwrap_or(Reply::Stopping)),
            () = withdrawn => Err(self.crashing()),
        }
    }

    /// Takes over an admitted place, unless the request may no longer be sent.
    fn accept(&self, choice: Choice, guard: TicketGuard) -> Result<Choice, Failure> {
        let now = self.state.now();
        self.check_content()?;
        let mut state = self.state.lock();
        if now >= state.lease_end() {
            drop(state);
            return Err(self.not_current());
        }
        if self.sends == 0 {
            state.budget.earn(&self.service, now);
        }
        drop(state);
        self.count_admitted();
        guard.release();
        Ok(choice)
    }

    /// Matches the request to the configuration in force.
    fn match_again(&mut self) -> Result<(), Failure> {
        let table = self.state.table().map_err(|_| self.not_current())?;
        let key = self.call.key.as_deref();
        let found = table
            .find(&self.call.host, self.call.path(), key)
            .map_err(|m| mismatch_failure(m).with_ran(self.ran()))?;
        let split = &found.route.split;
        if !split.iter().any(|(s, w)| *s == self.service && *w > 0) {
            let detail = "its route leads to another service now";
            return Err(self.failure(ErrorKind::NoUpstream, detail));
        }
        self.order = Order::of(&table, &found, &self.service, &self.call);
        self.version = table.declaration().version;
        Ok(())
    }

    fn refused(&self, refused: Refused) -> Failure {
        let (kind, min_delay) = match refused.denial {
            Denial::Gate(_) | Denial::Refusal(Refusal::Empty) => {
                (ErrorKind::NoUpstream, MIN_RETRY_NO_UPSTREAM)
            }
            Denial::Refusal(Refusal::Backoff(left) | Refusal::Limited(Some(left))) => {
                (ErrorKind::Overloaded, left)
            }
            Denial::Refusal(_) => (ErrorKind::Overloaded, MIN_RETRY_FULL),
        };
        let (reason, text) = match refused.reason {
            Some(ShedReason::Full) => ("full", ": the queue is full"),
            Some(ShedReason::OverShare) => ("displaced", ": displaced from the full queue"),
            Some(ShedReason::Deadline) => ("deadline", ": it cannot begin before its deadline"),
            Some(ShedReason::Waited) => ("waited", ": it has waited, or would wait, too long"),
            None => ("denied", ""),
        };
        let metrics = self.state.metrics();
        metrics.count("entry.queue_refused", ("reason", reason), 1);
        let detail = format!("{}{text}", refused.denial);
        let min_delay = refused.retry.min(MAX_RETRY_DELAY).max(min_delay);
        self.failure_after(kind, &detail, min_delay)
    }

    fn not_current(&self) -> Failure {
        let detail = "no replica has confirmed the configuration for too long";
        let failure = self.failure(ErrorKind::NotCurrent, detail);
        failure.with_retry(RETRY_DELAY_STALE)
    }

    fn check_content(&self) -> Result<(), Failure> {
        if self.state.is_refused(&self.digests) {
            return Err(self.crashing());
        }
        Ok(())
    }

    fn count_admitted(&self) {
        let rank = self.order.rank.to_string();
        let metrics = self.state.metrics();
        metrics.count("entry.admitted", ("rank", &rank), 1);
    }
}
