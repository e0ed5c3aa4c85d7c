//! The actor that drives the state machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::{Actor, ActorContext, AsyncContext, Context, Handler};
use pimentotide_consensus::{
    Action, Applier, ClusterId, Envelope, Event, Identity, Index, Machine, Node, Outcome,
    ProposalId, Recovered, Reject, Ticket, Write,
};
use pimentotide_model::{ErrorKind, Failure, InstanceName, Ran, Time};
use tokio::sync::watch;

use super::clock::moment;
use super::founding;
use super::link::Links;
use super::message::{
    Applied, ChangeMembers, Delivery, Found, GetStatus, Halt, HandOver, Propose, Query, Read,
    Refusal, Reply, Synced, WriteFailed,
};
use super::options::ReplicaOptions;
use super::status::{DiskHealth, LeaderView, ReplicaStatus};
use super::writer::Writer;
use crate::Clock;

/// Shortest pause between ticks of the state machine.
const TICK: Duration = Duration::from_millis(10);
/// Ticks in the pause between two heartbeats, at most.
const TICKS_PER_HEARTBEAT: u32 = 5;
/// Pause between log lines about messages meant for another disk.
const REFUSAL_PAUSE: Duration = Duration::from_secs(10);

/// Control replica.
pub struct Replica<M> {
    options: ReplicaOptions,
    clock: Clock,
    node: Node,
    applier: Applier<M>,
    writer: Writer,
    links: Links,
    /// Messages that wait for a write.
    held: Vec<(Ticket, Envelope)>,
    synced: Ticket,
    /// Addresses that senders gave for themselves.
    known: BTreeMap<InstanceName, SocketAddr>,
    waiting: BTreeMap<ProposalId, Waiting>,
    issued: u64,
    founding: Option<Write>,
    disk: DiskHealth,
    refused: Option<Time>,
    applied: watch::Sender<Index>,
    leader: watch::Sender<LeaderView>,
}

/// Someone who waits for a result.
struct Waiting {
    reply: Pending,
    until: Time,
}

enum Pending {
    Command(Reply<Applied>),
    Position(Reply<Index>),
    /// The position is known; the machine has yet to reach it.
    Reached(Reply<Index>, Index),
}

impl Pending {
    fn refuse(self, refusal: Refusal) {
        // Whoever asked may have gone.
        match self {
            Self::Command(reply) => drop(reply.send(Err(refusal))),
            Self::Position(reply) | Self::Reached(reply, _) => drop(reply.send(Err(refusal))),
        }
    }
}

/// What an actor is built from.
pub(super) struct Parts<M> {
    pub(super) options: ReplicaOptions,
    pub(super) recovered: Recovered,
    pub(super) machine: M,
    pub(super) writer: Writer,
    pub(super) seed: u64,
    pub(super) applied: watch::Sender<Index>,
    pub(super) leader: watch::Sender<LeaderView>,
}

impl<M> Replica<M>
where
    M: Machine + Send + Unpin + 'static,
{
    /// Builds the actor from an open folder.
    pub(super) fn new(parts: Parts<M>) -> Result<Self, Failure> {
        let clock = Clock::start();
        let Parts { options, .. } = parts;
        let (node, actions) = Node::start(parts.recovered, options.log, parts.seed, moment(clock));
        let mut replica = Self {
            links: Links::new(options.address, options.token.clone()),
            options,
            clock,
            node,
            applier: Applier::new(parts.machine),
            writer: parts.writer,
            held: Vec::new(),
            synced: Ticket(0),
            known: BTreeMap::new(),
            waiting: BTreeMap::new(),
            issued: 0,
            founding: None,
            disk: DiskHealth::Good,
            refused: None,
            applied: parts.applied,
            leader: parts.leader,
        };
        for action in actions {
            if let Action::Restore(snapshot) = &action {
                replica
                    .applier
                    .restore(snapshot.meta.last.index, &snapshot.data)
                    .map_err(|e| Failure::new(ErrorKind::DiskFailed, e.to_string()))?;
            }
        }
        replica.publish();
        Ok(replica)
    }

    /// Tells the state machine of an event and carries out what follows.
    fn step(&mut self, event: Event) {
        let actions = self.node.step(event, moment(self.clock));
        for action in actions {
            self.carry_out(action);
        }
        self.compact();
        self.publish();
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Write(write) => self.writer.write(write),
            Action::Send { after, envelope } if after <= self.synced => self.send(envelope),
            Action::Send { after, envelope } => self.held.push((after, envelope)),
            Action::Apply(entry) => {
                if let Some((id, outcome)) = self.applier.apply(&entry) {
                    self.finish(id, outcome);
                }
            }
            Action::Restore(snapshot) => {
                let last = snapshot.meta.last.index;
                match self.applier.restore(last, &snapshot.data) {
                    Ok(jumped) => {
                        for (id, outcome) in jumped {
                            self.finish(id, outcome);
                        }
                    }
                    Err(e) => self.fail(&e.to_string()),
                }
            }
            Action::Accepted(id, index, term) => {
                if let Some(old) = self.applier.accept(id, index, term) {
                    self.finish(old, Outcome::Replaced);
                }
            }
            Action::Rejected(id, reason) => self.reject(id, &reason),
            Action::ReadReady(id, index) => self.reached(id, index),
            Action::Refused { from, intended } => self.note_refusal(&from, &intended),
        }
    }

    fn send(&mut self, envelope: Envelope) {
        let name = &envelope.to.name;
        let member = self.node.config().member(name).map(|m| m.address);
        let known = || self.known.get(name).copied();
        let founder = || self.options.founders.get(name).copied();
        if let Some(address) = member.or_else(known).or_else(founder) {
            self.links.send(address, envelope);
        }
    }

    fn finish(&mut self, id: ProposalId, outcome: Outcome) {
        let Some(Waiting {
            reply: Pending::Command(reply),
            ..
        }) = self.waiting.remove(&id)
        else {
            return;
        };
        let result = match outcome {
            Outcome::Applied(index, answer) => Ok((index, answer)),
            Outcome::Replaced => Err(self.not_leader("another leader's entry took its place")),
            Outcome::Unknown => Err(Refusal::from(Failure::new(
                ErrorKind::OutcomeUnknown,
                "a snapshot jumped over the proposal",
            ))),
        };
        // Whoever asked may have gone.
        let _ = reply.send(result);
    }

    /// Answers a read once the machine has reached its position.
    fn reached(&mut self, id: ProposalId, index: Index) {
        let Some(Waiting { reply, until }) = self.waiting.remove(&id) else {
            return;
        };
        match reply {
            Pending::Position(reply) if index <= self.applier.applied() => {
                // Whoever asked may have gone.
                let _ = reply.send(Ok(index));
            }
            Pending::Position(reply) => {
                let reply = Pending::Reached(reply, index);
                self.waiting.insert(id, Waiting { reply, until });
            }
            other => other.refuse(Refusal::from(Failure::new(
                ErrorKind::Internal,
                "a command was answered as a read",
            ))),
        }
    }

    fn reject(&mut self, id: ProposalId, reason: &Reject) {
        let Some(waiting) = self.waiting.remove(&id) else {
            return;
        };
        let kind = match reason {
            Reject::NotLeader(_) | Reject::Transferring => {
                let refusal = self.not_leader(&reason.to_string());
                waiting.reply.refuse(refusal);
                return;
            }
            Reject::NoQuorum | Reject::WouldLoseQuorum(_) => ErrorKind::NoQuorum,
            Reject::DiskFailed => ErrorKind::DiskFailed,
            Reject::ChangePending | Reject::AlreadyMember(_) => ErrorKind::RevisionConflict,
            Reject::NotMember(_) => ErrorKind::NotFound,
            Reject::Overloaded => ErrorKind::Overloaded,
        };
        let failure = Failure::new(kind, reason.to_string()).with_ran(Ran::No);
        waiting.reply.refuse(Refusal::from(failure));
    }

    fn not_leader(&self, detail: &str) -> Refusal {
        let view = self.leader_view();
        let leader = view
            .leader
            .filter(|_| !view.here)
            .map(|(_, address)| address);
        let detail = match leader {
            Some(address) => address.to_string(),
            None => detail.to_owned(),
        };
        Refusal {
            failure: Failure::new(ErrorKind::NotLeader, detail),
            leader,
        }
    }

    /// Notes who waits and returns the number to ask the state machine with.
    fn wait(&mut self, reply: Pending) -> ProposalId {
        self.issued += 1;
        let id = ProposalId(self.issued);
        let until = self.clock.now() + self.options.patience;
        self.waiting.insert(id, Waiting { reply, until });
        id
    }

    /// Gives up on those who have waited for too long.
    fn expire(&mut self) {
        let now = self.clock.now();
        let late: Vec<ProposalId> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.applier.abandon(id);
            if let Some(waiting) = self.waiting.remove(&id) {
                let failure = Failure::new(ErrorKind::NoQuorum, "no quorum answered in time");
                waiting.reply.refuse(Refusal::from(failure));
            }
        }
    }

    fn compact(&mut self) {
        if self.node.compactable() < self.options.compact {
            return;
        }
        let index = self.applier.applied();
        let state = self.applier.machine().snapshot();
        let event = Event::Compact(index, state.into());
        for action in self.node.step(event, moment(self.clock)) {
            self.carry_out(action);
        }
    }

    /// Tells subscribers of progress and of a new leader.
    fn publish(&mut self) {
        let applied = self.applier.applied();
        self.applied.send_if_modified(|held| {
            let changed = *held != applied;
            *held = applied;
            changed
        });
        self.answer_reached(applied);
        let view = self.leader_view();
        let changed = self.leader.send_if_modified(|held| {
            let changed = *held != view;
            *held = view.clone();
            changed
        });
        if changed && let Some((name, address)) = &view.leader {
            log::info!("{name} at {address} leads term {}", view.term);
        }
    }

    fn answer_reached(&mut self, applied: Index) {
        let ready: Vec<ProposalId> = self
            .waiting
            .iter()
            .filter(|(_, w)| matches!(&w.reply, Pending::Reached(_, index) if *index <= applied))
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            if let Some(Waiting {
                reply: Pending::Reached(reply, index),
                ..
            }) = self.waiting.remove(&id)
            {
                // Whoever asked may have gone.
                let _ = reply.send(Ok(index));
            }
        }
    }

    fn leader_view(&self) -> LeaderView {
        let leader = self.node.leader().map(|who| who.name.clone());
        let with_address = leader.and_then(|name| {
            let member = self.node.config().member(&name).map(|m| m.address);
            let address = member.or_else(|| self.known.get(&name).copied())?;
            Some((name, address))
        });
        LeaderView {
            term: self.node.term(),
            leader: with_address,
            here: self.node.is_leader(),
        }
    }

    /// Takes the replica out of action.
    fn fail(&mut self, detail: &str) {
        if matches!(self.disk, DiskHealth::Failed(_)) {
            return;
        }
        log::error!(
            "the disk of {} failed, it takes no more part: {detail}",
            self.options.name
        );
        self.disk = DiskHealth::Failed(detail.to_owned());
        self.held.clear();
        self.step(Event::DiskFailed);
        for waiting in std::mem::take(&mut self.waiting).into_values() {
            let failure = Failure::new(ErrorKind::DiskFailed, detail);
            waiting.reply.refuse(Refusal::from(failure));
        }
    }

    /// Logs, from time to time, that messages are meant for a disk that is gone.
    fn note_refusal(&mut self, from: &Identity, meant: &Identity) {
        let now = self.clock.now();
        let recent = self.refused.is_some_and(|at| now < at + REFUSAL_PAUSE);
        if !recent {
            self.refused = Some(now);
            let me = &self.node.hard().identity;
            log::warn!(
                "refused a message of {from} meant for {meant}: the disk of this replica is {}; \
                 remove and add {} to let it take part again",
                me.disk,
                me.name
            );
        }
    }

    fn tick(&mut self) {
        if self.writer.is_stalled(self.options.stall) {
            self.fail("a write took too long");
        }
        self.expire();
        self.step(Event::Tick);
    }

    /// Starts the log that was just founded.
    fn start_founded(&mut self, write: Write) {
        let Some(hard) = write.hard else {
            return;
        };
        let recovered = Recovered {
            hard,
            snapshot: None,
            entries: write.entries,
        };
        log::info!("{} founded a log", self.options.name);
        let seed = rand::random();
        self.node = Node::start(recovered, self.options.log, seed, moment(self.clock)).0;
        self.publish();
    }

    fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            log: self.node.status(moment(self.clock)),
            address: self.options.address,
            applied: self.applier.applied(),
            disk: self.disk.clone(),
        }
    }
}

impl<M> Actor for Replica<M>
where
    M: Machine + Send + Unpin + 'static,
{
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let pause = TICK.max(self.options.log.heartbeat_interval / TICKS_PER_HEARTBEAT);
        ctx.run_interval(pause, |replica, _| replica.tick());
        let me = self.node.hard().identity.clone();
        if self.node.hard().cluster.is_none() && !self.options.founders.is_empty() {
            actix_rt::spawn(founding::found(self.options.clone(), me, ctx.address()));
        }
    }
}

macro_rules! handlers {
    ($($message:ty, |$replica:ident, $told:pat_param, $ctx:pat_param| $body:block)*) => {$(
        impl<M> Handler<$message> for Replica<M>
        where
            M: Machine + Send + Unpin + 'static,
        {
            type Result = ();

            fn handle(&mut self, $told: $message, $ctx: &mut Self::Context) {
                let $replica = self;
                $body
            }
        }
    )*};
}

handlers! {
    Delivery, |replica, delivery, _| {
        if replica.founding.is_some() {
            return;
        }
        for envelope in delivery.envelopes {
            replica.known.insert(envelope.from.name.clone(), delivery.address);
            replica.step(Event::Receive(envelope));
        }
    }
    Synced, |replica, Synced(ticket), _| {
        replica.writer.synced(ticket);
        if let Some(write) = replica.founding.take() {
            replica.start_founded(write);
            return;
        }
        replica.synced = replica.synced.max(ticket);
        let (ready, held) = std::mem::take(&mut replica.held)
            .into_iter()
            .partition::<Vec<_>, _>(|(after, _)| *after <= ticket);
        replica.held = held;
        for (_, envelope) in ready {
            replica.send(envelope);
        }
        replica.step(Event::Synced(ticket));
    }
    WriteFailed, |replica, WriteFailed(detail), _| {
        replica.fail(&detail);
    }
    Propose, |replica, told, _| {
        let id = replica.wait(Pending::Command(told.reply));
        replica.step(Event::Propose(id, told.command.into()));
    }
    Read, |replica, told, _| {
        let id = replica.wait(Pending::Position(told.reply));
        replica.step(Event::Read(id));
    }
    ChangeMembers, |replica, told, _| {
        log::info!("members change: {}", told.change);
        let id = replica.wait(Pending::Command(told.reply));
        replica.step(Event::Change(id, told.change));
    }
    GetStatus, |replica, told, _| {
        // Whoever asked may have gone.
        let _ = told.reply.send(replica.status());
    }
    Found, |replica, told, _| {
        let empty = Recovered {
            hard: replica.node.hard().clone(),
            snapshot: None,
            entries: Vec::new(),
        };
        let cluster = ClusterId(rand::random());
        if let Some(write) = Node::bootstrap(&empty, cluster, told.config) {
            replica.founding = Some(write.clone());
            replica.writer.write(write);
        }
    }
    HandOver, |replica, _, _| {
        replica.step(Event::Transfer);
    }
    Halt, |replica, told, ctx| {
        let thread = replica.writer.close();
        for waiting in std::mem::take(&mut replica.waiting).into_values() {
            let failure = Failure::new(ErrorKind::Stopping, "the replica stops");
            waiting.reply.refuse(Refusal::from(failure.with_ran(Ran::Unknown)));
        }
        if thread.is_some_and(|t| t.join().is_err()) {
            log::error!("the writer of {} panicked", replica.options.name);
        }
        // Whoever stops the replica may have gone.
        let _ = told.done.send(());
        ctx.stop();
    }
}

impl<M> Handler<Query<M>> for Replica<M>
where
    M: Machine + Send + Unpin + 'static,
{
    type Result = ();

    fn handle(&mut self, Query(run): Query<M>, _: &mut Self::Context) {
        run(self.applier.machine(), self.applier.applied());
    }
}
