//! What a leader knows of another replica's log.

use std::collections::VecDeque;

use pimentotide_model::Time;

use crate::{Identity, Index, Snapshot};

/// How entries reach the replica.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Flow {
    /// One message at a time until the logs agree.
    Probe {
        /// When the message under way left.
        sent: Option<Time>,
    },
    /// Several messages under way.
    Stream {
        /// Last position and time of each message under way.
        inflight: VecDeque<(Index, Time)>,
    },
    /// A snapshot in parts, one part at a time.
    Install {
        /// Snapshot under way.
        snapshot: Snapshot,
        /// Position of the part under way, bytes.
        offset: u64,
        /// When it left.
        sent: Option<Time>,
    },
}

/// What a leader knows of another replica.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Progress {
    /// Who it is.
    pub(crate) identity: Identity,
    /// Last position known to agree and to be synced.
    pub(crate) matched: Index,
    /// Position to send next.
    pub(crate) next: Index,
    /// How entries reach it.
    pub(crate) flow: Flow,
    /// When the newest message that it answered had left.
    pub(crate) acked: Option<Time>,
    /// Whether it answered that its disk is another one.
    pub(crate) lost: bool,
}

impl Progress {
    /// Starts with the logs assumed equal.
    pub(crate) fn new(identity: Identity, next: Index) -> Self {
        Self {
            identity,
            matched: Index(0),
            next,
            flow: Flow::Probe { sent: None },
            acked: None,
            lost: false,
        }
    }

    /// Notes an answer to a message that left at `sent`.
    pub(crate) fn heard(&mut self, sent: Time) {
        self.acked = self.acked.max(Some(sent));
        self.lost = false;
    }

    /// Notes that the logs agree up to `matched`.
    pub(crate) fn matched(&mut self, matched: Index) {
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

    /// Goes back to one message at a time, from `next` on.
    pub(crate) fn probe(&mut self, next: Index) {
        self.next = next.max(self.matched.next());
        self.flow = Flow::Probe { sent: None };
    }
}
