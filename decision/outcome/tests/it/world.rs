//! Model of entries, agents and the journal for exhaustive exploration.
//!
//! The model counts the runs at the upstreams itself, independently of claims, so
//! that a fault in the claims cannot hide a second run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pimentotide_model::{
    ClaimId, ErrorKind, Failure, Fingerprint, IdempotencyKey, Incarnation, Ran, RequestId,
    ServiceName, Time, UpstreamName, WorkspaceName,
};
use pimentotide_outcome::{
    Action, AgentLedger, Answer, Attempt, Begin, Blob, Body, ClaimRef, Command, Conclusion, Event,
    Finding, Intent, Journal, LedgerEpoch, LedgerLimits, NotRun, Outcome, Place, Reply,
};

/// Number of upstreams, each with an agent.
pub(crate) const UPSTREAMS: usize = 2;
/// Maximum number of inquiries of an entry while the claim runs or its agent is down.
const MAX_POLLS: u32 = 2;

/// Defects that a test injects on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Hash)]
pub(crate) enum Defect {
    /// No defect.
    #[default]
    None,
    /// Agents do not bar the claims that they receive an inquiry about.
    NoBarring,
    /// Agents restart under their previous epoch.
    ReusedEpoch,
}

#[derive(Clone, Debug, Hash)]
struct Agent {
    alive: bool,
    epoch: u64,
    incarnation: u64,
    ledger: AgentLedger,
    running: Vec<Run>,
}

/// Work that an upstream runs.
#[derive(Clone, Debug, Hash)]
struct Run {
    claim: ClaimId,
    entry: usize,
    /// Whether the current agent process started it.
    tracked: bool,
    /// Whether the connection of the sending entry is open.
    connected: bool,
}

/// Message in flight.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(crate) enum Message {
    Choose(usize, u32),
    Propose(usize, Box<Command>),
    /// A proposal that timed out at its entry and may still commit.
    DelayedProposal(Box<Command>),
    Send(usize, ClaimRef, Place),
    /// A send whose connection broke at the entry and which may still arrive.
    DelayedSend(ClaimRef, Place),
    Inquire(usize, ClaimRef, Place),
}

impl Message {
    /// Returns the entry that waits for it; each waits for at most one message.
    fn entry(&self) -> usize {
        match self {
            Self::Choose(entry, _)
            | Self::Propose(entry, _)
            | Self::Send(entry, ..)
            | Self::Inquire(entry, ..) => *entry,
            Self::DelayedProposal(_) | Self::DelayedSend(..) => usize::MAX,
        }
    }
}

/// Next step of the model.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    Deliver(usize),
    /// The proposal is lost before it commits.
    DropProposal(usize),
    /// The proposal commits, but its reply is lost.
    DropReply(usize),
    /// The proposal times out at its entry and may still commit.
    Delay(usize),
    /// The send arrives and is refused.
    Refuse(usize),
    /// The connection breaks and the send is lost.
    DropSend(usize),
    /// The connection breaks, but the send may still arrive.
    Sever(usize),
    /// The inquiry receives no reply.
    Unreachable(usize),
    /// The directory reports an agent that is down as lost.
    Withdraw(usize),
    /// The directory reports an agent that is alive as lost.
    MisreportGone(usize),
    /// The connection of a run breaks.
    Disconnect(usize, usize),
    Finish(usize, usize),
    /// The upstream crashes and restarts under its agent.
    Crash(usize),
    /// The agent restarts while its upstream continues.
    Restart(usize),
    /// The agent and its upstream stop for good.
    Kill(usize),
    KillEntry(usize),
    Deadline(usize),
    CallerGone(usize),
    Retry,
}

impl Step {
    /// Returns whether the step counts against the number of faults.
    pub(crate) fn is_fault(&self) -> bool {
        !matches!(
            self,
            Self::Deliver(_) | Self::Finish(..) | Self::Retry | Self::Withdraw(_)
        )
    }
}

#[derive(Clone, Debug, Hash)]
struct Entry {
    attempt: Option<Attempt>,
    polls: u32,
    answer: Option<Answer>,
}

/// State of the model.
#[derive(Clone, Debug, Hash)]
pub(crate) struct World {
    journal: Journal,
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    messages: Vec<Message>,
    owners: BTreeMap<ClaimId, usize>,
    pub(crate) runs: u32,
    pub(crate) generated: bool,
    defect: Defect,
    pub(crate) violation: Option<String>,
}

impl World {
    pub(crate) fn new(generated: bool, defect: Defect) -> Self {
        let mut world = Self {
            journal: Journal::default(),
            agents: (0..UPSTREAMS).map(|_| Agent::new()).collect(),
            entries: Vec::new(),
            messages: Vec::new(),
            owners: BTreeMap::new(),
            runs: 0,
            generated,
            defect,
            violation: None,
        };
        world.request();
        world
    }

    /// Returns the possible steps, with faults only if `faults` is set.
    pub(crate) fn steps(&self, faults: bool) -> Vec<Step> {
        let mut steps = Vec::new();
        for (i, message) in self.messages.iter().enumerate() {
            self.message_steps(i, message, &mut steps);
        }
        for (i, agent) in self.agents.iter().enumerate() {
            steps.extend((0..agent.running.len()).map(|r| Step::Finish(i, r)));
            steps.extend((0..agent.running.len()).map(|r| Step::Disconnect(i, r)));
            if agent.alive {
                steps.extend([Step::Crash(i), Step::Restart(i), Step::Kill(i)]);
            }
        }
        for (i, entry) in self.entries.iter().enumerate() {
            if entry.attempt.is_some() {
                steps.extend([Step::KillEntry(i), Step::Deadline(i), Step::CallerGone(i)]);
            }
        }
        if self.entries.len() < 2 && !self.generated {
            steps.push(Step::Retry);
        }
        steps.retain(|s| faults || !s.is_fault());
        steps
    }

    pub(crate) fn take(&mut self, step: &Step) {
        match *step {
            Step::Deliver(i) => self.deliver(i),
            Step::DropProposal(i) => self.lose(i, false),
            Step::DropReply(i) => self.lose(i, true),
            Step::Delay(i) => self.delay(i),
            Step::Refuse(i) => self.refuse(i),
            Step::DropSend(i) => self.sever(i, false),
            Step::Sever(i) => self.sever(i, true),
            Step::Unreachable(i) => self.end_inquiry(i, Event::Unreachable),
            Step::Withdraw(i) | Step::MisreportGone(i) => self.end_inquiry(i, Event::Gone),
            Step::Disconnect(agent, run) => self.disconnect(agent, run),
            Step::Finish(agent, run) => self.finish(agent, run),
            Step::Crash(agent) => self.crash(agent),
            Step::Restart(agent) => self.restart(agent),
            Step::Kill(agent) => self.kill(agent),
            Step::KillEntry(entry) => self.entries[entry].attempt = None,
            Step::Deadline(entry) => self.notify(entry, Event::DeadlinePassed),
            Step::CallerGone(entry) => self.notify(entry, Event::CallerGone),
            Step::Retry => {
                self.request();
            }
        }
    }

    /// Adds a request with the same key through a new entry and returns that entry.
    pub(crate) fn request(&mut self) -> usize {
        let entry = self.entries.len();
        let generated = self.generated && entry == 0;
        let (attempt, actions) = Attempt::open(intent(entry, generated));
        self.entries.push(Entry {
            attempt: Some(attempt),
            polls: 0,
            answer: None,
        });
        self.carry_out(entry, actions);
        entry
    }

    pub(crate) fn answer(&self, entry: usize) -> Option<&Answer> {
        self.entries[entry].answer.as_ref()
    }

    /// Returns whether any caller received the answer of the run.
    pub(crate) fn outcome_answered(&self) -> bool {
        let mut answers = self.entries.iter().filter_map(|e| e.answer.as_ref());
        answers.any(|a| matches!(a, Answer::Outcome(_)))
    }

    fn message_steps(&self, i: usize, message: &Message, steps: &mut Vec<Step>) {
        match message {
            Message::Choose(..) | Message::DelayedProposal(_) | Message::DelayedSend(..) => {
                steps.push(Step::Deliver(i));
            }
            Message::Propose(..) => {
                let losses = [Step::DropProposal(i), Step::DropReply(i), Step::Delay(i)];
                steps.push(Step::Deliver(i));
                steps.extend(losses);
            }
            Message::Send(..) => {
                let faults = [Step::Refuse(i), Step::DropSend(i), Step::Sever(i)];
                steps.push(Step::Deliver(i));
                steps.extend(faults);
            }
            Message::Inquire(entry, held, place) => {
                let agent = &self.agents[index(place)];
                let runs = agent
                    .running
                    .iter()
                    .any(|r| r.claim == held.claim && r.tracked);
                let unresolved = runs || !agent.alive;
                if !unresolved || self.entries[*entry].polls < MAX_POLLS {
                    steps.push(Step::Deliver(i));
                }
                if agent.alive {
                    steps.extend([Step::Unreachable(i), Step::MisreportGone(i)]);
                } else {
                    steps.push(Step::Withdraw(i));
                }
            }
        }
    }

    fn deliver(&mut self, i: usize) {
        match self.messages.remove(i) {
            Message::Choose(entry, attempt) => self.choose(entry, attempt),
            Message::Propose(entry, command) => {
                let reply = self.apply(entry, &command);
                self.notify(entry, Event::Committed(reply));
            }
            Message::DelayedProposal(command) => {
                self.journal.apply(&command, Time::ZERO);
            }
            Message::Send(entry, held, place) => {
                let event = self.arrive(entry, &held, &place, true);
                event.into_iter().for_each(|e| self.notify(entry, e));
            }
            Message::DelayedSend(held, place) => {
                self.arrive(usize::MAX, &held, &place, true);
            }
            Message::Inquire(entry, held, place) => self.inquire(entry, &held, &place),
        }
    }

    fn choose(&mut self, entry: usize, attempt: u32) {
        let first = (entry + attempt as usize) % UPSTREAMS;
        let order = [first, (first + 1) % UPSTREAMS];
        let event = match order.into_iter().find(|i| self.agents[*i].alive) {
            Some(i) => Event::Chosen(self.agents[i].place(i)),
            None => Event::NoPlace(Failure::new(ErrorKind::NoUpstream, "none")),
        };
        self.notify(entry, event);
    }

    fn apply(&mut self, entry: usize, command: &Command) -> Reply {
        let reply = self.journal.apply(command, Time::ZERO);
        if let Reply::Granted(claim) = &reply {
            self.owners.insert(*claim, entry);
        }
        reply
    }

    fn lose(&mut self, i: usize, applied: bool) {
        let Message::Propose(entry, command) = self.messages.remove(i) else {
            return;
        };
        if applied {
            self.apply(entry, &command);
        }
        self.notify(entry, Event::Unconfirmed);
    }

    fn delay(&mut self, i: usize) {
        let Message::Propose(entry, command) = self.messages.remove(i) else {
            return;
        };
        self.messages.push(Message::DelayedProposal(command));
        self.notify(entry, Event::Unconfirmed);
    }

    fn refuse(&mut self, i: usize) {
        if let Message::Send(entry, held, place) = self.messages.remove(i) {
            let event = self.arrive(entry, &held, &place, false);
            event.into_iter().for_each(|e| self.notify(entry, e));
        }
    }

    fn sever(&mut self, i: usize, arrives: bool) {
        let Message::Send(entry, held, place) = self.messages.remove(i) else {
            return;
        };
        if arrives {
            self.messages.push(Message::DelayedSend(held, place));
        }
        self.notify(entry, Event::Broken);
    }

    fn end_inquiry(&mut self, i: usize, event: Event) {
        if let Message::Inquire(entry, ..) = self.messages.remove(i) {
            self.notify(entry, event);
        }
    }

    fn disconnect(&mut self, agent: usize, run: usize) {
        let run = &mut self.agents[agent].running[run];
        let entry = run.entry;
        if std::mem::take(&mut run.connected) {
            self.notify(entry, Event::Broken);
        }
    }

    /// Delivers a claim to the agent; returns the event that its sender receives at once.
    fn arrive(
        &mut self,
        entry: usize,
        held: &ClaimRef,
        place: &Place,
        accepted: bool,
    ) -> Option<Event> {
        let claim = held.claim;
        let agent = &mut self.agents[index(place)];
        if !agent.alive {
            return Some(Event::Broken);
        }
        match agent.ledger.begin(claim, place, Time::ZERO) {
            Begin::Run if accepted => {
                let connected = entry != usize::MAX;
                let tracked = true;
                agent.running.push(Run {
                    claim,
                    entry,
                    tracked,
                    connected,
                });
                self.count_run(claim);
                None
            }
            Begin::Run => {
                agent.ledger.finish(claim, Conclusion::Refused, Time::ZERO);
                Some(Event::NotRun(NotRun::Refused))
            }
            Begin::NotRun(reason) => Some(Event::NotRun(reason)),
            Begin::Finished(outcome) => Some(Event::Answered(outcome)),
            Begin::Running | Begin::Lost => Some(Event::Broken),
        }
    }

    fn inquire(&mut self, entry: usize, held: &ClaimRef, place: &Place) {
        self.entries[entry].polls += 1;
        let agent = &mut self.agents[index(place)];
        if !agent.alive {
            return self.notify(entry, Event::Unreachable);
        }
        let before = agent.ledger.clone();
        let finding = agent.ledger.inquire(held.claim, place, Time::ZERO);
        if self.defect == Defect::NoBarring && finding == Finding::NotRun(NotRun::Barred) {
            agent.ledger = before;
        }
        self.notify(entry, Event::Found(finding));
    }

    fn finish(&mut self, agent: usize, run: usize) {
        let run = self.agents[agent].running.remove(run);
        if run.tracked {
            let end = Conclusion::Finished(outcome());
            self.agents[agent].ledger.finish(run.claim, end, Time::ZERO);
        }
        if run.connected {
            self.notify(run.entry, Event::Answered(outcome()));
        }
    }

    fn crash(&mut self, agent: usize) {
        let host = &mut self.agents[agent];
        host.incarnation += 1;
        host.ledger.upstream_crashed(Time::ZERO);
        host.ledger.upstream_started(Incarnation(host.incarnation));
        self.break_connections(agent);
        self.agents[agent].running.clear();
    }

    fn restart(&mut self, agent: usize) {
        self.break_connections(agent);
        let defect = self.defect;
        let restarted = &mut self.agents[agent];
        restarted.epoch += u64::from(defect != Defect::ReusedEpoch);
        restarted.ledger = open_ledger(restarted.epoch, restarted.incarnation);
        restarted.running.iter_mut().for_each(|r| r.tracked = false);
    }

    fn kill(&mut self, agent: usize) {
        self.break_connections(agent);
        self.agents[agent].alive = false;
        self.agents[agent].running.clear();
    }

    fn break_connections(&mut self, agent: usize) {
        for run in 0..self.agents[agent].running.len() {
            self.disconnect(agent, run);
        }
    }

    fn notify(&mut self, entry: usize, event: Event) {
        let Some(attempt) = &mut self.entries[entry].attempt else {
            return;
        };
        let actions = attempt.on(event, Time::ZERO);
        self.carry_out(entry, actions);
    }

    fn carry_out(&mut self, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Choose { attempt } => self.messages.push(Message::Choose(entry, attempt)),
                Action::Propose { command, .. } => {
                    self.messages.push(Message::Propose(entry, command));
                }
                Action::Send { held, place, .. } => {
                    self.messages.push(Message::Send(entry, held, place));
                }
                Action::Inquire { held, place, .. } => {
                    self.messages.push(Message::Inquire(entry, held, place));
                }
                Action::Answer(answer) => self.answered(entry, answer),
                Action::Finish => self.entries[entry].attempt = None,
            }
        }
        self.messages.sort_by_key(Message::entry);
    }

    fn answered(&mut self, entry: usize, answer: Answer) {
        if self.entries[entry].answer.is_some() {
            self.violation = Some(format!("entry {entry} answered twice"));
        }
        match &answer {
            Answer::Failure(failure) if failure.ran == Ran::No && self.runs > 0 => {
                self.violation = Some(format!("reported \"not run\" after a run: {failure}"));
            }
            Answer::Outcome(delivered) if *delivered != outcome() => {
                self.violation = Some("delivered another answer".to_owned());
            }
            _ => {}
        }
        self.entries[entry].answer = Some(answer);
    }

    fn count_run(&mut self, claim: ClaimId) {
        self.runs += 1;
        if self.runs > 1 {
            self.violation = Some("the request ran twice".to_owned());
        }
        let owner = self.owners.get(&claim).map(|e| &self.entries[*e].answer);
        if let Some(Some(Answer::Failure(failure))) = owner
            && failure.ran == Ran::No
        {
            self.violation = Some(format!("a run after \"not run\": {failure}"));
        }
    }
}

impl Agent {
    fn new() -> Self {
        Self {
            alive: true,
            epoch: 1,
            incarnation: 1,
            ledger: open_ledger(1, 1),
            running: Vec::new(),
        }
    }

    fn place(&self, i: usize) -> Place {
        Place {
            upstream: UpstreamName::from(["0", "1"][i]),
            incarnation: Incarnation(self.incarnation),
            epoch: LedgerEpoch(self.epoch),
        }
    }
}

fn open_ledger(epoch: u64, incarnation: u64) -> AgentLedger {
    let epoch = LedgerEpoch(epoch);
    AgentLedger::open(epoch, Incarnation(incarnation), LedgerLimits::default())
}

fn index(place: &Place) -> usize {
    usize::from(place.upstream.as_str() == "1")
}

fn intent(entry: usize, generated: bool) -> Intent {
    Intent {
        request: RequestId(entry as u128 + 1),
        workspace: WorkspaceName::from("kumasi"),
        service: ServiceName::from("lodging"),
        key: IdempotencyKey::from("order-7"),
        generated,
        fingerprint: Fingerprint::of([b"content".as_slice()]),
        attempts: 2,
        deadline: Time::ZERO + Duration::from_secs(30),
    }
}

pub(crate) fn outcome() -> Arc<Outcome> {
    Arc::new(Outcome {
        status: 201,
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        body: Body::Whole(Blob(Bytes::from_static(b"sealed"))),
    })
}
