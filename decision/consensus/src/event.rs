//! What a node is told and what it asks for.

use std::sync::Arc;

use derive_more::Display;
use pimentotide_model::{InstanceName, Term, Time};
use serde::{Deserialize, Serialize};

use crate::{Change, Entry, Envelope, HardState, Identity, Index, ProposalId, Snapshot, Ticket};

/// When an event happens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time of this process.
    pub now: Time,
    /// Time since the epoch, which may step.
    pub wall: Time,
}

/// What a node is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time went by.
    Tick,
    /// A message arrived.
    Receive(Envelope),
    /// All writes up to this ticket are synced.
    Synced(Ticket),
    /// The disk failed; nothing more will be synced.
    DiskFailed,
    /// A command to replicate.
    Propose(ProposalId, Arc<[u8]>),
    /// A wish to read what is committed now.
    Read(ProposalId),
    /// A change to the members.
    Change(ProposalId, Change),
    /// The machine's state after this position, to compact the log with.
    Compact(Index, Arc<[u8]>),
    /// This replica is about to stop and hands over leadership.
    Transfer,
}

/// What a node asks its shell to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write and sync, then report [`Event::Synced`].
    Write(Write),
    /// Send once all writes up to `after` are synced.
    Send {
        /// Ticket that has to be synced first.
        after: Ticket,
        /// Message.
        envelope: Envelope,
    },
    /// Apply a committed entry.
    Apply(Entry),
    /// Replace the machine's state.
    Restore(Snapshot),
    /// The proposal or change stands at this position in this term.
    Accepted(ProposalId, Index, Term),
    /// The proposal, change or read was not taken; it has no effect.
    Rejected(ProposalId, Reject),
    /// The read may be answered once this position is applied.
    ReadReady(ProposalId, Index),
    /// A message meant for another disk was refused.
    Refused {
        /// Sender.
        from: Identity,
        /// Identity that the sender had in mind.
        intended: Identity,
    },
}

/// What has to reach the disk, as one write.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Number of the write.
    pub ticket: Ticket,
    /// Identity, term and vote, if they changed.
    pub hard: Option<HardState>,
    /// Snapshot that allows older entries to be dropped.
    pub snapshot: Option<Snapshot>,
    /// Whether all entries on the disk are to be dropped for the snapshot.
    pub reset: bool,
    /// Entries; the first one replaces all from its position on.
    pub entries: Vec<Entry>,
}

/// Why a proposal, a change or a read was not taken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Reject {
    /// Another replica leads, as far as known.
    #[display("this replica does not lead")]
    NotLeader(Option<Identity>),
    /// The leader hands over leadership.
    #[display("leadership is being handed over")]
    Transferring,
    /// The leader cannot hear a quorum.
    #[display("the leader does not hear a quorum")]
    NoQuorum,
    /// The disk of this replica failed.
    #[display("the disk of this replica failed")]
    DiskFailed,
    /// Another change of members is under way.
    #[display("another change of members is under way")]
    ChangePending,
    /// A member of this name exists.
    #[display("{_0} is a member already; remove it first")]
    AlreadyMember(InstanceName),
    /// No member has this name.
    #[display("{_0} is not a member")]
    NotMember(InstanceName),
    /// The remaining voters could not commit.
    #[display("without {_0} no quorum of voters would be heard")]
    WouldLoseQuorum(InstanceName),
    /// Too many entries wait for a quorum.
    #[display("too many entries wait for a quorum")]
    Overloaded,
}
