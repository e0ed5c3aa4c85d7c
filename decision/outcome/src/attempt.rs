//! Entry side of a non-idempotent request: claim, send, inquire, settle.
//!
//! One attempt object serves one request of a caller. It sends each claim at
//! most once, proposes one command at a time, and retries a proposal whose
//! reply was lost under the same ticket. A request is reported as not run only
//! after a committed reply that its key is open, or if the entry generated the
//! key and is therefore the only one that can run it.

mod message;

use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{ClaimId, ErrorKind, Failure, Ran, Time};

use crate::{
    Body, Claim, ClaimRef, Command, Finding, NotRun, Outcome, Place, Reply, Ticket, Verdict,
};

pub use message::{Action, Answer, Event, Intent};

/// Backoff before the first retry; doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// Maximum backoff between retries.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of retries while no caller waits.
const MAX_UNATTENDED_RETRIES: u32 = 8;
/// Unanswered inquiries about another entry's claim before the request fails.
const MAX_FOREIGN_INQUIRIES: u32 = 5;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Choosing,
    Claiming(Place),
    LookingUp(Failure),
    Sent(ClaimRef, Place),
    Inquiring(Inquiry),
    Settling(ClaimRef, Arc<Outcome>),
    Releasing(ClaimRef, NotRun),
    MarkingLost(ClaimRef, bool),
    Closed,
}

/// Claim whose agent is queried; `own` if this attempt sent it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Inquiry {
    held: ClaimRef,
    place: Place,
    own: bool,
}

/// State of one non-idempotent request at its entry.
#[derive(Clone, Debug, Hash)]
pub struct Attempt {
    intent: Intent,
    state: State,
    attempt: u32,
    retries: u32,
    caller_waiting: bool,
    timed_out: bool,
}

impl Attempt {
    /// Starts the first attempt, with a waiting caller.
    pub fn open(intent: Intent) -> (Self, Vec<Action>) {
        let attempt = Self {
            intent,
            state: State::Choosing,
            attempt: 1,
            retries: 0,
            caller_waiting: true,
            timed_out: false,
        };
        (attempt, vec![Action::Choose { attempt: 1 }])
    }

    /// Returns whether the request needs no further action.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Handles an event; events that do not apply to the state are ignored.
    pub fn on(&mut self, event: Event, now: Time) -> Vec<Action> {
        match (self.state.clone(), event) {
            (State::Closed, _) => Vec::new(),
            (_, Event::CallerGone) => self.caller_gone(),
            (_, Event::DeadlinePassed) => self.deadline_passed(),
            (State::Choosing, Event::Chosen(place)) => self.chosen(place, now),
            (State::Choosing, Event::NoPlace(failure)) => self.look_up(failure),
            (State::Claiming(place), Event::Committed(reply)) => self.claimed(place, reply, now),
            (State::Claiming(_), Event::Unconfirmed) => self.claim_unconfirmed(now),
            (State::LookingUp(failure), Event::Committed(reply)) => self.looked_up(failure, &reply),
            (State::LookingUp(failure), Event::Unconfirmed) => self.lookup_unconfirmed(failure),
            (State::Sent(held, place), event) => self.sent(held, place, event),
            (State::Inquiring(inquiry), Event::Found(finding)) => self.found(inquiry, finding),
            (State::Inquiring(inquiry), Event::Unreachable) => self.unreachable(&inquiry),
            (State::Inquiring(inquiry), Event::Gone) => self.mark_lost(inquiry.held, false),
            (State::Settling(_, outcome), Event::Committed(_)) => self.answer_outcome(outcome),
            (State::Releasing(_, reason), Event::Committed(reply)) => self.released(reason, &reply),
            (State::MarkingLost(..), Event::Committed(reply)) => self.marked_lost(&reply),
            (
                State::Settling(..) | State::Releasing(..) | State::MarkingLost(..),
                Event::Unconfirmed,
            ) => self.close_unconfirmed(),
            _ => Vec::new(),
        }
    }

    fn chosen(&mut self, place: Place, now: Time) -> Vec<Action> {
        let command = self.claim_command(&place, now);
        self.enter(State::Claiming(place));
        vec![propose(command, Duration::ZERO)]
    }

    fn claimed(&mut self, place: Place, reply: Reply, now: Time) -> Vec<Action> {
        match reply {
            Reply::Granted(claim) => {
                let held = self.claim_ref(claim);
                if self.timed_out || !self.caller_waiting {
                    return self.release(held, NotRun::Refused);
                }
                self.enter(State::Sent(held.clone(), place.clone()));
                vec![Action::Send { held, place }]
            }
            Reply::Running { claim, place, .. } => {
                let held = self.claim_ref(claim);
                let own = false;
                self.inquire(Inquiry { held, place, own })
            }
            Reply::Verdict(Verdict::Wait(pause)) => self.wait_for_trial(&place, pause, now),
            Reply::Verdict(Verdict::Occupied) => self.wait_for_trial(&place, MAX_BACKOFF, now),
            Reply::Verdict(Verdict::Refused(pause)) => {
                let detail = "this content crashed two upstreams";
                let failure = Failure::new(ErrorKind::CrashingRequest, detail);
                self.fail(failure.with_retry(pause))
            }
            Reply::Full => {
                let detail = "the journal has no room for another key of this workspace";
                self.fail(Failure::new(ErrorKind::Overloaded, detail))
            }
            reply => self.answer_key_state(&reply),
        }
    }

    fn wait_for_trial(&mut self, place: &Place, pause: Duration, now: Time) -> Vec<Action> {
        if !self.caller_waiting {
            return self.finish();
        }
        if self.timed_out || now + pause >= self.intent.deadline {
            let detail = "no upstream is free to run this suspected content alone";
            return self.fail(Failure::new(ErrorKind::NoUpstream, detail).with_retry(pause));
        }
        vec![propose(self.claim_command(place, now), pause)]
    }

    fn claim_unconfirmed(&mut self, now: Time) -> Vec<Action> {
        let State::Claiming(place) = &self.state else {
            return Vec::new();
        };
        if self.timed_out || !self.caller_waiting {
            let failure = Failure::new(ErrorKind::NoQuorum, "the claim was not confirmed");
            return self.fail_unsent(failure);
        }
        let command = self.claim_command(place, now);
        vec![propose(command, self.next_backoff())]
    }

    fn look_up(&mut self, failure: Failure) -> Vec<Action> {
        if self.intent.generated {
            return self.fail(failure.with_ran(Ran::No));
        }
        self.enter(State::LookingUp(failure));
        vec![propose(self.lookup_command(), Duration::ZERO)]
    }

    fn looked_up(&mut self, failure: Failure, reply: &Reply) -> Vec<Action> {
        match reply {
            Reply::Open => self.fail(failure.with_ran(Ran::No)),
            Reply::Running { .. } => self.still_running(),
            reply => self.answer_key_state(reply),
        }
    }

    fn lookup_unconfirmed(&mut self, failure: Failure) -> Vec<Action> {
        if self.timed_out || self.retries >= MAX_UNATTENDED_RETRIES {
            return self.fail_unsent(failure);
        }
        let after = self.next_backoff();
        vec![propose(self.lookup_command(), after)]
    }

    fn sent(&mut self, held: ClaimRef, place: Place, event: Event) -> Vec<Action> {
        match event {
            Event::Answered(outcome) => self.settle(held, outcome),
            Event::NotRun(reason) => self.release(held, reason),
            Event::Broken => {
                let own = true;
                self.inquire(Inquiry { held, place, own })
            }
            Event::Gone => self.mark_lost(held, false),
            _ => Vec::new(),
        }
    }

    fn inquire(&mut self, inquiry: Inquiry) -> Vec<Action> {
        let action = Action::Inquire {
            held: inquiry.held.clone(),
            place: inquiry.place.clone(),
            after: Duration::ZERO,
        };
        self.enter(State::Inquiring(inquiry));
        vec![action]
    }

    fn found(&mut self, inquiry: Inquiry, finding: Finding) -> Vec<Action> {
        match finding {
            Finding::Finished(outcome) => self.settle(inquiry.held, outcome),
            Finding::NotRun(reason) => self.release(inquiry.held, reason),
            Finding::Died => self.mark_lost(inquiry.held, true),
            Finding::Lost => self.mark_lost(inquiry.held, false),
            Finding::Running if inquiry.own => {
                self.inquire_again(&inquiry, ErrorKind::StillRunning)
            }
            Finding::Running => self.still_running(),
        }
    }

    fn unreachable(&mut self, inquiry: &Inquiry) -> Vec<Action> {
        if !inquiry.own && self.retries >= MAX_FOREIGN_INQUIRIES {
            return self.fail(agent_unreachable());
        }
        self.inquire_again(inquiry, ErrorKind::OutcomeUnknown)
    }

    fn inquire_again(&mut self, inquiry: &Inquiry, kind: ErrorKind) -> Vec<Action> {
        if !self.caller_waiting && self.retries >= MAX_UNATTENDED_RETRIES {
            return self.finish();
        }
        if self.timed_out && self.caller_waiting {
            return self.fail(Failure::new(kind, "the deadline passed"));
        }
        vec![Action::Inquire {
            held: inquiry.held.clone(),
            place: inquiry.place.clone(),
            after: self.next_backoff(),
        }]
    }

    fn settle(&mut self, held: ClaimRef, outcome: Arc<Outcome>) -> Vec<Action> {
        let command = self.settle_command(&held, &outcome);
        self.enter(State::Settling(held, outcome));
        vec![propose(command, Duration::ZERO)]
    }

    fn release(&mut self, held: ClaimRef, reason: NotRun) -> Vec<Action> {
        let command = Command::Release(held.clone());
        self.enter(State::Releasing(held, reason));
        vec![propose(command, Duration::ZERO)]
    }

    fn released(&mut self, reason: NotRun, reply: &Reply) -> Vec<Action> {
        let kind = match reason {
            _ if self.timed_out => ErrorKind::DeadlineExceeded,
            NotRun::Refused => ErrorKind::Overloaded,
            NotRun::Barred | NotRun::OtherEpoch | NotRun::OtherIncarnation => ErrorKind::NoUpstream,
        };
        let failure = Failure::new(kind, "no upstream accepted the request");
        self.retry_or_fail(reply, failure)
    }

    fn mark_lost(&mut self, held: ClaimRef, crashed: bool) -> Vec<Action> {
        let command = Command::Lose {
            held: held.clone(),
            crashed,
        };
        self.enter(State::MarkingLost(held, crashed));
        vec![propose(command, Duration::ZERO)]
    }

    fn marked_lost(&mut self, reply: &Reply) -> Vec<Action> {
        let failure = Failure::new(ErrorKind::NoUpstream, "no upstream accepted the request");
        self.retry_or_fail(reply, failure)
    }

    /// Makes another attempt if the key is open again, otherwise reports its state.
    fn retry_or_fail(&mut self, reply: &Reply, failure: Failure) -> Vec<Action> {
        let not_run = match reply {
            Reply::Open => true,
            Reply::Superseded => false,
            reply => return self.answer_key_state(reply),
        };
        if self.caller_waiting && !self.timed_out && self.attempt < self.intent.attempts {
            self.attempt += 1;
            self.enter(State::Choosing);
            let attempt = self.attempt;
            return vec![Action::Choose { attempt }];
        }
        if not_run {
            self.fail(failure.with_ran(Ran::No))
        } else {
            self.fail(failure.with_ran(Ran::Unknown))
        }
    }

    /// Retries a proposal that closes a claim.
    fn close_unconfirmed(&mut self) -> Vec<Action> {
        if !self.caller_waiting && self.retries >= MAX_UNATTENDED_RETRIES {
            return self.finish();
        }
        let command = match &self.state {
            State::Settling(held, outcome) => self.settle_command(held, outcome),
            State::Releasing(held, _) => Command::Release(held.clone()),
            State::MarkingLost(held, crashed) => Command::Lose {
                held: held.clone(),
                crashed: *crashed,
            },
            _ => return Vec::new(),
        };
        vec![propose(command, self.next_backoff())]
    }

    fn caller_gone(&mut self) -> Vec<Action> {
        self.caller_waiting = false;
        match self.state {
            State::Choosing | State::LookingUp(_) => self.finish(),
            _ => Vec::new(),
        }
    }

    fn deadline_passed(&mut self) -> Vec<Action> {
        if self.timed_out {
            return Vec::new();
        }
        self.timed_out = true;
        let failure = Failure::new(ErrorKind::DeadlineExceeded, "the deadline passed");
        match self.state.clone() {
            State::Choosing => self.look_up(failure),
            State::Sent(..) | State::MarkingLost(..) => self.answer_early(Answer::Failure(failure)),
            State::Releasing(..) => {
                let failure = self.mark_unsent(failure);
                self.answer_early(Answer::Failure(failure))
            }
            State::Settling(_, outcome) => self.answer_early(Answer::Outcome(outcome)),
            State::Inquiring(_) => self.fail(failure),
            State::Claiming(_) | State::LookingUp(_) | State::Closed => Vec::new(),
        }
    }

    /// Answers the caller from the state of its key.
    fn answer_key_state(&mut self, reply: &Reply) -> Vec<Action> {
        match reply {
            Reply::Recorded(outcome) => self.replay(outcome),
            Reply::Spent => self.fail(not_replayable("the request ran; its answer was removed")),
            Reply::Unknown => {
                let detail = "whether the request ran is unknown; it will not run again";
                self.fail(Failure::new(ErrorKind::OutcomeUnknown, detail))
            }
            Reply::Mismatch => {
                let detail = "the key was used for a request with other content";
                self.fail(Failure::new(ErrorKind::KeyMismatch, detail))
            }
            Reply::Running { .. } => self.still_running(),
            reply => {
                let detail = format!("unexpected journal reply {reply:?}");
                self.fail(Failure::new(ErrorKind::Internal, detail))
            }
        }
    }

    /// Replays a recorded answer if it was stored in full.
    fn replay(&mut self, outcome: &Arc<Outcome>) -> Vec<Action> {
        let status = outcome.status;
        let detail = match &outcome.body {
            Body::Whole(_) => return self.answer_outcome(Arc::clone(outcome)),
            Body::Digest { bytes, .. } => {
                format!("the request ran with status {status}; {bytes} bytes were not stored")
            }
            Body::Omitted => format!("the request ran with status {status}; no answer is stored"),
        };
        self.fail(not_replayable(&detail))
    }

    fn still_running(&mut self) -> Vec<Action> {
        let detail = "a request with this key is still running";
        self.fail(Failure::new(ErrorKind::StillRunning, detail))
    }

    fn answer_outcome(&mut self, outcome: Arc<Outcome>) -> Vec<Action> {
        self.answer_and_finish(Answer::Outcome(outcome))
    }

    fn fail(&mut self, failure: Failure) -> Vec<Action> {
        self.answer_and_finish(Answer::Failure(failure))
    }

    fn fail_unsent(&mut self, failure: Failure) -> Vec<Action> {
        let failure = self.mark_unsent(failure);
        self.fail(failure)
    }

    /// Reports an unsent request as not run only if no other entry can run it.
    fn mark_unsent(&self, failure: Failure) -> Failure {
        let ran = if self.intent.generated {
            Ran::No
        } else {
            Ran::Unknown
        };
        failure.with_ran(ran)
    }

    fn answer_and_finish(&mut self, answer: Answer) -> Vec<Action> {
        let mut actions = self.answer_early(answer);
        actions.extend(self.finish());
        actions
    }

    fn answer_early(&mut self, answer: Answer) -> Vec<Action> {
        if !self.caller_waiting {
            return Vec::new();
        }
        self.caller_waiting = false;
        vec![Action::Answer(answer)]
    }

    fn finish(&mut self) -> Vec<Action> {
        self.state = State::Closed;
        vec![Action::Finish]
    }

    fn enter(&mut self, state: State) {
        self.state = state;
        self.retries = 0;
    }

    fn next_backoff(&mut self) -> Duration {
        let backoff = INITIAL_BACKOFF * (1 << self.retries.min(7));
        self.retries += 1;
        backoff.min(MAX_BACKOFF)
    }

    fn claim_ref(&self, claim: ClaimId) -> ClaimRef {
        ClaimRef {
            workspace: self.intent.workspace.clone(),
            key: self.intent.key.clone(),
            claim,
        }
    }

    fn claim_command(&self, place: &Place, now: Time) -> Command {
        let intent = &self.intent;
        Command::Claim(Claim {
            ticket: Ticket {
                request: intent.request,
                attempt: self.attempt,
            },
            workspace: intent.workspace.clone(),
            service: intent.service.clone(),
            key: intent.key.clone(),
            generated: intent.generated,
            fingerprint: intent.fingerprint,
            place: place.clone(),
            allowed: intent.deadline.since(now),
        })
    }

    fn settle_command(&self, held: &ClaimRef, outcome: &Outcome) -> Command {
        let recorded = if self.intent.generated {
            outcome.omitted()
        } else {
            outcome.bounded()
        };
        Command::Settle {
            held: held.clone(),
            outcome: Arc::new(recorded),
        }
    }

    fn lookup_command(&self) -> Command {
        Command::Look {
            workspace: self.intent.workspace.clone(),
            key: self.intent.key.clone(),
            fingerprint: self.intent.fingerprint,
        }
    }
}

fn propose(command: Command, after: Duration) -> Action {
    let command = Box::new(command);
    Action::Propose { command, after }
}

fn agent_unreachable() -> Failure {
    let detail = "the agent that may have run the request is unreachable; retry";
    Failure::new(ErrorKind::OutcomeUnknown, detail).with_retry(MAX_BACKOFF)
}

fn not_replayable(detail: &str) -> Failure {
    Failure::new(ErrorKind::OutcomeUnknown, detail).with_ran(Ran::Yes)
}
