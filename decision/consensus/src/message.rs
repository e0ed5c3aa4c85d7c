//! Messages between replicas.

use std::sync::Arc;

use pimentotide_model::{Term, Time};
use serde::{Deserialize, Serialize};

use crate::{ClusterId, Config, Entry, Identity, Index, LogId};

/// A message with its sender and the identity that it is meant for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// Log that the sender belongs to.
    pub cluster: ClusterId,
    /// Sender.
    pub from: Identity,
    /// Receiver; a replica with another disk refuses the message.
    pub to: Identity,
    /// Term of the sender; the proposed term in a pre-vote.
    pub term: Term,
    /// Content.
    pub body: Message,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a candidacy would succeed.
    PreVote {
        /// Last entry of the sender.
        last: LogId,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the receiver may stand.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last entry of the candidate.
        last: LogId,
        /// Whether the leader asked the candidate to stand.
        transfer: bool,
    },
    /// Answers a candidate.
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Keeps the leader's lease without touching the log.
    Heartbeat {
        /// Committed position, no higher than what the receiver acknowledged.
        commit: Index,
        /// Time at which it left, on the leader's clock.
        sent: Time,
    },
    /// Answers a heartbeat.
    HeartbeatReply {
        /// Time from the heartbeat.
        sent: Time,
    },
    /// Appends entries after `prev`.
    Append {
        /// Entry before the first one.
        prev: LogId,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Committed position.
        commit: Index,
        /// Time at which it left, on the leader's clock.
        sent: Time,
    },
    /// The log agrees with the leader's up to here and is synced.
    Appended {
        /// Last position that agrees.
        matched: Index,
        /// Time from the append.
        sent: Time,
    },
    /// The log does not hold the entry before the first one.
    Mismatch {
        /// Position that was asked for.
        prev: Index,
        /// Highest position that may agree.
        hint: Index,
        /// Time from the append.
        sent: Time,
    },
    /// One part of a snapshot.
    Chunk {
        /// What the snapshot covers.
        meta: SnapshotMeta,
        /// Position of this part, bytes.
        offset: u64,
        /// Content of this part.
        data: Arc<[u8]>,
        /// Time at which it left, on the leader's clock.
        sent: Time,
    },
    /// Answers a part of a snapshot.
    ChunkReply {
        /// Entry that the snapshot ends with.
        last: LogId,
        /// Position of the part that is wanted next, bytes.
        next: u64,
        /// Whether the receiver has the snapshot, synced.
        done: bool,
        /// Time from the part.
        sent: Time,
    },
    /// Tells the receiver to stand for election at once.
    TimeoutNow,
    /// The receiver's term is over; proves nothing else, so it keeps no lease.
    Stale,
    /// The receiver is not who the message was meant for.
    Refused {
        /// Identity that the sender had in mind.
        intended: Identity,
    },
}

/// What a snapshot covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry that it covers.
    pub last: LogId,
    /// Time of that entry.
    pub time: Time,
    /// Members as of that entry.
    pub config: Config,
    /// Size of the state, bytes.
    pub size: u64,
    /// Checksum of the state.
    pub checksum: u32,
}
