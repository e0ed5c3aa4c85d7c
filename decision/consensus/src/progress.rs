//! Replication progress of a peer, as tracked by the leader.

use std::collections::VecDeque;
use std::time::Duration;

use pimentotide_model::Time;

use crate::{FlowKind, Identity, Index, Snapshot};

/// Replication mode of a peer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Flow {
    /// One message at a time until the logs match.
    Probe {
        /// Send time of the message in flight.
        sent: Option<Time>,
    },
    /// Pipelined messages.
    Stream {
        /// Last index and send time of each message in flight.
        inflight: VecDeque<(Index, Time)>,
    },
    /// A snapshot, one chunk at a time.
    Install {
        /// Snapshot being sent.
        snapshot: Snapshot,
        /// Offset of the current chunk in bytes.
        offset: u64,
        /// Send time of the chunk in flight.
        sent: Option<Time>,
    },
}

/// Replication progress of a peer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Progress {
    /// Name and disk under which acknowledgements count.
    pub(crate) identity: Identity,
    /// Last index known to match and to be synced.
    pub(crate) matched: Index,
    /// Index to send next.
    pub(crate) next: Index,
    /// Replication mode.
    pub(crate) flow: Flow,
    /// Time from which this leader sends to it.
    pub(crate) added: Time,
    /// Send time of the newest answered message.
    pub(crate) acked: Option<Time>,
    /// Whether it refused a message because its disk was replaced.
    pub(crate) disk_replaced: bool,
}

impl Progress {
    /// Starts to probe the peer from `next` on, as if it had all earlier entries.
    pub(crate) fn new(identity: Identity, next: Index, now: Time) -> Self {
        Self {
            identity,
            added: now,
            matched: Index(0),
            next,
            flow: Flow::Probe { sent: None },
            acked: None,
            disk_replaced: false,
        }
    }

    /// Records an answer to a message sent at `sent`.
    pub(crate) fn record_answer(&mut self, sent: Time) {
        self.acked = self.acked.max(Some(sent));
        self.disk_replaced = false;
    }

    /// Returns the time since the newest answered message was sent, or since the peer was added.
    pub(crate) fn silent_for(&self, now: Time) -> Duration {
        now.since(self.acked.unwrap_or(self.added))
    }

    /// Returns how the log is sent to the peer.
    pub(crate) fn flow_kind(&self) -> FlowKind {
        match self.flow {
            Flow::Probe { .. } => FlowKind::Probe,
            Flow::Stream { .. } => FlowKind::Entries,
            Flow::Install { .. } => FlowKind::Snapshot,
        }
    }

    /// Returns the bytes of a snapshot that are still to be received.
    pub(crate) fn unsent_snapshot(&self) -> u64 {
        match &self.flow {
            Flow::Install {
                snapshot, offset, ..
            } => snapshot.meta.size.saturating_sub(*offset),
            Flow::Probe { .. } | Flow::Stream { .. } => 0,
        }
    }

    /// Records that the logs match up to `matched`.
    pub(crate) fn record_match(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        match &mut self.flow {
            Flow::Probe { .. } => {
                self.flow = Flow::Stream {
                    inflight: VecDeque::new(),
                };
            }
            Flow::Stream { inflight } => inflight.retain(|(index, _)| *index > matched),
            Flow::Install { snapshot, .. } if matched >= snapshot.meta.last.index => {
                self.probe(self.matched.next());
            }
            Flow::Install { .. } => {}
        }
    }

    /// Returns to probing, from `next` on.
    pub(crate) fn probe(&mut self, next: Index) {
        self.next = next.max(self.matched.next());
        self.flow = Flow::Probe { sent: None };
    }
}
