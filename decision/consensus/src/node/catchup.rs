//! Snapshots: log compaction, transfer in chunks and installation.

use std::sync::Arc;

use pimentotide_model::Time;

use super::{Durability, IncomingSnapshot, Node};
use crate::log::Log;
use crate::message::SnapshotMeta;
use crate::progress::Flow;
use crate::{Action, Identity, Index, LogId, Message, Snapshot};

impl Node {
    /// Compacts the log with the state of the machine after `index`.
    ///
    /// Ignores an index that is not applied or not newer than the newest snapshot.
    pub(super) fn compact(&mut self, index: Index, data: Arc<[u8]>) {
        let newest = self.snapshot.as_ref().map(|s| s.meta.last.index);
        let Some(entry) = self.log.get(index) else {
            return;
        };
        if index > self.applied || newest.is_some_and(|n| index <= n) {
            return;
        }
        let meta = SnapshotMeta {
            last: entry.id,
            time: entry.time,
            config: self.log.config_at(index).clone(),
            size: data.len() as u64,
            checksum: crc32fast::hash(&data),
        };
        let snapshot = Snapshot { meta, data };
        self.snapshot = Some(snapshot.clone());
        self.pending_write.snapshot = Some(snapshot);
        let by_count = Index(index.0.saturating_sub(self.options.retained_entries));
        let by_size = self.log.first_within(index, self.options.retained_bytes);
        self.log.compact(by_count.max(by_size));
        self.compactable_bytes = self.log.bytes_between(index, self.applied);
    }

    /// Switches a peer to snapshot transfer, as the entries it needs are compacted.
    ///
    /// Returns whether there is a snapshot to send.
    pub(super) fn start_snapshot(&mut self, who: &Identity) -> bool {
        let Some(snapshot) = self.snapshot.clone() else {
            return false;
        };
        if let Some(peer) = self.peer(who) {
            peer.flow = Flow::Install {
                snapshot,
                offset: 0,
                sent: None,
            };
        }
        true
    }

    /// Sends the next chunk unless one is in flight.
    ///
    /// Always returns false: only one chunk may be in flight.
    pub(super) fn send_chunk(&mut self, who: &Identity) -> bool {
        let now = self.at.now;
        let max_bytes = self.options.max_chunk_bytes as u64;
        let Some(peer) = self.peer(who) else {
            return false;
        };
        let Flow::Install {
            snapshot,
            offset,
            sent,
        } = &mut peer.flow
        else {
            return false;
        };
        if sent.is_some() {
            return false;
        }
        *sent = Some(now);
        let end = snapshot.meta.size.min(*offset + max_bytes);
        let body = Message::Chunk {
            meta: snapshot.meta.clone(),
            offset: *offset,
            data: Arc::from(&snapshot.data[range(*offset, end)]),
            sent: now,
        };
        self.send(who, body, Durability::Hard);
        false
    }

    pub(super) fn on_chunk_reply(
        &mut self,
        from: &Identity,
        last: LogId,
        next: u64,
        done: bool,
        sent: Time,
    ) {
        let Some(peer) = self.peer(from) else {
            return;
        };
        peer.record_answer(sent);
        if let Flow::Install {
            snapshot,
            offset,
            sent,
        } = &mut peer.flow
            && snapshot.meta.last == last
        {
            if done {
                peer.record_match(last.index);
            } else if next <= snapshot.meta.size && next != *offset {
                *offset = next;
                *sent = None;
            }
        }
        self.advance_commit();
        self.serve_reads();
        self.promote();
        self.send_available(from);
    }

    pub(super) fn on_chunk(
        &mut self,
        from: &Identity,
        meta: SnapshotMeta,
        offset: u64,
        data: &[u8],
        sent: Time,
    ) {
        self.on_leader_contact(from);
        let last = meta.last;
        let size = meta.size;
        if last.index <= self.commit {
            self.reply_chunk(from, last, size, true, sent);
            return;
        }
        let received = self.add_chunk(meta, offset, data);
        if received < size {
            self.reply_chunk(from, last, received, false, sent);
            return;
        }
        let installed = self.install();
        let next = if installed { size } else { 0 };
        self.reply_chunk(from, last, next, installed, sent);
    }

    fn reply_chunk(&mut self, to: &Identity, last: LogId, next: u64, done: bool, sent: Time) {
        let body = Message::ChunkReply {
            last,
            next,
            done,
            sent,
        };
        let durability = if done {
            Durability::Log
        } else {
            Durability::Hard
        };
        self.send(to, body, durability);
    }

    /// Adds a chunk if it is the next one; returns the number of bytes received so far.
    fn add_chunk(&mut self, meta: SnapshotMeta, offset: u64, data: &[u8]) -> u64 {
        let incoming = match self.incoming.take().filter(|s| s.meta == meta) {
            Some(incoming) => self.incoming.insert(incoming),
            None => self.incoming.insert(IncomingSnapshot {
                meta,
                data: Vec::new(),
            }),
        };
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(data);
        }
        incoming.data.len() as u64
    }

    /// Installs the received snapshot; returns whether its checksum matches.
    ///
    /// Keeps the entries after the snapshot if the log contains its last entry.
    fn install(&mut self) -> bool {
        let Some(IncomingSnapshot { meta, data }) = self.incoming.take() else {
            return false;
        };
        if crc32fast::hash(&data) != meta.checksum {
            return false;
        }
        let last = meta.last;
        let contained = self.log.term_at(last.index) == Some(last.term);
        let snapshot = Snapshot {
            meta,
            data: Arc::from(data),
        };
        if contained {
            self.log.compact(last.index);
        } else {
            self.log = Log::new(Some(&snapshot.meta));
            self.durable = self.durable.min(last.index);
            self.unsynced.clear();
            self.pending_write.reset = true;
        }
        self.commit = last.index;
        self.applied = last.index;
        self.compactable_bytes = 0;
        self.snapshot = Some(snapshot.clone());
        self.pending_write.snapshot = Some(snapshot.clone());
        self.actions.push(Action::Restore(snapshot));
        true
    }
}

fn range(from: u64, to: u64) -> std::ops::Range<usize> {
    let clamp = |n| usize::try_from(n).unwrap_or(usize::MAX);
    clamp(from)..clamp(to)
}
