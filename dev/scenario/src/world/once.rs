//! Requests that run at most once: executes the actions of the attempt's state machine.

use std::time::Duration;

use pimentotide_control::Command;
use pimentotide_model::{Fingerprint, RequestMeta, UpstreamName};
use pimentotide_outcome::{
    Action, Answer, Attempt, Body, ClaimRef, Command as Journaled, Event, Finding, Intent, NotRun,
    Outcome, Place, Reply, generated_key,
};
use pimentotide_routing::{AttemptOutcome, Finished, Placement, Ticket};

use super::call::Purpose;
use super::engine::answer_to;
use super::history::CallerResult;
use super::packet::{Packet, Work, WorkAnswer};
use super::{NodeId, SimEvent, World};
use crate::script::RequestSpec;

/// Delay before placement is retried.
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time to wait for the answer to an inquiry.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(500);

/// Timed step of an attempt.
#[derive(Clone, Debug)]
pub(super) enum Timer {
    Choose,
    Propose(Box<Journaled>),
    Inquire(ClaimRef, Place),
    Unreachable(Place),
    Deadline,
}

/// An in-flight request that is not idempotent.
pub(super) struct OnceRequest {
    pub(super) entry: NodeId,
    name: String,
    content: String,
    meta: RequestMeta,
    attempt: Attempt,
    /// Increases with each action that expects an answer; answers to earlier stages are dropped.
    stage: u64,
    sends: u32,
    sending: bool,
    tried: Vec<UpstreamName>,
    ticket: Option<Ticket>,
    answered: bool,
}

impl OnceRequest {
    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }
}

impl World {
    pub(super) fn open_once(
        &mut self,
        id: u64,
        entry: NodeId,
        spec: &RequestSpec,
        meta: RequestMeta,
        content: String,
        attempts: u32,
    ) {
        let generated = meta.key.is_none();
        let intent = Intent {
            request: meta.id,
            workspace: meta.workspace.clone(),
            service: meta.service.clone(),
            key: meta.key.clone().unwrap_or_else(|| generated_key(meta.id)),
            generated,
            fingerprint: Fingerprint::of([content.as_bytes()]),
            attempts,
            deadline: meta.deadline,
        };
        let (attempt, actions) = Attempt::open(intent);
        let deadline = meta.deadline.since(self.local(entry));
        let once = OnceRequest {
            entry,
            name: spec.name.clone(),
            content,
            meta,
            attempt,
            stage: 0,
            sends: 0,
            sending: false,
            tried: Vec::new(),
            ticket: None,
            answered: false,
        };
        self.once_requests.insert(id, once);
        self.schedule(deadline, SimEvent::Once(id, 0, Timer::Deadline));
        self.once_actions(id, actions);
    }

    fn once_event(&mut self, id: u64, event: Event) {
        let Some(once) = self.once_requests.get_mut(&id) else {
            return;
        };
        let now = self.hosts[once.entry].clock.local(self.time);
        let actions = once.attempt.on(event, now);
        let closed = once.attempt.is_closed();
        self.once_actions(id, actions);
        if closed {
            self.once_requests.remove(&id);
        }
    }

    fn once_actions(&mut self, id: u64, actions: Vec<Action>) {
        for action in actions {
            let Some(once) = self.once_requests.get_mut(&id) else {
                return;
            };
            if !matches!(action, Action::Answer(_) | Action::Finish) {
                once.stage += 1;
                once.sending = false;
            }
            let stage = once.stage;
            match action {
                Action::Choose { .. } => self.choose(id),
                Action::Propose { command, after } => {
                    self.schedule(after, SimEvent::Once(id, stage, Timer::Propose(command)));
                }
                Action::Send { held, place } => self.send_once(id, held, place),
                Action::Inquire { held, place, after } => {
                    self.schedule(
                        after,
                        SimEvent::Once(id, stage, Timer::Inquire(held, place)),
                    );
                }
                Action::Answer(answer) => self.answer_once(id, answer),
                Action::Finish => {}
            }
        }
    }

    pub(super) fn once_timer(&mut self, id: u64, stage: u64, timer: Timer) {
        let Some(once) = self.once_requests.get(&id) else {
            return;
        };
        if once.stage != stage && !matches!(timer, Timer::Deadline) {
            return;
        }
        let entry = once.entry;
        match timer {
            Timer::Choose => self.choose(id),
            Timer::Propose(command) => {
                let command = Command::Outcome(*command);
                self.submit(entry, command, Purpose::Claim(id), None);
            }
            Timer::Inquire(held, place) => {
                if let Some(to) = self.node(place.upstream.as_str()) {
                    self.send(entry, to, Packet::Inquire(id, stage, held, place.clone()));
                }
                self.schedule(
                    INQUIRY_TIMEOUT,
                    SimEvent::Once(id, stage, Timer::Unreachable(place)),
                );
            }
            Timer::Unreachable(place) => {
                let lost = self.is_ledger_lost(entry, &place);
                self.once_event(
                    id,
                    if lost {
                        Event::Gone
                    } else {
                        Event::Unreachable
                    },
                );
            }
            Timer::Deadline => self.once_event(id, Event::DeadlinePassed),
        }
    }

    /// Whether the directory or the agent's reports show that the ledger with the claim is lost.
    fn is_ledger_lost(&self, entry: NodeId, place: &Place) -> bool {
        let entry = &self.entries[&entry];
        let listed = entry.watcher.view.get(&place.upstream).is_some();
        let epoch = entry.epochs.get(&place.upstream);
        !listed || epoch.is_some_and(|e| *e > place.epoch)
    }

    fn choose(&mut self, id: u64) {
        let Some(once) = self.once_requests.get(&id) else {
            return;
        };
        let (node, stage) = (once.entry, once.stage);
        let now = self.local(node);
        let entry = self
            .entries
            .get_mut(&node)
            .expect("an attempt ends with its entry");
        let placed = entry
            .placer
            .place(&once.meta, &once.tried, now, &mut self.rng);
        match placed {
            Placement::Chosen(decision) => {
                let upstream = decision.upstream;
                let incarnation = entry.watcher.view.get(&upstream).map(|a| a.incarnation);
                let place = Place {
                    incarnation: incarnation.unwrap_or_default(),
                    epoch: entry.epochs.get(&upstream).copied().unwrap_or_default(),
                    upstream: upstream.clone(),
                };
                let once = self
                    .once_requests
                    .get_mut(&id)
                    .expect("the attempt is open");
                once.ticket = Some(decision.ticket);
                once.tried.push(upstream);
                self.once_event(id, Event::Chosen(place));
            }
            Placement::Wait(_) => {
                let once = self
                    .once_requests
                    .get_mut(&id)
                    .expect("the attempt is open");
                once.tried.clear();
                self.schedule(
                    PLACEMENT_RETRY_DELAY,
                    SimEvent::Once(id, stage, Timer::Choose),
                );
            }
            Placement::Refused(failure) => self.once_event(id, Event::NoPlace(failure)),
        }
    }

    pub(super) fn once_committed(&mut self, id: u64, reply: Option<Reply>) {
        let event = reply.map_or(Event::Unconfirmed, Event::Committed);
        self.once_event(id, event);
    }

    fn send_once(&mut self, id: u64, held: ClaimRef, place: Place) {
        let once = self
            .once_requests
            .get_mut(&id)
            .expect("the attempt is open");
        once.sends += 1;
        once.sending = true;
        let (node, attempt) = (once.entry, once.sends);
        let (name, content) = (once.name.clone(), once.content.clone());
        let meta = once.meta.clone();
        let work = Work {
            request: id,
            attempt,
            name,
            content,
            from: 0,
            admission: self.admission_of(&meta, node),
            claim: Some((held, place.clone())),
        };
        if let Some(to) = self.node(place.upstream.as_str()) {
            self.send(node, to, Packet::Work(Box::new(work)));
        }
        self.schedule(
            Self::piece_timeout(),
            SimEvent::Once(id, self.once_requests[&id].stage, Timer::Unreachable(place)),
        );
    }

    pub(super) fn once_answered(&mut self, id: u64, attempt: u32, answer: WorkAnswer) {
        let once = self
            .once_requests
            .get_mut(&id)
            .expect("the attempt is open");
        if !once.sending || once.sends != attempt {
            return;
        }
        once.sending = false;
        once.stage += 1;
        let good = matches!(answer, WorkAnswer::Finished(_));
        self.release_once_ticket(
            id,
            if good {
                AttemptOutcome::Good
            } else {
                AttemptOutcome::Cancelled
            },
        );
        let event = match answer {
            WorkAnswer::Finished(outcome) => Event::Answered(outcome),
            WorkAnswer::NotRun(reason) => Event::NotRun(reason),
            WorkAnswer::Unsent => Event::NotRun(NotRun::Refused),
            _ => Event::Broken,
        };
        self.once_event(id, event);
    }

    fn release_once_ticket(&mut self, id: u64, outcome: AttemptOutcome) {
        let Some(once) = self.once_requests.get_mut(&id) else {
            return;
        };
        let now = self.hosts[once.entry].clock.local(self.time);
        let done = Finished {
            outcome,
            first_token: None,
            total: Duration::from_millis(1),
            tokens: 0,
            cached: None,
        };
        if let (Some(ticket), Some(entry)) = (once.ticket.take(), self.entries.get_mut(&once.entry))
        {
            entry.placer.finish(ticket, &once.meta, &done, now);
        }
    }

    pub(super) fn finding_received(&mut self, id: u64, stage: u64, finding: Finding) {
        if self
            .once_requests
            .get(&id)
            .is_some_and(|o| o.stage == stage)
        {
            self.once_event(id, Event::Found(finding));
        }
    }

    fn answer_once(&mut self, id: u64, answer: Answer) {
        self.release_once_ticket(id, AttemptOutcome::Cancelled);
        let once = self
            .once_requests
            .get_mut(&id)
            .expect("the attempt is open");
        once.answered = true;
        let (name, content) = (once.name.clone(), once.content.clone());
        match answer {
            Answer::Outcome(outcome) => {
                let found = body_of(&outcome);
                let expected = answer_to(&content);
                self.history.complete(self.time, &name, &found, &expected);
            }
            Answer::Failure(failure) => self.answer_caller(&name, CallerResult::Failure(failure)),
        }
    }

    pub(super) fn drop_once_requests(&mut self, node: NodeId) {
        let once_requests: Vec<u64> = self
            .once_requests
            .iter()
            .filter(|(_, o)| o.entry == node)
            .map(|(id, _)| *id)
            .collect();
        for id in once_requests {
            let once = self.once_requests.remove(&id).expect("it was listed");
            if !once.answered {
                self.answer_caller(&once.name, CallerResult::Lost);
            }
        }
    }
}

fn body_of(outcome: &Outcome) -> Vec<String> {
    match &outcome.body {
        Body::Whole(blob) => {
            let text = String::from_utf8_lossy(&blob.0);
            text.split(' ').map(str::to_owned).collect()
        }
        Body::Digest { .. } | Body::Omitted => Vec::new(),
    }
}
