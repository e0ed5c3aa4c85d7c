//! The entry's side of a non-idempotent request: claim, send, inquire, settle.
//!
//! One attempt object serves one request of a caller. It sends each claim at
//! most once, proposes one command at a time, and repeats a proposal whose
//! answer was lost under the same ticket. "Not run" is told only on the ground
//! of a committed answer that the key is open, or when the entry made the key
//! up and so is the only one that can run it.

mod message;

use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{ClaimId, ErrorKind, Failure, Ran, Time};

use crate::{
    Body, Claim, ClaimRef, Command, Finding, NotRun, Outcome, Place, Reply, Ticket, Verdict,
};

pub use message::{Action, Answer, Event, Intent};

/// Pause before the first repetition; doubles with each one.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause between repetitions.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Repetitions on behalf of nobody who waits.
const MAX_UNATTENDED: u32 = 8;
/// Inquiries about a claim of another entry before its agent counts as silent.
const MAX_FOREIGN: u32 = 5;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Choosing,
    Claiming(Place),
    Looking(Failure),
    Sent(ClaimRef, Place),
    Inquiring(Subject),
    Settling(ClaimRef, Arc<Outcome>),
    Releasing(ClaimRef, NotRun),
    Losing(ClaimRef, bool),
    Closed,
}

/// Claim that is asked about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Subject {
    held: ClaimRef,
    place: Place,
    mine: bool,
}

/// Progress of one non-idempotent request at its entry.
#[derive(Clone, Debug, Hash)]
pub struct Attempt {
    intent: Intent,
    state: State,
    attempt: u32,
    repeats: u32,
    waiting: bool,
    late: bool,
}

impl Attempt {
    /// Opens the attempt; the caller waits for its answer.
    pub fn open(intent: Intent) -> (Self, Vec<Action>) {
        let attempt = Self {
            intent,
            state: State::Choosing,
            attempt: 1,
            repeats: 0,
            waiting: true,
            late: false,
        };
        (attempt, vec![Action::Choose { attempt: 1 }])
    }

    /// Whether nothing is left to do.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Takes in an event; events that do not fit the state change nothing.
    pub fn on(&mut self, event: Event, now: Time) -> Vec<Action> {
        match (self.state.clone(), event) {
            (State::Closed, _) => Vec::new(),
            (_, Event::CallerGone) => self.caller_gone(),
            (_, Event::DeadlinePassed) => self.deadline_passed(),
            (State::Choosing, Event::Chosen(place)) => self.chosen(place, now),
            (State::Choosing, Event::NoPlace(failure)) => self.look(failure),
            (State::Claiming(place), Event::Committed(reply)) => self.claimed(place, reply, now),
            (State::Claiming(_), Event::Unconfirmed) => self.claim_unconfirmed(now),
            (State::Looking(failure), Event::Committed(reply)) => self.looked(failure, &reply),
            (State::Looking(failure), Event::Unconfirmed) => self.look_unconfirmed(failure),
            (State::Sent(held, place), event) => self.sent(held, place, event),
            (State::Inquiring(subject), Event::Found(finding)) => self.found(subject, finding),
            (State::Inquiring(subject), Event::Unreachable) => self.unreachable(&subject),
            (State::Inquiring(subject), Event::Gone) => self.lose(subject.held, false),
            (State::Settling(_, outcome), Event::Committed(_)) => self.answer_outcome(outcome),
            (State::Releasing(_, reason), Event::Committed(reply)) => self.released(reason, &reply),
            (State::Losing(..), Event::Committed(reply)) => self.lost(&reply),
            (
                State::Settling(..) | State::Releasing(..) | State::Losing(..),
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
                let held = self.held(claim);
                if self.late || !self.waiting {
                    return self.release(held, NotRun::Refused);
                }
                self.enter(State::Sent(held.clone(), place.clone()));
                vec![Action::Send { held, place }]
            }
            Reply::Running { claim, place, .. } => {
                let held = self.held(claim);
                let mine = false;
                self.inquire(Subject { held, place, mine })
            }
            Reply::Verdict(Verdict::Wait(pause)) => self.wait_for_trial(&place, pause, now),
            Reply::Verdict(Verdict::Occupied) => self.wait_for_trial(&place, MAX_PAUSE, now),
            Reply::Verdict(Verdict::Refused(pause)) => {
                let detail = "this content crashed two upstreams";
                let failure = Failure::new(ErrorKind::CrashingRequest, detail);
                self.fail(failure.with_retry(pause))
            }
            Reply::Full => {
                let detail = "the workspace has too many keys to remember";
                self.fail(Failure::new(ErrorKind::Overloaded, detail))
            }
            reply => self.tell(&reply),
        }
    }

    fn wait_for_trial(&mut self, place: &Place, pause: Duration, now: Time) -> Vec<Action> {
        if !self.waiting {
            return self.finish();
        }
        if self.late || now + pause >= self.intent.deadline {
            let detail = "no upstream is free to run this content apart";
            return self.fail(Failure::new(ErrorKind::NoUpstream, detail).with_retry(pause));
        }
        vec![propose(self.claim_command(place, now), pause)]
    }

    fn claim_unconfirmed(&mut self, now: Time) -> Vec<Action> {
        let State::Claiming(place) = &self.state else {
            return Vec::new();
        };
        if self.late || !self.waiting {
            let failure = Failure::new(ErrorKind::NoQuorum, "the claim was not confirmed");
            return self.fail_unproved(failure);
        }
        let command = self.claim_command(place, now);
        vec![propose(command, self.pause())]
    }

    fn look(&mut self, failure: Failure) -> Vec<Action> {
        if self.intent.generated {
            return self.fail(failure.with_ran(Ran::No));
        }
        self.enter(State::Looking(failure));
        vec![propose(self.look_command(), Duration::ZERO)]
    }

    fn looked(&mut self, failure: Failure, reply: &Reply) -> Vec<Action> {
        match reply {
            Reply::Open => self.fail(failure.with_ran(Ran::No)),
            Reply::Running { .. } => self.still_running(),
            reply => self.tell(reply),
        }
    }

    fn look_unconfirmed(&mut self, failure: Failure) -> Vec<Action> {
        if self.late || self.repeats >= MAX_UNATTENDED {
            return self.fail_unproved(failure);
        }
        let after = self.pause();
        vec![propose(self.look_command(), after)]
    }

    fn sent(&mut self, held: ClaimRef, place: Place, event: Event) -> Vec<Action> {
        match event {
            Event::Answered(outcome) => self.settle(held, outcome),
            Event::NotRun(reason) => self.release(held, reason),
            Event::Broken => {
                let mine = true;
                self.inquire(Subject { held, place, mine })
            }
            Event::Gone => self.lose(held, false),
            _ => Vec::new(),
        }
    }

    fn inquire(&mut self, subject: Subject) -> Vec<Action> {
        let action = Action::Inquire {
            held: subject.held.clone(),
            place: subject.place.clone(),
            after: Duration::ZERO,
        };
        self.enter(State::Inquiring(subject));
        vec![action]
    }

    fn found(&mut self, subject: Subject, finding: Finding) -> Vec<Action> {
        match finding {
            Finding::Finished(outcome) => self.settle(subject.held, outcome),
            Finding::NotRun(reason) => self.release(subject.held, reason),
            Finding::Died => self.lose(subject.held, true),
            Finding::Lost => self.lose(subject.held, false),
            Finding::Running if subject.mine => {
                self.inquire_again(&subject, ErrorKind::StillRunning)
            }
            Finding::Running => self.still_running(),
        }
    }

    fn unreachable(&mut self, subject: &Subject) -> Vec<Action> {
        if !subject.mine && self.repeats >= MAX_FOREIGN {
            return self.fail(silent_agent());
        }
        self.inquire_again(subject, ErrorKind::OutcomeUnknown)
    }

    fn inquire_again(&mut self, subject: &Subject, kind: ErrorKind) -> Vec<Action> {
        if !self.waiting && self.repeats >= MAX_UNATTENDED {
            return self.finish();
        }
        if self.late && self.waiting {
            return self.fail(Failure::new(kind, "the deadline passed"));
        }
        vec![Action::Inquire {
            held: subject.held.clone(),
            place: subject.place.clone(),
            after: self.pause(),
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
            _ if self.late => ErrorKind::DeadlineExceeded,
            NotRun::Refused => ErrorKind::Overloaded,
            NotRun::Barred | NotRun::OtherEpoch | NotRun::OtherIncarnation => ErrorKind::NoUpstream,
        };
        let failure = Failure::new(kind, "no upstream took the request");
        self.reopened(reply, failure)
    }

    fn lose(&mut self, held: ClaimRef, crashed: bool) -> Vec<Action> {
        let command = Command::Lose {
            held: held.clone(),
            crashed,
        };
        self.enter(State::Losing(held, crashed));
        vec![propose(command, Duration::ZERO)]
    }

    fn lost(&mut self, reply: &Reply) -> Vec<Action> {
        let failure = Failure::new(ErrorKind::NoUpstream, "no upstream took the request");
        self.reopened(reply, failure)
    }

    /// Tries again if the key came free, or says what it stands for.
    fn reopened(&mut self, reply: &Reply, failure: Failure) -> Vec<Action> {
        let proved = match reply {
            Reply::Open => true,
            Reply::Superseded => false,
            reply => return self.tell(reply),
        };
        if self.waiting && !self.late && self.attempt < self.intent.attempts {
            self.attempt += 1;
            self.enter(State::Choosing);
            let attempt = self.attempt;
            return vec![Action::Choose { attempt }];
        }
        if proved {
            self.fail(failure.with_ran(Ran::No))
        } else {
            self.fail(failure.with_ran(Ran::Unknown))
        }
    }

    /// Repeats a proposal that closes a claim.
    fn close_unconfirmed(&mut self) -> Vec<Action> {
        if !self.waiting && self.repeats >= MAX_UNATTENDED {
            return self.finish();
        }
        let command = match &self.state {
            State::Settling(held, outcome) => self.settle_command(held, outcome),
            State::Releasing(held, _) => Command::Release(held.clone()),
            State::Losing(held, crashed) => Command::Lose {
                held: held.clone(),
                crashed: *crashed,
            },
            _ => return Vec::new(),
        };
        vec![propose(command, self.pause())]
    }

    fn caller_gone(&mut self) -> Vec<Action> {
        self.waiting = false;
        match self.state {
            State::Choosing | State::Looking(_) => self.finish(),
            _ => Vec::new(),
        }
    }

    fn deadline_passed(&mut self) -> Vec<Action> {
        if self.late {
            return Vec::new();
        }
        self.late = true;
        let failure = Failure::new(ErrorKind::DeadlineExceeded, "the deadline passed");
        match self.state.clone() {
            State::Choosing => self.look(failure),
            State::Sent(..) | State::Losing(..) => self.answer_early(Answer::Failure(failure)),
            State::Releasing(..) => {
                let failure = self.unproved(failure);
                self.answer_early(Answer::Failure(failure))
            }
            State::Settling(_, outcome) => self.answer_early(Answer::Outcome(outcome)),
            State::Inquiring(_) => self.fail(failure),
            State::Claiming(_) | State::Looking(_) | State::Closed => Vec::new(),
        }
    }

    /// Tells the caller what its key stands for.
    fn tell(&mut self, reply: &Reply) -> Vec<Action> {
        match reply {
            Reply::Recorded(outcome) => self.repeat(outcome),
            Reply::Spent => self.fail(unrepeatable("it ran; its answer is no longer kept")),
            Reply::Unknown => {
                let detail = "nobody can tell whether the request ran; it will not run again";
                self.fail(Failure::new(ErrorKind::OutcomeUnknown, detail))
            }
            Reply::Mismatch => {
                let detail = "the key belongs to a request with other content";
                self.fail(Failure::new(ErrorKind::KeyMismatch, detail))
            }
            Reply::Running { .. } => self.still_running(),
            reply => {
                let detail = format!("unexpected reply {reply:?}");
                self.fail(Failure::new(ErrorKind::Internal, detail))
            }
        }
    }

    /// Repeats a recorded answer, if all of it was recorded.
    fn repeat(&mut self, outcome: &Arc<Outcome>) -> Vec<Action> {
        let status = outcome.status;
        let detail = match &outcome.body {
            Body::Whole(_) => return self.answer_outcome(Arc::clone(outcome)),
            Body::Digest { bytes, .. } => {
                format!("it ran with status {status}; {bytes} bytes are too many to repeat")
            }
            Body::Omitted => format!("it ran with status {status}; its answer is not kept"),
        };
        self.fail(unrepeatable(&detail))
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

    fn fail_unproved(&mut self, failure: Failure) -> Vec<Action> {
        let failure = self.unproved(failure);
        self.fail(failure)
    }

    /// Says "not run" of an unsent request only if no other entry can run it.
    fn unproved(&self, failure: Failure) -> Failure {
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
        if !self.waiting {
            return Vec::new();
        }
        self.waiting = false;
        vec![Action::Answer(answer)]
    }

    fn finish(&mut self) -> Vec<Action> {
        self.state = State::Closed;
        vec![Action::Finish]
    }

    fn enter(&mut self, state: State) {
        self.state = state;
        self.repeats = 0;
    }

    fn pause(&mut self) -> Duration {
        let pause = FIRST_PAUSE * (1 << self.repeats.min(7));
        self.repeats += 1;
        pause.min(MAX_PAUSE)
    }

    fn held(&self, claim: ClaimId) -> ClaimRef {
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

    fn look_command(&self) -> Command {
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

fn silent_agent() -> Failure {
    let detail = "the agent that may have run the request does not answer; ask again";
    Failure::new(ErrorKind::OutcomeUnknown, detail).with_retry(MAX_PAUSE)
}

fn unrepeatable(detail: &str) -> Failure {
    Failure::new(ErrorKind::OutcomeUnknown, detail).with_ran(Ran::Yes)
}
