//! Messages between replicas.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{Term, Time};
use serde::{Deserialize, Serialize};

use crate::{ClusterId, Config, Entry, Identity, Index, LogId};

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// Log that the sender belongs to.
    pub cluster: ClusterId,
    /// Sender.
    pub from: Identity,
    /// Receiver; a replica with another disk identity refuses the message.
    pub to: Identity,
    /// Term of the sender; the proposed term in a pre-vote.
    pub term: Term,
    /// Payload.
    pub body: Message,
}

/// Payload of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted, without starting a term.
    PreVote {
        /// Last entry of the sender.
        last: LogId,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the receiver may start an election.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Last entry of the candidate.
        last: LogId,
        /// Whether the election is part of a leadership transfer.
        transfer: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Renews the leader's lease without changing the log.
    Heartbeat {
        /// Commit index, capped at what the receiver acknowledged.
        commit: Index,
        /// Send time on the leader's clock.
        sent: Time,
    },
    /// Answers a heartbeat.
    HeartbeatReply {
        /// Send time copied from the heartbeat.
        sent: Time,
    },
    /// Appends entries after `prev`.
    Append {
        /// Id of the entry before the first one sent.
        prev: LogId,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: Index,
        /// Send time on the leader's clock.
        sent: Time,
    },
    /// Acknowledges that the log matches the leader's up to an index and is synced.
    Appended {
        /// Last matching index.
        matched: Index,
        /// Send time copied from the append.
        sent: Time,
    },
    /// Rejects an append, as the log does not hold the entry `prev`.
    Mismatch {
        /// Index of the missing entry.
        prev: Index,
        /// Highest index that may match.
        hint: Index,
        /// Send time copied from the append.
        sent: Time,
    },
    /// One chunk of a snapshot.
    Chunk {
        /// Metadata of the snapshot.
        meta: SnapshotMeta,
        /// Offset of this chunk in bytes.
        offset: u64,
        /// Bytes of this chunk.
        data: Arc<[u8]>,
        /// Send time on the leader's clock.
        sent: Time,
    },
    /// Answers a chunk of a snapshot.
    ChunkReply {
        /// Id of the last entry that the snapshot covers.
        last: LogId,
        /// Offset of the next expected chunk in bytes.
        next: u64,
        /// Whether the complete snapshot is installed and synced.
        done: bool,
        /// Send time copied from the chunk.
        sent: Time,
    },
    /// Makes the receiver start an election without waiting for its timeout.
    TimeoutNow,
    /// Reports that the receiver's term is outdated; does not renew its lease.
    Stale,
    /// Reports that a message was addressed to a disk that its receiver does not have.
    Refused {
        /// Identity to which the message was addressed.
        intended: Identity,
    },
    /// Answers a pre-vote: the receiver, which leads no one, has had no contact with a leader since its
    /// start, and refuses only because it may have extended the lease of one just before.
    Unled,
    /// Requests a vote after every voter has answered that it would grant it or is [`Unled`](Self::Unled).
    RestartVote {
        /// Last entry of the candidate.
        last: LogId,
    },
    /// Follows [`Refused`](Self::Refused): for how long the receiver has run with the disk that it has now.
    Replaced {
        /// Identity to which the message was addressed.
        intended: Identity,
        /// Time since the start of the process.
        up: Duration,
    },
    /// Requests a vote by a grant of the arbiters, for which the voter must have had no contact with a leader
    /// for [`Options::grant_silence`](crate::Options).
    GrantVote {
        /// Last entry of the candidate.
        last: LogId,
    },
}

/// Metadata of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Id of the last entry that it covers.
    pub last: LogId,
    /// Time of that entry.
    pub time: Time,
    /// Membership as of that entry.
    pub config: Config,
    /// Size of the state in bytes.
    pub size: u64,
    /// CRC-32 of the state.
    pub checksum: u32,
}
