//! Positions, entries and what a replica keeps on its disk.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, From, Into};
use pimentotide_model::{InstanceName, Term, Time};
use serde::{Deserialize, Serialize};

use crate::{Config, SnapshotMeta};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// Returns the number before this one, zero at zero.
            #[must_use]
            pub const fn prev(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }
    )*};
}

numbers! {
    /// Position in the log; the first entry has 1.
    Index;
    /// Number of a write to the disk; writes are synced in this order.
    Ticket;
    /// Number by which the shell knows a proposal, a change or a read.
    ProposalId;
}

macro_rules! identities {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:x}", self.0)
            }
        }
    )*};
}

identities! {
    /// Random identity of a data folder, made when it is first opened.
    DiskId;
    /// Random identity of a replicated log, made when it is founded.
    ClusterId;
}

/// A replica as it counts for votes and acknowledgements.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{name}/{disk}")]
pub struct Identity {
    /// Name of the instance.
    pub name: InstanceName,
    /// Identity of its disk.
    pub disk: DiskId,
}

/// Position and term of one entry.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{index}@{term}")]
pub struct LogId {
    /// Term in which a leader made the entry; compared first.
    pub term: Term,
    /// Position.
    pub index: Index,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader.
    Noop,
    /// Command to the replicated machine.
    Command(Arc<[u8]>),
    /// Members from this entry on.
    Config(Config),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Position and term.
    pub id: LogId,
    /// Time given by the leader; never lower than in the entry before.
    pub time: Time,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in memory and on the wire, bytes.
    pub fn size(&self) -> usize {
        const HEAD_BYTES: usize = 32;
        const MEMBER_BYTES: usize = 64;
        HEAD_BYTES
            + match &self.payload {
                Payload::Noop => 0,
                Payload::Command(bytes) => bytes.len(),
                Payload::Config(c) => MEMBER_BYTES * (c.voters.len() + c.learners.len()),
            }
    }
}

/// What a replica must remember besides the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Identity of this replica.
    pub identity: Identity,
    /// Log that this replica belongs to; none before it first heard of one.
    pub cluster: Option<ClusterId>,
    /// Current term.
    pub term: Term,
    /// Candidate that has this replica's vote in the term.
    pub vote: Option<Identity>,
}

impl HardState {
    /// State of a folder that was never used.
    pub const fn fresh(identity: Identity) -> Self {
        Self {
            identity,
            cluster: None,
            term: Term(0),
            vote: None,
        }
    }
}

/// State of the machine at one position.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position, members and size.
    pub meta: SnapshotMeta,
    /// State of the machine.
    pub data: Arc<[u8]>,
}

/// What a data folder held when it was opened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recovered {
    /// Identity, term and vote.
    pub hard: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}
