//! Actor that drives the consensus state machine and carries out its actions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Recipient};
use pimentotide_consensus::{
    Action, Applier, Envelope, Event, Identity, Index, Machine, Node, Outcome, ProposalId,
    Recovered, Reject, Ticket, Write,
};
use pimentotide_model::{ErrorKind, Failure, InstanceName, Ran, Time};
use tokio::sync::watch;

use super::ask::ask;
use super::clock::moment;
use super::founding;
use super::link::Links;
use super::message::{Applied, Granted, Refusal, Reply};
use super::options::ReplicaOptions;
use super::status::{DiskHealth, LeaderView, ReplicaStatus};
use super::writer::Writer;
use crate::Clock;

/// Shortest interval between ticks of the state machine.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of ticks per heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 5;
/// Shortest interval between log lines about messages addressed to another disk.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Actor of one control replica.
pub struct Replica<M> {
    pub(super) options: ReplicaOptions,
    /// Receiver of grants, once this actor has started.
    grants: Option<Recipient<Granted>>,
    clock: Clock,
    pub(super) node: Node,
    pub(super) applier: Applier<M>,
    /// State of the machine before the first entry.
    initial: Vec<u8>,
    pub(super) writer: Writer,
    links: Links,
    /// Messages held back until the write that they depend on is synced.
    pub(super) unsent: Vec<(Ticket, Envelope)>,
    pub(super) synced: Ticket,
    /// Addresses that senders reported for themselves.
    pub(super) addresses: BTreeMap<InstanceName, SocketAddr>,
    pub(super) pending: BTreeMap<ProposalId, Pending>,
    last_proposal: u64,
    /// Write that bootstraps a new log, until it is synced.
    pub(super) bootstrap: Option<Write>,
    disk: DiskHealth,
    /// Time of the last log line about a message addressed to another disk.
    refusal_logged_at: Option<Time>,
    applied: watch::Sender<Index>,
    leader: watch::Sender<LeaderView>,
}

/// Request that awaits its result.
pub(super) struct Pending {
    pub(super) reply: PendingReply,
    deadline: Time,
}

pub(super) enum PendingReply {
    Command(Reply<Applied>),
    Position(Reply<Index>),
    /// Read whose position is known and not yet applied to the machine.
    Unapplied(Reply<Index>, Index),
}

impl PendingReply {
    pub(super) fn refuse(self, refusal: Refusal) {
        // The requester may have dropped its receiver.
        match self {
            Self::Command(reply) => drop(reply.send(Err(refusal))),
            Self::Position(reply) | Self::Unapplied(reply, _) => drop(reply.send(Err(refusal))),
        }
    }
}

/// Arguments of [`Replica::new`].
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
    /// Builds the actor from the recovered log.
    ///
    /// Fails with `DiskFailed` if the machine cannot restore the snapshot.
    pub(super) fn new(parts: Parts<M>) -> Result<Self, Failure> {
        let clock = Clock::start();
        let Parts { options, .. } = parts;
        let (node, actions) = Node::start(parts.recovered, options.log, parts.seed, moment(clock));
        let mut replica = Self {
            links: Links::new(options.address, options.token.clone()),
            options,
            grants: None,
            clock,
            node,
            initial: parts.machine.snapshot(),
            applier: Applier::new(parts.machine),
            writer: parts.writer,
            unsent: Vec::new(),
            synced: Ticket(0),
            addresses: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_proposal: 0,
            bootstrap: None,
            disk: DiskHealth::Good,
            refusal_logged_at: None,
            applied: parts.applied,
            leader: parts.leader,
        };
        replica.restore(&actions)?;
        replica.publish();
        Ok(replica)
    }

    /// Restores the machine from the snapshot that the node recovered, if there is one.
    fn restore(&mut self, actions: &[Action]) -> Result<(), Failure> {
        for action in actions {
            if let Action::Restore(snapshot) = action {
                self.applier
                    .restore(snapshot.meta.last.index, &snapshot.data)
                    .map_err(|e| Failure::new(ErrorKind::DiskFailed, e.to_string()))?;
            }
        }
        Ok(())
    }

    /// Continues from what the disk holds, after it failed for a while.
    ///
    /// The node starts over as after a restart of the process, and the machine applies
    /// the log again from its initial state.
    pub(super) fn reopen(&mut self, writer: Writer, recovered: Recovered) -> Result<(), Failure> {
        let seed = rand::random();
        let (node, actions) = Node::start(recovered, self.options.log, seed, moment(self.clock));
        self.applier
            .restore(Index(0), &self.initial)
            .map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))?;
        self.restore(&actions)?;
        self.node = node;
        self.writer = writer;
        self.synced = Ticket(0);
        self.unsent.clear();
        self.bootstrap = None;
        self.disk = DiskHealth::Good;
        log::info!("the disk of {} works again", self.options.name);
        self.publish();
        Ok(())
    }

    /// Whether the disk has failed.
    pub(super) fn has_failed(&self) -> bool {
        matches!(self.disk, DiskHealth::Failed(_))
    }

    /// Passes an event to the state machine and carries out the resulting actions.
    pub(super) fn step(&mut self, event: Event) {
        let actions = self.node.step(event, moment(self.clock));
        for action in actions {
            self.execute(action);
        }
        self.compact();
        self.publish();
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Write(write) => self.writer.write(write),
            Action::Send { after, envelope } if after <= self.synced => self.send(envelope),
            Action::Send { after, envelope } => self.unsent.push((after, envelope)),
            Action::Apply(entry) => {
                if let Some((id, outcome)) = self.applier.apply(&entry) {
                    self.finish(id, outcome);
                }
            }
            Action::Restore(snapshot) => {
                let last = snapshot.meta.last.index;
                match self.applier.restore(last, &snapshot.data) {
                    Ok(skipped) => {
                        for (id, outcome) in skipped {
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
            Action::ReadReady(id, index) => self.read_ready(id, index),
            Action::Ask { arbiters, request } => {
                if let Some(grants) = &self.grants {
                    ask(arbiters, &request, &self.options.token, grants);
                }
            }
            Action::Refused { from, intended } => self.log_refusal(&from, &intended),
        }
    }

    pub(super) fn send(&mut self, envelope: Envelope) {
        let name = &envelope.to.name;
        let member = self.node.address_of(&envelope.to);
        let reported = || self.addresses.get(name).copied();
        let founder = || self.options.founders.get(name).copied();
        if let Some(address) = member.or_else(reported).or_else(founder) {
            self.links.send(address, envelope);
        }
    }

    fn finish(&mut self, id: ProposalId, outcome: Outcome) {
        let Some(Pending {
            reply: PendingReply::Command(reply),
            ..
        }) = self.pending.remove(&id)
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
        // The requester may have dropped its receiver.
        let _ = reply.send(result);
    }

    /// Answers a read if its position is applied; otherwise keeps it pending.
    fn read_ready(&mut self, id: ProposalId, index: Index) {
        let Some(Pending { reply, deadline }) = self.pending.remove(&id) else {
            return;
        };
        match reply {
            PendingReply::Position(reply) if index <= self.applier.applied() => {
                // The requester may have dropped its receiver.
                let _ = reply.send(Ok(index));
            }
            PendingReply::Position(reply) => {
                let reply = PendingReply::Unapplied(reply, index);
                self.pending.insert(id, Pending { reply, deadline });
            }
            other => other.refuse(Refusal::from(Failure::new(
                ErrorKind::Internal,
                "a command was answered as a read",
            ))),
        }
    }

    fn reject(&mut self, id: ProposalId, reason: &Reject) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let kind = match reason {
            Reject::NotLeader(_) | Reject::Transferring => {
                let refusal = self.not_leader(&reason.to_string());
                pending.reply.refuse(refusal);
                return;
            }
            Reject::NoQuorum | Reject::WouldLoseQuorum(_) => ErrorKind::NoQuorum,
            Reject::DiskFailed => ErrorKind::DiskFailed,
            Reject::ChangePending | Reject::AlreadyMember(_) => ErrorKind::RevisionConflict,
            Reject::NotMember(_) => ErrorKind::NotFound,
            Reject::TooFewVoters(_) => ErrorKind::Forbidden,
            Reject::Overloaded => ErrorKind::Overloaded,
        };
        let failure = Failure::new(kind, reason.to_string()).with_ran(Ran::No);
        pending.reply.refuse(Refusal::from(failure));
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

    /// Registers a request and returns its id for the state machine.
    pub(super) fn register(&mut self, reply: PendingReply) -> ProposalId {
        self.last_proposal += 1;
        let id = ProposalId(self.last_proposal);
        let deadline = self.clock.now() + self.options.request_timeout;
        self.pending.insert(id, Pending { reply, deadline });
        id
    }

    /// Fails the requests whose deadline has passed.
    fn expire(&mut self) {
        let now = self.clock.now();
        let late: Vec<ProposalId> = self
            .pending
            .iter()
            .filter(|(_, p)| p.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.applier.abandon(id);
            if let Some(pending) = self.pending.remove(&id) {
                let failure = Failure::new(ErrorKind::NoQuorum, "no quorum answered in time");
                pending.reply.refuse(Refusal::from(failure));
            }
        }
    }

    fn compact(&mut self) {
        let max_bytes = self.options.compact_bytes.max(self.node.snapshot_bytes());
        let due = self.node.compactable() >= self.options.compact_after
            || self.node.compactable_bytes() >= max_bytes;
        if !due {
            return;
        }
        let index = self.applier.applied();
        let state = self.applier.machine().snapshot();
        let event = Event::Compact(index, state.into());
        for action in self.node.step(event, moment(self.clock)) {
            self.execute(action);
        }
    }

    /// Notifies subscribers of a new applied position or leader.
    fn publish(&mut self) {
        let applied = self.applier.applied();
        self.applied.send_if_modified(|current| {
            let changed = *current != applied;
            *current = applied;
            changed
        });
        self.answer_reads(applied);
        let view = self.leader_view();
        let changed = self.leader.send_if_modified(|current| {
            let changed = *current != view;
            *current = view.clone();
            changed
        });
        if changed && let Some((name, address)) = &view.leader {
            log::info!("{name} at {address} is the leader of term {}", view.term);
        }
    }

    fn answer_reads(&mut self, applied: Index) {
        let ready: Vec<ProposalId> = self
            .pending
            .iter()
            .filter(
                |(_, p)| matches!(&p.reply, PendingReply::Unapplied(_, index) if *index <= applied),
            )
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            if let Some(Pending {
                reply: PendingReply::Unapplied(reply, index),
                ..
            }) = self.pending.remove(&id)
            {
                // The requester may have dropped its receiver.
                let _ = reply.send(Ok(index));
            }
        }
    }

    fn leader_view(&self) -> LeaderView {
        let leader = self.node.leader().map(|leader| leader.name.clone());
        let with_address = leader.and_then(|name| {
            let member = self.node.config().member(&name).map(|m| m.address);
            let address = member.or_else(|| self.addresses.get(&name).copied())?;
            Some((name, address))
        });
        LeaderView {
            term: self.node.term(),
            leader: with_address,
            here: self.node.is_leader(),
        }
    }

    /// Marks the disk as failed; the replica no longer takes part in the log.
    pub(super) fn fail(&mut self, detail: &str) {
        if self.has_failed() {
            return;
        }
        log::error!(
            "the disk of {} failed; the replica stops taking part: {detail}",
            self.options.name
        );
        self.disk = DiskHealth::Failed(detail.to_owned());
        self.unsent.clear();
        self.writer.close();
        self.step(Event::DiskFailed);
        for pending in std::mem::take(&mut self.pending).into_values() {
            let failure = Failure::new(ErrorKind::DiskFailed, detail);
            pending.reply.refuse(Refusal::from(failure));
        }
    }

    /// Logs a message addressed to a disk that this replica no longer has, rate-limited.
    fn log_refusal(&mut self, from: &Identity, meant: &Identity) {
        let now = self.clock.now();
        let recent = self
            .refusal_logged_at
            .is_some_and(|at| now < at + REFUSAL_LOG_INTERVAL);
        if !recent {
            self.refusal_logged_at = Some(now);
            let me = &self.node.hard().identity;
            log::warn!(
                "rejected a message of {from} for {meant}: the disk of this replica is {}; \
                 remove and add {} to restore its membership",
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

    /// Whether this replica has no log yet.
    pub(super) fn is_empty(&self) -> bool {
        self.node.last().index == Index(0)
    }

    /// Bootstraps a new log in the background if this replica is a founder without one.
    pub(super) fn found(&self, replica: Addr<Self>) {
        if self.is_empty() && !self.options.founders.is_empty() {
            let me = self.node.hard().identity.clone();
            actix_rt::spawn(founding::bootstrap(self.options.clone(), me, replica));
        }
    }

    /// Starts from the bootstrap write once it is synced.
    pub(super) fn start_bootstrapped(&mut self, write: Write) {
        let Some(hard) = write.hard else {
            return;
        };
        let recovered = Recovered {
            hard,
            snapshot: None,
            entries: write.entries,
        };
        log::info!("{} bootstrapped a new log", self.options.name);
        let seed = rand::random();
        self.node = Node::start(recovered, self.options.log, seed, moment(self.clock)).0;
        self.publish();
    }

    pub(super) fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            log: self.node.status(moment(self.clock)),
            address: self.options.address,
            applied: self.applier.applied(),
            disk: self.disk.clone(),
            senders: self.addresses.values().copied().collect(),
        }
    }
}

impl<M> Actor for Replica<M>
where
    M: Machine + Send + Unpin + 'static,
{
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let interval =
            MIN_TICK_INTERVAL.max(self.options.log.heartbeat_interval / TICKS_PER_HEARTBEAT);
        ctx.run_interval(interval, |replica, _| replica.tick());
        self.grants = Some(ctx.address().recipient());
        self.found(ctx.address());
    }
}
