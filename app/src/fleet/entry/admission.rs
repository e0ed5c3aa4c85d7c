//! Requests that wait to be admitted in order, and the task that admits them.
//!
//! The task runs when something may have changed for a waiting request: a new one, a send that
//! ended, a load report, an update of the shared state, a stop, or a time at which a wait ends.
//! Replies are sent without the lock of the state held, because the guard of a place whose request
//! has left takes it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pimentotide_fleet::{
    AdmissionQueue, AdmissionTerms, Choice, ChoiceRequest, LOWEST_RANK, QueueBound, Refusal,
};
use pimentotide_model::{RequestId, ServiceName, Time, UpstreamName};
use pimentotide_observe::Metrics;
use pimentotide_routing::{Queued, Shed, ShedReason};
use tokio::sync::oneshot;

use super::attempt::TicketGuard;
use super::placing::Denial;
use super::state::{EntryState, Inner};

/// Time until the next attempt to choose an upstream if no event is known to end the denial.
const CHOOSE_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between checks for waits that have ended; the measured rate sinks with each check.
const SHED_INTERVAL: Duration = Duration::from_millis(50);

/// Waiting request.
#[derive(Debug)]
pub(super) struct Waiter {
    /// Upstreams already tried.
    pub(super) tried: Vec<UpstreamName>,
    /// Bound on its wait at an upstream.
    pub(super) bound: Option<QueueBound>,
    /// End of its wait if the service has no upstream.
    pub(super) absent_until: Time,
    /// Receiver of the decision.
    pub(super) reply: oneshot::Sender<Reply>,
}

/// Decision on a waiting request.
#[derive(Debug)]
pub(super) enum Reply {
    /// It has a place at an upstream, which the guard gives back if it is not used.
    Admitted(Choice, TicketGuard),
    /// It is refused.
    Refused(Refused),
    /// The lease has expired.
    NotCurrent,
    /// The entry stops.
    Stopping,
    /// Another configuration is in force.
    Redeclared,
}

/// Refusal of a waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    /// Reason of the queue; `None` if the denial cannot end in time.
    pub(super) reason: Option<ShedReason>,
    /// Reason why no upstream was chosen.
    pub(super) denial: Denial,
    /// Time after which the caller may retry.
    pub(super) retry: Duration,
}

/// Waiting requests by service.
#[derive(Debug, Default)]
pub(super) struct Admissions {
    services: BTreeMap<ServiceName, ServiceQueue>,
    /// Position of the configuration by which the requests were queued.
    declared: u64,
}

#[derive(Debug)]
struct ServiceQueue {
    queue: AdmissionQueue<Waiter>,
    /// Latest reason why the next request is not admitted.
    denial: Denial,
    checked_at: Time,
}

/// Replies to send once the lock is released.
type Replies = Vec<(oneshot::Sender<Reply>, Reply)>;

/// Result of entering the queue.
pub(super) struct Entered {
    /// Identifier in the queue.
    pub(super) id: RequestId,
    /// Estimated number of requests ahead.
    pub(super) ahead: u64,
    /// Number of requests that wait.
    pub(super) waiting: usize,
    /// Requests refused for it.
    shed: Vec<Shed<Waiter>>,
}

impl Admissions {
    /// Returns whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.services.values().all(|s| s.queue.is_empty())
    }

    /// Returns the reason why requests of a service wait; `None` if none waits.
    pub(super) fn denial(&self, service: &ServiceName) -> Option<Denial> {
        let service = self.services.get(service);
        let service = service.filter(|s| !s.queue.is_empty());
        service.map(|s| s.denial)
    }

    /// Records the configuration by which the first requests are queued.
    pub(super) fn start_at(&mut self, declared: u64) {
        if self.is_empty() {
            self.declared = declared;
        }
    }

    /// Adds a request that is denied now.
    pub(super) fn enter(
        &mut self,
        service: &ServiceName,
        terms: AdmissionTerms,
        waiter: Waiter,
        denial: Denial,
        now: Time,
    ) -> Entered {
        let service = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceQueue {
                queue: AdmissionQueue::new(service.clone()),
                denial,
                checked_at: now,
            });
        service.denial = denial;
        let id = service.queue.next_id();
        let ahead = service.queue.ahead(terms.clone(), now);
        let shed = service.queue.push(id, terms, waiter, now);
        Entered {
            id,
            ahead,
            waiting: service.queue.len(),
            shed,
        }
    }

    /// Removes a request that no longer waits.
    pub(super) fn leave(&mut self, service: &ServiceName, id: RequestId) -> Option<Queued<Waiter>> {
        self.services.get_mut(service)?.queue.cancel(id)
    }

    /// Sets the gauges of each priority rank, once a request has waited.
    pub(super) fn measure(&self, metrics: &Metrics, now: Time) {
        if self.services.is_empty() {
            return;
        }
        let ranks = usize::from(LOWEST_RANK) + 1;
        let mut waiting = vec![(0, Duration::ZERO); ranks];
        for backlog in self.services.values().flat_map(|s| s.queue.backlog(now)) {
            if let Some((count, oldest)) = waiting.get_mut(usize::from(backlog.rank)) {
                *count += backlog.count;
                *oldest = backlog.oldest.max(*oldest);
            }
        }
        for (rank, (count, oldest)) in waiting.into_iter().enumerate() {
            let rank = rank.to_string();
            metrics.gauge("entry.queue_waiting", ("rank", &rank), count as u64);
            let oldest = oldest.as_millis() as u64;
            metrics.gauge("entry.queue_oldest_ms", ("rank", &rank), oldest);
        }
    }

    fn take_all(&mut self) -> Vec<Queued<Waiter>> {
        let queues = self.services.values_mut();
        queues.flat_map(|s| s.queue.take_all()).collect()
    }
}

impl Entered {
    /// Refuses the requests that were shed.
    pub(super) fn reply(self, denial: Denial) {
        let shed = self.shed.into_iter();
        send(shed.map(|s| refused(s, denial)).collect());
    }
}

impl EntryState {
    /// Wakes the admission of waiting requests, if there are any.
    pub(super) fn notify_waiting(&self) {
        if !self.lock().admissions.is_empty() {
            self.admission.notify_one();
        }
    }

    /// Waits until waiting requests may be admitted.
    pub(super) async fn until_notified(&self) {
        self.admission.notified().await;
    }

    /// Admits waiting requests as far as upstreams have room; returns the time until this may
    /// change by itself, `None` if nothing waits.
    fn admit(self: &Arc<Self>) -> Option<Duration> {
        let mut replies = Replies::new();
        let pause = self.admit_into(&mut replies);
        send(replies);
        pause
    }

    fn admit_into(self: &Arc<Self>, replies: &mut Replies) -> Option<Duration> {
        let now = self.now();
        let inner = &mut *self.lock();
        let is_current = now < inner.lease_end();
        let declared = inner.declared();
        let queued_under = std::mem::replace(&mut inner.admissions.declared, declared);
        let end: Option<fn() -> Reply> = if self.is_refusing() {
            Some(|| Reply::Stopping)
        } else if !is_current {
            Some(|| Reply::NotCurrent)
        } else if declared != queued_under {
            Some(|| Reply::Redeclared)
        } else {
            None
        };
        if let Some(reply) = end {
            let taken = inner.admissions.take_all().into_iter();
            replies.extend(taken.map(|q| (q.item.reply, reply())));
            return None;
        }
        let mut services = std::mem::take(&mut inner.admissions.services);
        let waiting = services
            .iter_mut()
            .filter(|(_, service)| !service.queue.is_empty());
        let pauses: Vec<Duration> = waiting
            .filter_map(|(name, service)| self.admit_service(inner, name, service, now, replies))
            .collect();
        inner.admissions.services = services;
        let lease = inner.lease_end().since(now);
        pauses.into_iter().min().map(|pause| pause.min(lease))
    }

    /// Admits requests to one service; returns the time until it is to be tried again.
    fn admit_service(
        self: &Arc<Self>,
        inner: &mut Inner,
        name: &ServiceName,
        service: &mut ServiceQueue,
        now: Time,
        replies: &mut Replies,
    ) -> Option<Duration> {
        let due = service.queue.next_due().is_some_and(|due| due <= now);
        if due || now.since(service.checked_at) >= SHED_INTERVAL {
            service.checked_at = now;
            let denial = service.denial;
            let shed = service.queue.shed_late(now).into_iter();
            replies.extend(shed.map(|s| refused(s, denial)));
        }
        while let Some(next) = service.queue.peek(now) {
            let request = ChoiceRequest {
                service: name,
                tried: &next.item.tried,
                may_queue: false,
                bound: next.item.bound,
            };
            match inner.choose(&request, now) {
                Ok(choice) => {
                    let guard = TicketGuard::new(self.clone(), choice.ticket.clone());
                    let admitted = service.queue.pop(now)?;
                    replies.push((admitted.item.reply, Reply::Admitted(choice, guard)));
                }
                Err(denial) => {
                    service.denial = denial;
                    break;
                }
            }
        }
        let pause = denial_pause(service.denial);
        let hopeless = service
            .queue
            .take_where(|q| is_hopeless(q, service.denial, now));
        replies.extend(hopeless.into_iter().map(|q| {
            let refused = Refused {
                reason: None,
                denial: service.denial,
                retry: pause,
            };
            (q.item.reply, Reply::Refused(refused))
        }));
        let due = service.queue.next_due()?;
        // A wait that has just ended is found by the next check.
        Some(pause.min(due.since(now).max(Duration::from_millis(1))))
    }
}

/// Returns the time after which the same request may no longer be denied.
fn denial_pause(denial: Denial) -> Duration {
    match denial {
        Denial::Gate(pause) | Denial::Refusal(Refusal::Backoff(pause)) => pause,
        Denial::Refusal(Refusal::Limited(Some(pause))) => pause.max(Duration::from_millis(1)),
        Denial::Refusal(
            Refusal::Empty | Refusal::Full | Refusal::Cold | Refusal::Limited(None),
        ) => CHOOSE_INTERVAL,
    }
}

/// Whether a request would wait in vain.
fn is_hopeless(queued: &Queued<Waiter>, denial: Denial, now: Time) -> bool {
    match denial {
        Denial::Refusal(Refusal::Empty) => now >= queued.item.absent_until,
        // Waiting requests would only use up what newer ones could have.
        Denial::Refusal(Refusal::Limited(_)) => true,
        Denial::Refusal(Refusal::Backoff(pause)) => now + pause >= queued.deadline,
        Denial::Gate(_) | Denial::Refusal(Refusal::Cold | Refusal::Full) => false,
    }
}

fn refused(shed: Shed<Waiter>, denial: Denial) -> (oneshot::Sender<Reply>, Reply) {
    let refused = Refused {
        reason: Some(shed.reason),
        denial,
        retry: shed.retry,
    };
    (shed.queued.item.reply, Reply::Refused(refused))
}

fn send(replies: Replies) {
    for (sender, reply) in replies {
        // A request that has left gives its place back when the reply is dropped.
        drop(sender.send(reply));
    }
}

/// Admits waiting requests until the task is aborted.
pub(super) async fn admit_waiting(state: Arc<EntryState>) {
    loop {
        match state.admit() {
            Some(pause) => {
                // Both the signal and the timeout lead to the next check.
                let _ = tokio::time::timeout(pause, state.until_notified()).await;
            }
            None => state.until_notified().await,
        }
    }
}
