//! The node: its state, the dispatch of events and the order of its writes.
//!
//! The write of a step comes before the other actions of that step, and every
//! message waits for the last write on which it depends.

mod arbitration;
mod catchup;
mod election;
mod follower;
mod leader;
mod lease;
mod loss;
mod membership;
mod quorum;
mod replication;
mod report;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use pimentotide_model::{InstanceName, Term, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::log::Log;
use crate::message::SnapshotMeta;
use crate::{
    Action, ClusterId, Config, Entry, Envelope, Event, HardState, Identity, Index, LogId, Member,
    Message, Moment, Options, Payload, ProposalId, Recovered, Reject, Snapshot, Ticket, Write,
};
use arbitration::Grants;
use leader::Leadership;
use loss::Losses;

/// Pre-votes in one election timeout after a start without contact to a leader; each can be the first
/// one at which all other voters are up.
const UNLED_RETRIES: u32 = 4;

/// Role of the node in the current term.
#[derive(Clone, Debug)]
enum Role {
    Follower,
    PreCandidate {
        granted: BTreeSet<Identity>,
        /// Voters without contact to a leader since their start.
        unled: BTreeSet<Identity>,
    },
    Candidate {
        granted: BTreeSet<Identity>,
        ticket: Ticket,
        /// Voters that were proved lost before the election.
        lost: Losses,
        /// Whether grants count, since each voter checks the silence of the others.
        by_grant: bool,
    },
    Leader(Box<Leadership>),
    Failed,
}

/// A snapshot that is received in chunks.
#[derive(Clone, Debug)]
struct IncomingSnapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

/// State machine of one replica of the log.
#[derive(Clone, Debug)]
pub struct Node {
    options: Options,
    rng: ChaCha8Rng,
    /// Clock readings of the current event.
    at: Moment,
    hard: HardState,
    log: Log,
    snapshot: Option<Snapshot>,
    commit: Index,
    applied: Index,
    /// Size of the applied entries that no snapshot covers yet, in bytes.
    compactable_bytes: u64,
    role: Role,
    leader: Option<Identity>,
    /// Time of the last contact with a leader of the current term, or of the start.
    leader_contact: Time,
    /// Whether there was contact with a leader since the start.
    led: bool,
    /// Time of the last contact with a leader, vote for one or end of leadership, or of the start.
    silent_since: Time,
    /// Time at which an election starts without contact to a leader.
    election_deadline: Time,
    /// Write of the current step.
    pending_write: Write,
    last_ticket: Ticket,
    /// Last write with a hard state.
    hard_ticket: Ticket,
    /// Last write with entries or a snapshot.
    log_ticket: Ticket,
    /// Last write that is synced.
    synced: Ticket,
    /// Last index synced on this replica's disk.
    durable: Index,
    /// Log writes that are not synced yet, with their last index.
    unsynced: VecDeque<(Ticket, Index)>,
    /// Voters whose disks are proved lost, with the latest time of day at which they were.
    lost: BTreeMap<Identity, Time>,
    /// Time of the start.
    started: Time,
    /// Processes to name as arbiters.
    arbiters: BTreeMap<InstanceName, Member>,
    /// What the arbiters of the latest memberships granted.
    grants: Grants,
    /// Time of the next request to the arbiters.
    next_ask: Time,
    /// Snapshot that is being received.
    incoming: Option<IncomingSnapshot>,
    actions: Vec<Action>,
}

/// Reason for which a vote is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ElectionReason {
    /// The candidate has had no contact with a leader for its election timeout.
    Timeout,
    /// The leader hands leadership over.
    Transfer,
    /// All voters have restarted, or may vote anyway.
    Restart,
    /// The arbiters granted that the candidate acts with some voters, while the others have been silent.
    Grant,
}

/// State that has to be synced before a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Durability {
    /// Term and vote.
    Hard,
    /// Term, vote, entries and snapshot.
    Log,
}

impl Node {
    /// Starts a node from its recovered state; the returned actions restore the machine.
    pub fn start(
        recovered: Recovered,
        options: Options,
        seed: u64,
        at: Moment,
    ) -> (Self, Vec<Action>) {
        let Recovered {
            hard,
            snapshot,
            entries,
        } = recovered;
        let mut log = Log::new(snapshot.as_ref().map(|s| &s.meta));
        for entry in entries {
            log.push(entry);
        }
        let base = log.base().index;
        let mut node = Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            at,
            hard,
            durable: log.last().index,
            log,
            commit: base,
            applied: base,
            compactable_bytes: 0,
            role: Role::Follower,
            leader: None,
            // The replica may have extended a leader's lease just before its restart.
            leader_contact: at.now,
            led: false,
            silent_since: at.now,
            election_deadline: at.now,
            pending_write: Write::default(),
            last_ticket: Ticket(0),
            hard_ticket: Ticket(0),
            log_ticket: Ticket(0),
            synced: Ticket(0),
            unsynced: VecDeque::new(),
            lost: BTreeMap::new(),
            started: at.now,
            arbiters: BTreeMap::new(),
            grants: Grants::new(),
            next_ask: at.now,
            incoming: None,
            actions: Vec::new(),
            snapshot,
        };
        node.reset_election_deadline();
        if let Some(snapshot) = node.snapshot.clone() {
            node.actions.push(Action::Restore(snapshot));
        }
        let actions = std::mem::take(&mut node.actions);
        (node, actions)
    }

    /// Returns the first write of a new log with these members.
    ///
    /// Returns `None` if the folder was used before.
    pub fn bootstrap(recovered: &Recovered, cluster: ClusterId, config: Config) -> Option<Write> {
        let unused = recovered.hard.cluster.is_none()
            && recovered.snapshot.is_none()
            && recovered.entries.is_empty();
        if !unused {
            return None;
        }
        let term = Term(1);
        let first = Entry {
            id: LogId {
                term,
                index: Index(1),
            },
            time: Time::ZERO,
            payload: Payload::Config(config),
        };
        let hard = HardState {
            cluster: Some(cluster),
            term,
            ..recovered.hard.clone()
        };
        Some(Write {
            hard: Some(hard),
            entries: vec![first],
            ..Write::default()
        })
    }

    /// Handles an event and returns the resulting actions.
    pub fn step(&mut self, event: Event, at: Moment) -> Vec<Action> {
        self.at = at;
        match event {
            _ if matches!(self.role, Role::Failed) => self.reject_after_failure(&event),
            Event::Tick => self.tick(),
            Event::Receive(envelope) => self.receive(envelope),
            Event::Synced(ticket) => self.on_synced(ticket),
            Event::DiskFailed => self.fail(),
            Event::Propose(id, command) => self.propose(id, command),
            Event::Read(id) => self.read(id),
            Event::Change(id, change) => self.change(id, &change),
            Event::Compact(index, data) => self.compact(index, data),
            Event::Transfer => self.transfer(),
            Event::Arbiters(members) => self.set_arbiters(members),
            Event::Granted {
                ballot,
                arbiter,
                part,
            } => self.on_granted(ballot, &arbiter, part),
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader();
        } else {
            self.tick_election();
        }
        self.ask_arbiters();
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope {
            cluster,
            from,
            to,
            term,
            body,
        } = envelope;
        if to != self.hard.identity {
            self.refuse(cluster, &from, &to);
            return;
        }
        if self.receive_refusal(&from, &body) {
            return;
        }
        if !self.accepts_cluster(cluster, &body) {
            return;
        }
        match body {
            Message::PreVote { last } => self.on_pre_vote(&from, term, last),
            Message::PreVoteReply { granted } => self.on_pre_vote_reply(from, term, granted),
            Message::Unled => self.on_unled(from, term),
            Message::Vote { last, transfer } => {
                let reason = if transfer {
                    ElectionReason::Transfer
                } else {
                    ElectionReason::Timeout
                };
                self.on_vote(&from, term, last, reason);
            }
            Message::RestartVote { last } => {
                self.on_vote(&from, term, last, ElectionReason::Restart);
            }
            Message::GrantVote { last } => {
                self.on_vote(&from, term, last, ElectionReason::Grant);
            }
            body => self.receive_in_term(from, term, body),
        }
    }

    /// Handles messages that make this node a follower if they have a higher term.
    fn receive_in_term(&mut self, from: Identity, term: Term, body: Message) {
        if term > self.hard.term {
            self.become_follower(term, None);
        }
        if term < self.hard.term {
            self.answer_stale(&from, &body);
            return;
        }
        match body {
            Message::VoteReply { granted } => self.on_vote_reply(from, granted),
            Message::Heartbeat { commit, sent } => self.on_heartbeat(&from, commit, sent),
            Message::Append {
                prev,
                entries,
                commit,
                sent,
            } => self.on_append(&from, prev, entries, commit, sent),
            Message::Chunk {
                meta,
                offset,
                data,
                sent,
            } => self.on_chunk(&from, meta, offset, &data, sent),
            Message::TimeoutNow => self.on_timeout_now(&from),
            Message::HeartbeatReply { sent } => self.on_heartbeat_reply(&from, sent),
            Message::Appended { matched, sent } => self.on_appended(&from, matched, sent),
            Message::Mismatch { prev, hint, sent } => self.on_mismatch(&from, prev, hint, sent),
            Message::ChunkReply {
                last,
                next,
                done,
                sent,
            } => self.on_chunk_reply(&from, last, next, done, sent),
            Message::Stale
            | Message::PreVote { .. }
            | Message::PreVoteReply { .. }
            | Message::Unled
            | Message::Vote { .. }
            | Message::RestartVote { .. }
            | Message::GrantVote { .. }
            | Message::Refused { .. }
            | Message::Replaced { .. } => {}
        }
    }

    fn on_synced(&mut self, ticket: Ticket) {
        self.synced = self.synced.max(ticket);
        while let Some((first, last)) = self.unsynced.front().copied() {
            if first > ticket {
                break;
            }
            self.durable = self.durable.max(last);
            self.unsynced.pop_front();
        }
        self.count_own_vote();
        self.advance_commit();
    }

    fn fail(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.transfer_now();
            self.end_leadership(&Reject::DiskFailed);
        }
        self.role = Role::Failed;
        self.leader = None;
        self.pending_write = Write::default();
    }

    fn reject_after_failure(&mut self, event: &Event) {
        match event {
            Event::Propose(id, _) | Event::Read(id) | Event::Change(id, _) => {
                self.reject(*id, Reject::DiskFailed);
            }
            _ => {}
        }
    }

    fn reject(&mut self, id: ProposalId, reason: Reject) {
        self.actions.push(Action::Rejected(id, reason));
    }

    /// Sends `body` in the current term once the state it depends on is synced.
    fn send(&mut self, to: &Identity, body: Message, durability: Durability) {
        self.send_in(self.hard.term, to, body, durability);
    }

    fn send_in(&mut self, term: Term, to: &Identity, body: Message, durability: Durability) {
        let Some(cluster) = self.hard.cluster else {
            return;
        };
        let envelope = Envelope {
            cluster,
            from: self.hard.identity.clone(),
            to: to.clone(),
            term,
            body,
        };
        let after = self.ticket(durability);
        self.actions.push(Action::Send { after, envelope });
    }

    /// Ticket that has to be synced before a message that depends on this state is sent.
    fn ticket(&self, durability: Durability) -> Ticket {
        let unwritten = match durability {
            Durability::Hard => self.pending_write.hard.is_some(),
            Durability::Log => self.has_pending_write(),
        };
        match durability {
            _ if unwritten => self.last_ticket.next(),
            Durability::Hard => self.hard_ticket,
            Durability::Log => self.log_ticket.max(self.hard_ticket),
        }
    }

    fn save_hard(&mut self) {
        self.pending_write.hard = Some(self.hard.clone());
    }

    /// Appends an entry to the log and to the pending write.
    fn save_entry(&mut self, entry: Entry) {
        self.pending_write.entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Removes entries from `index` on; an entry appended in the same step replaces them.
    fn truncate(&mut self, index: Index) {
        assert!(index > self.commit, "committed entry {index} replaced");
        self.log.truncate(index);
        self.durable = self.durable.min(index.prev());
        for (_, last) in &mut self.unsynced {
            *last = (*last).min(index.prev());
        }
    }

    fn has_pending_write(&self) -> bool {
        self.pending_write.hard.is_some()
            || self.pending_write.snapshot.is_some()
            || !self.pending_write.entries.is_empty()
    }

    /// Inserts the pending write before the other actions.
    fn flush(&mut self) {
        if !self.has_pending_write() {
            return;
        }
        self.last_ticket = self.last_ticket.next();
        let mut write = std::mem::take(&mut self.pending_write);
        write.ticket = self.last_ticket;
        if write.hard.is_some() {
            self.hard_ticket = self.last_ticket;
        }
        if write.snapshot.is_some() || !write.entries.is_empty() {
            self.log_ticket = self.last_ticket;
            self.unsynced
                .push_back((self.last_ticket, self.log.last().index));
        }
        self.actions.insert(0, Action::Write(write));
    }

    /// Advances the commit index and applies the entries up to it.
    fn commit_to(&mut self, index: Index) {
        if index <= self.commit {
            return;
        }
        self.commit = index;
        while self.applied < self.commit {
            let next = self.applied.next();
            let Some(entry) = self.log.get(next) else {
                break;
            };
            self.compactable_bytes += entry.size() as u64;
            self.actions.push(Action::Apply(entry.clone()));
            self.applied = next;
        }
    }

    fn reset_election_deadline(&mut self) {
        let timeout = self.options.election_timeout;
        let min = if self.is_unled() {
            timeout / UNLED_RETRIES
        } else {
            timeout
        };
        let spread = u64::try_from(min.as_micros()).unwrap_or(u64::MAX);
        let extra = self.rng.random_range(0..=spread);
        self.election_deadline = self.at.now + min + Duration::from_micros(extra);
    }
}
