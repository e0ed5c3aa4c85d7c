//! Snapshots: compaction, sending in parts and installation.

use std::sync::Arc;

use pimentotide_model::Time;

use super::{Assembly, Need, Node};
use crate::log::Log;
use crate::message::SnapshotMeta;
use crate::progress::Flow;
use crate::{Action, Identity, Index, LogId, Message, Snapshot};

impl Node {
    /// Compacts the log with the machine's state after `index`.
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
        self.draft.snapshot = Some(snapshot);
        let kept = Index(index.0.saturating_sub(self.options.retained_entries));
        self.log.compact(kept);
    }

    /// Switches a peer to a snapshot, as the entries it lacks are gone.
    pub(super) fn start_install(&mut self, who: &Identity) -> bool {
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

    /// Sends the part that is due; returns false as one part at a time is under way.
    pub(super) fn send_chunk(&mut self, who: &Identity) -> bool {
        let now = self.at.now;
        let most = self.options.max_chunk_bytes as u64;
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
        let end = snapshot.meta.size.min(*offset + most);
        let body = Message::Chunk {
            meta: snapshot.meta.clone(),
            offset: *offset,
            data: Arc::from(&snapshot.data[range(*offset, end)]),
            sent: now,
        };
        self.send(who, body, Need::Hard);
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
        peer.heard(sent);
        if let Flow::Install {
            snapshot,
            offset,
            sent,
        } = &mut peer.flow
            && snapshot.meta.last == last
        {
            if done {
                peer.matched(last.index);
            } else if next <= snapshot.meta.size && next != *offset {
                *offset = next;
                *sent = None;
            }
        }
        self.advance_commit();
        self.serve_reads();
        self.promote();
        self.feed(from);
    }

    pub(super) fn on_chunk(
        &mut self,
        from: &Identity,
        meta: SnapshotMeta,
        offset: u64,
        data: &[u8],
        sent: Time,
    ) {
        self.hear(from);
        let last = meta.last;
        let size = meta.size;
        if last.index <= self.commit {
            self.reply_chunk(from, last, size, true, sent);
            return;
        }
        let held = self.assemble(meta, offset, data);
        if held < size {
            self.reply_chunk(from, last, held, false, sent);
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
        let need = if done { Need::Log } else { Need::Hard };
        self.send(to, body, need);
    }

    /// Adds a part if it is the next one; returns how many bytes are held.
    fn assemble(&mut self, meta: SnapshotMeta, offset: u64, data: &[u8]) -> u64 {
        let assembly = match self.assembly.take().filter(|a| a.meta == meta) {
            Some(assembly) => self.assembly.insert(assembly),
            None => self.assembly.insert(Assembly {
                meta,
                data: Vec::new(),
            }),
        };
        if assembly.data.len() as u64 == offset {
            assembly.data.extend_from_slice(data);
        }
        assembly.data.len() as u64
    }

    /// Puts the whole snapshot in place of the log; returns whether its checksum holds.
    fn install(&mut self) -> bool {
        let Some(Assembly { meta, data }) = self.assembly.take() else {
            return false;
        };
        if crc32fast::hash(&data) != meta.checksum {
            return false;
        }
        let last = meta.last;
        let follows = self.log.term_at(last.index) == Some(last.term);
        let snapshot = Snapshot {
            meta,
            data: Arc::from(data),
        };
        if follows {
            self.log.compact(last.index);
        } else {
            self.log = Log::new(Some(&snapshot.meta));
            self.durable = self.durable.min(last.index);
            self.unsynced.clear();
            self.draft.reset = true;
        }
        self.commit = last.index;
        self.applied = last.index;
        self.snapshot = Some(snapshot.clone());
        self.draft.snapshot = Some(snapshot.clone());
        self.actions.push(Action::Restore(snapshot));
        true
    }
}

fn range(from: u64, to: u64) -> std::ops::Range<usize> {
    let clamp = |n| usize::try_from(n).unwrap_or(usize::MAX);
    clamp(from)..clamp(to)
}
