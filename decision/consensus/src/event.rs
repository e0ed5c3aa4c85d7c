//! Input events of a node and the actions it returns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use derive_more::Display;
use pimentotide_model::{InstanceName, Term, Time};
use serde::{Deserialize, Serialize};

use crate::{
    Change, Entry, Envelope, GrantRequest, HardState, Identity, Index, LogId, Member, ProposalId,
    Snapshot, Ticket,
};

/// Clock readings at which an event is handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic clock of this process.
    pub now: Time,
    /// Wall clock since the Unix epoch, which may step.
    pub wall: Time,
}

/// An input of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Periodic timer; drives elections, heartbeats and resends.
    Tick,
    /// A message was received.
    Receive(Envelope),
    /// All writes up to this ticket are synced.
    Synced(Ticket),
    /// The disk failed; no further write will be synced.
    DiskFailed,
    /// A command to replicate.
    Propose(ProposalId, Arc<[u8]>),
    /// A linearizable read.
    Read(ProposalId),
    /// A membership change.
    Change(ProposalId, Change),
    /// State of the machine after this index, used to compact the log.
    Compact(Index, Arc<[u8]>),
    /// Starts a leadership transfer, as this replica is about to stop.
    Transfer,
    /// Processes that a leader names as arbiters, with the identities of their starts.
    Arbiters(BTreeMap<InstanceName, Member>),
    /// An arbiter granted that these voters act.
    Granted {
        /// Ballot of the arbiters.
        ballot: LogId,
        /// Arbiter, with the identity of its start.
        arbiter: Identity,
        /// Voters that may act together.
        part: BTreeSet<Identity>,
    },
}

/// An action for the caller to perform, in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write and sync, then report the ticket with [`Event::Synced`].
    Write(Write),
    /// Send once all writes up to ticket `after` are synced.
    Send {
        /// Ticket that has to be synced first.
        after: Ticket,
        /// Message with its receiver.
        envelope: Envelope,
    },
    /// Apply a committed entry.
    Apply(Entry),
    /// Replace the state of the machine with a snapshot.
    Restore(Snapshot),
    /// The proposal or change was appended at this index in this term.
    Accepted(ProposalId, Index, Term),
    /// The proposal, change or read was rejected and has no effect.
    Rejected(ProposalId, Reject),
    /// The read may be answered once this index is applied.
    ReadReady(ProposalId, Index),
    /// Ask each arbiter, and report what it grants with [`Event::Granted`].
    Ask {
        /// Arbiters, with the identities of their starts.
        arbiters: BTreeMap<InstanceName, Member>,
        /// Request to each of them.
        request: GrantRequest,
    },
    /// A message addressed to another disk was refused.
    Refused {
        /// Sender.
        from: Identity,
        /// Identity to which the message was addressed.
        intended: Identity,
    },
}

/// Changes to persist as one write.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Number of the write, reported back once it is synced.
    pub ticket: Ticket,
    /// Identity, term and vote, if they changed.
    pub hard: Option<HardState>,
    /// Snapshot that replaces the entries it covers.
    pub snapshot: Option<Snapshot>,
    /// Whether the snapshot replaces all entries on the disk.
    pub reset: bool,
    /// Entries to append; the first one replaces all stored entries from its index on.
    pub entries: Vec<Entry>,
}

/// Reason for which a proposal, a change or a read is rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Reject {
    /// This replica is not the leader; holds the leader if known.
    #[display("this replica does not lead")]
    NotLeader(Option<Identity>),
    /// A leadership transfer is in progress.
    #[display("leadership is being handed over")]
    Transferring,
    /// The leader has no contact with a quorum of voters.
    #[display("the leader does not hear a quorum")]
    NoQuorum,
    /// The disk of this replica failed.
    #[display("the disk of this replica failed")]
    DiskFailed,
    /// Another membership change is not committed yet.
    #[display("another change of members is under way")]
    ChangePending,
    /// A member with this name already exists.
    #[display("{_0} is a member already; remove it first")]
    AlreadyMember(InstanceName),
    /// No member has this name.
    #[display("{_0} is not a member")]
    NotMember(InstanceName),
    /// The reachable voters would not form a quorum after the removal.
    #[display("without {_0} no quorum of voters would be heard")]
    WouldLoseQuorum(InstanceName),
    /// Too few voters would remain after the release.
    #[display("the log needs the vote of {_0}")]
    TooFewVoters(InstanceName),
    /// Too many entries are not committed yet.
    #[display("too many entries wait for a quorum")]
    Overloaded,
}
