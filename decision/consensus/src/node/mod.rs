//! The node: its state, the dispatch of events and the order of its writes.

mod catchup;
mod election;
mod follower;
mod leader;
mod lease;
mod membership;
mod replication;
mod report;

use std::collections::{BTreeSet, VecDeque};

use pimentotide_model::{Term, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::log::Log;
use crate::message::SnapshotMeta;
use crate::{
    Action, ClusterId, Config, Entry, Envelope, Event, HardState, Identity, Index, LogId, Message,
    Moment, Options, Payload, ProposalId, Recovered, Reject, Snapshot, Ticket, Write,
};
use leader::Leadership;

/// Role of the node in the current term.
#[derive(Clone, Debug)]
enum Role {
    Follower,
    PreCandidate {
        granted: BTreeSet<Identity>,
    },
    Candidate {
        granted: BTreeSet<Identity>,
        ticket: Ticket,
    },
    Leader(Box<Leadership>),
    Failed,
}

/// A snapshot that arrives in parts.
#[derive(Clone, Debug)]
struct Assembly {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

/// One replica of the log.
#[derive(Clone, Debug)]
pub struct Node {
    options: Options,
    rng: ChaCha8Rng,
    at: Moment,
    hard: HardState,
    log: Log,
    snapshot: Option<Snapshot>,
    commit: Index,
    applied: Index,
    role: Role,
    leader: Option<Identity>,
    /// When a leader of the current term was heard last, or the start of this process.
    heard: Time,
    deadline: Time,
    draft: Write,
    issued: Ticket,
    hard_ticket: Ticket,
    log_ticket: Ticket,
    synced: Ticket,
    durable: Index,
    unsynced: VecDeque<(Ticket, Index)>,
    assembly: Option<Assembly>,
    actions: Vec<Action>,
}

/// What a message has to wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// Term and vote.
    Hard,
    /// Term, vote, entries and snapshot.
    Log,
}

impl Node {
    /// Starts a node from what its disk held; the actions restore the machine.
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
            role: Role::Follower,
            leader: None,
            // A restarted replica may have promised a leader its support just before.
            heard: at.now,
            deadline: at.now,
            draft: Write::default(),
            issued: Ticket(0),
            hard_ticket: Ticket(0),
            log_ticket: Ticket(0),
            synced: Ticket(0),
            unsynced: VecDeque::new(),
            assembly: None,
            actions: Vec::new(),
            snapshot,
        };
        node.reset_deadline();
        if let Some(snapshot) = node.snapshot.clone() {
            node.actions.push(Action::Restore(snapshot));
        }
        let actions = std::mem::take(&mut node.actions);
        (node, actions)
    }

    /// First write of a new log with these members; none if the folder was used before.
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

    /// Handles one event and returns what it leads to.
    pub fn step(&mut self, event: Event, at: Moment) -> Vec<Action> {
        self.at = at;
        match event {
            _ if matches!(self.role, Role::Failed) => self.refuse_after_failure(&event),
            Event::Tick => self.tick(),
            Event::Receive(envelope) => self.receive(envelope),
            Event::Synced(ticket) => self.on_synced(ticket),
            Event::DiskFailed => self.fail(),
            Event::Propose(id, command) => self.propose(id, command),
            Event::Read(id) => self.read(id),
            Event::Change(id, change) => self.change(id, &change),
            Event::Compact(index, data) => self.compact(index, data),
            Event::Transfer => self.transfer(),
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
            self.refuse(cluster, from, to);
            return;
        }
        if let Message::Refused { intended } = body {
            self.on_refused(&intended);
            return;
        }
        if !self.joins(cluster, &body) {
            return;
        }
        match body {
            Message::PreVote { last } => self.on_pre_vote(&from, term, last),
            Message::PreVoteReply { granted } => self.on_pre_vote_reply(from, term, granted),
            Message::Vote { last, transfer } => self.on_vote(&from, term, last, transfer),
            body => self.receive_in_term(from, term, body),
        }
    }

    /// Handles messages for which a higher term ends what this node was doing.
    fn receive_in_term(&mut self, from: Identity, term: Term, body: Message) {
        if term > self.hard.term {
            self.follow(term, None);
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
            | Message::Vote { .. }
            | Message::Refused { .. } => {}
        }
    }

    /// Refuses a message intended for a disk that this replica no longer has.
    fn refuse(&mut self, cluster: ClusterId, from: Identity, intended: Identity) {
        if intended.name != self.hard.identity.name {
            return;
        }
        self.actions.push(Action::Refused {
            from: from.clone(),
            intended: intended.clone(),
        });
        let envelope = Envelope {
            cluster,
            from: self.hard.identity.clone(),
            to: from,
            term: self.hard.term,
            body: Message::Refused { intended },
        };
        self.actions.push(Action::Send {
            after: self.ticket(Need::Hard),
            envelope,
        });
    }

    /// Whether the message belongs to this node's log; a new replica joins its first leader's.
    fn joins(&mut self, cluster: ClusterId, body: &Message) -> bool {
        match self.hard.cluster {
            Some(mine) => mine == cluster,
            None => {
                let leads = matches!(
                    body,
                    Message::Heartbeat { .. } | Message::Append { .. } | Message::Chunk { .. }
                );
                if leads {
                    self.hard.cluster = Some(cluster);
                    self.save_hard();
                }
                leads
            }
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
            self.hand_over_at_once();
            self.end_leadership(&Reject::DiskFailed);
        }
        self.role = Role::Failed;
        self.leader = None;
        self.draft = Write::default();
    }

    fn refuse_after_failure(&mut self, event: &Event) {
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

    /// Sends `body` in the current term once what it needs is synced.
    fn send(&mut self, to: &Identity, body: Message, need: Need) {
        self.send_in(self.hard.term, to, body, need);
    }

    fn send_in(&mut self, term: Term, to: &Identity, body: Message, need: Need) {
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
        let after = self.ticket(need);
        self.actions.push(Action::Send { after, envelope });
    }

    /// Ticket that has to be synced before what is known now may be told to others.
    fn ticket(&self, need: Need) -> Ticket {
        let drafted = match need {
            Need::Hard => self.draft.hard.is_some(),
            Need::Log => self.has_draft(),
        };
        match need {
            _ if drafted => self.issued.next(),
            Need::Hard => self.hard_ticket,
            Need::Log => self.log_ticket.max(self.hard_ticket),
        }
    }

    fn save_hard(&mut self) {
        self.draft.hard = Some(self.hard.clone());
    }

    /// Appends an entry to the log and to the write of this step.
    fn save_entry(&mut self, entry: Entry) {
        self.draft.entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Drops entries from `index` on, which a later entry of this step replaces.
    fn truncate(&mut self, index: Index) {
        assert!(index > self.commit, "committed entry {index} replaced");
        self.log.truncate(index);
        self.durable = self.durable.min(index.prev());
        for (_, last) in &mut self.unsynced {
            *last = (*last).min(index.prev());
        }
    }

    fn has_draft(&self) -> bool {
        self.draft.hard.is_some() || self.draft.snapshot.is_some() || !self.draft.entries.is_empty()
    }

    /// Puts the write of this step before the other actions.
    fn flush(&mut self) {
        if !self.has_draft() {
            return;
        }
        self.issued = self.issued.next();
        let mut write = std::mem::take(&mut self.draft);
        write.ticket = self.issued;
        if write.hard.is_some() {
            self.hard_ticket = self.issued;
        }
        if write.snapshot.is_some() || !write.entries.is_empty() {
            self.log_ticket = self.issued;
            self.unsynced
                .push_back((self.issued, self.log.last().index));
        }
        self.actions.insert(0, Action::Write(write));
    }

    /// Moves the committed position and hands out the entries up to it.
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
            self.actions.push(Action::Apply(entry.clone()));
            self.applied = next;
        }
    }

    fn reset_deadline(&mut self) {
        let least = self.options.election_timeout;
        let spread = u64::try_from(least.as_micros()).unwrap_or(u64::MAX);
        let extra = self.rng.random_range(0..=spread);
        self.deadline = self.at.now + least + std::time::Duration::from_micros(extra);
    }
}
