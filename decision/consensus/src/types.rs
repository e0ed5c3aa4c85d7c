//! Log indexes, entries and the persistent state of a replica.

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

            /// Returns the number before this one, or 0 for 0.
            #[must_use]
            pub const fn prev(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }
    )*};
}

numbers! {
    /// Index of a log entry; the first entry has 1.
    Index;
    /// Sequence number of a write to the disk; writes are synced in this order.
    Ticket;
    /// Caller-assigned id of a proposal, a change or a read.
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
    /// Random identity of a data folder, generated when it is first opened.
    DiskId;
    /// Random identity of a replicated log, generated at bootstrap.
    ClusterId;
}

/// Identity of a replica for votes and acknowledgements.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{name}/{disk}")]
pub struct Identity {
    /// Name of the instance.
    pub name: InstanceName,
    /// Identity of its disk.
    pub disk: DiskId,
}

/// Term and index of a log entry.
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
    /// Term in which the entry was appended by its leader; compared first.
    pub term: Term,
    /// Index in the log.
    pub index: Index,
}

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a term; a later one of the term records that the changes of members before it are committed.
    Noop,
    /// Command for the state machine.
    Command(Arc<[u8]>),
    /// Membership from this entry on.
    Config(Config),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index.
    pub id: LogId,
    /// Time assigned by the leader; never lower than that of the previous entry.
    pub time: Time,
    /// Payload.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size in memory and on the wire in bytes.
    pub fn size(&self) -> usize {
        const HEAD_BYTES: usize = 32;
        const MEMBER_BYTES: usize = 64;
        HEAD_BYTES
            + match &self.payload {
                Payload::Noop => 0,
                Payload::Command(bytes) => bytes.len(),
                Payload::Config(c) => {
                    let arbiters = c.arbiters.as_ref().map_or(0, |a| a.members.len());
                    MEMBER_BYTES * (c.voters.len() + c.learners.len() + arbiters)
                }
            }
    }
}

/// Persistent state of a replica besides the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Identity of this replica.
    pub identity: Identity,
    /// Log that this replica belongs to; `None` before the first contact with a leader.
    pub cluster: Option<ClusterId>,
    /// Current term.
    pub term: Term,
    /// Candidate that received this replica's vote in the current term.
    pub vote: Option<Identity>,
}

impl HardState {
    /// Returns the state of an unused folder.
    pub const fn fresh(identity: Identity) -> Self {
        Self {
            identity,
            cluster: None,
            term: Term(0),
            vote: None,
        }
    }
}

/// State of the machine after one log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Metadata, including the index that it covers.
    pub meta: SnapshotMeta,
    /// Encoded state of the machine.
    pub data: Arc<[u8]>,
}

/// State recovered from a data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recovered {
    /// Identity, term and vote.
    pub hard: HardState,
    /// Newest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}
