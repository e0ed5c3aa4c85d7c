//! Replication of the log from the leader to the other members.

use std::time::Duration;

use pimentotide_model::Time;

use super::{Durability, Node, Role};
use crate::progress::{Flow, Progress};
use crate::{Identity, Index, LogId, Message};

impl Node {
    /// Returns the progress of the peer, if it is tracked under this identity.
    pub(super) fn peer(&mut self, who: &Identity) -> Option<&mut Progress> {
        let Role::Leader(state) = &mut self.role else {
            return None;
        };
        state
            .peers
            .get_mut(&who.name)
            .filter(|p| p.identity == *who)
    }

    pub(super) fn peer_identities(&self) -> Vec<Identity> {
        match &self.role {
            Role::Leader(state) => state.peers.values().map(|p| p.identity.clone()).collect(),
            _ => Vec::new(),
        }
    }

    /// Sends heartbeats if they are due.
    pub(super) fn heartbeat_if_due(&mut self) {
        let now = self.at.now;
        let interval = self.options.heartbeat_interval;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if now < state.next_heartbeat {
            return;
        }
        state.next_heartbeat = now + interval;
        self.send_heartbeats();
        self.replicate();
    }

    pub(super) fn send_heartbeats(&mut self) {
        let sent = self.at.now;
        let commit = self.commit;
        for who in self.peer_identities() {
            let Some(peer) = self.peer(&who) else {
                continue;
            };
            let commit = commit.min(peer.matched);
            self.send(&who, Message::Heartbeat { commit, sent }, Durability::Hard);
        }
    }

    /// Sends missing entries to every peer, within the limits of its flow.
    pub(super) fn replicate(&mut self) {
        for who in self.peer_identities() {
            self.send_available(&who);
        }
    }

    /// Sends messages again that were not answered within the resend timeout.
    pub(super) fn resend(&mut self) {
        let now = self.at.now;
        let options = &self.options;
        let late = |sent: Time, bytes| now >= sent + options.resend_after(bytes);
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        for peer in state.peers.values_mut() {
            let (matched, next) = (peer.matched, peer.next);
            match &mut peer.flow {
                Flow::Probe { sent } => {
                    let bytes = self.log.batch_bytes(next, options.max_batch_bytes);
                    *sent = sent.filter(|s| !late(*s, bytes));
                }
                Flow::Install { sent, .. } => {
                    *sent = sent.filter(|s| !late(*s, options.max_chunk_bytes as u64));
                }
                Flow::Stream { inflight } => {
                    let bytes = self.log.bytes_between(matched, next.prev());
                    if inflight.front().is_some_and(|(_, sent)| late(*sent, bytes)) {
                        peer.probe(matched.next());
                    }
                }
            }
        }
        self.replicate();
    }

    /// Sends missing entries to one peer, within the limits of its flow.
    pub(super) fn send_available(&mut self, who: &Identity) {
        while self.send_next(who) {}
    }

    /// Sends at most one message; returns whether another one may follow.
    fn send_next(&mut self, who: &Identity) -> bool {
        if self.withholds_entries(who) {
            return false;
        }
        let now = self.at.now;
        let window = self.options.max_inflight;
        let last = self.log.last().index;
        let base = self.log.base().index;
        let busy = self.inflight_bytes(who) >= self.options.max_inflight_bytes;
        let Some(peer) = self.peer(who) else {
            return false;
        };
        if peer.disk_replaced {
            return false;
        }
        let next = peer.next;
        let compacted = next <= base;
        match &mut peer.flow {
            Flow::Probe { sent: Some(_) } => false,
            Flow::Install { .. } => self.send_chunk(who),
            Flow::Probe { .. } | Flow::Stream { .. } if compacted => self.start_snapshot(who),
            Flow::Probe { sent } => {
                *sent = Some(now);
                self.send_entries(who, next);
                false
            }
            Flow::Stream { inflight } => {
                let busy = busy && !inflight.is_empty();
                if busy || inflight.len() >= window || next > last {
                    return false;
                }
                let end = self.send_entries(who, next);
                self.record_sent(who, end);
                true
            }
        }
    }

    /// Returns the size of the entries that the peer was sent and has not acknowledged.
    fn inflight_bytes(&self, who: &Identity) -> u64 {
        let Role::Leader(state) = &self.role else {
            return 0;
        };
        let peer = state.peers.get(&who.name);
        peer.map_or(0, |p| self.log.bytes_between(p.matched, p.next.prev()))
    }

    fn record_sent(&mut self, who: &Identity, end: Index) {
        let now = self.at.now;
        if let Some(peer) = self.peer(who)
            && let Flow::Stream { inflight } = &mut peer.flow
        {
            inflight.push_back((end, now));
            peer.next = end.next();
        }
    }

    /// Sends entries from `next` on and returns the index of the last one sent.
    fn send_entries(&mut self, who: &Identity, next: Index) -> Index {
        let index = next.prev();
        let term = self.log.term_at(index).unwrap_or_default();
        let entries = self.log.slice(next, self.options.max_batch_bytes);
        let end = entries.last().map_or(index, |e| e.id.index);
        let body = Message::Append {
            prev: LogId { term, index },
            entries,
            commit: self.commit,
            sent: self.at.now,
        };
        self.send(who, body, Durability::Hard);
        end
    }

    pub(super) fn on_heartbeat_reply(&mut self, from: &Identity, sent: Time) {
        if let Some(peer) = self.peer(from) {
            peer.record_answer(sent);
            self.serve_reads();
        }
    }

    pub(super) fn on_appended(&mut self, from: &Identity, matched: Index, sent: Time) {
        let last = self.log.last().index;
        let Some(peer) = self.peer(from) else {
            return;
        };
        peer.record_answer(sent);
        peer.record_match(matched.min(last));
        self.advance_commit();
        self.serve_reads();
        self.promote();
        self.continue_transfer();
        self.send_available(from);
    }

    pub(super) fn on_mismatch(&mut self, from: &Identity, prev: Index, hint: Index, sent: Time) {
        let Some(peer) = self.peer(from) else {
            return;
        };
        peer.record_answer(sent);
        let stale = match &peer.flow {
            Flow::Probe { .. } => prev != peer.next.prev(),
            Flow::Stream { .. } => prev <= peer.matched,
            Flow::Install { .. } => true,
        };
        if !stale {
            peer.probe(hint.next().min(prev));
        }
        self.serve_reads();
        self.send_available(from);
    }

    pub(super) fn on_refused(&mut self, intended: &Identity, up: Duration) {
        self.record_loss(intended, up);
        if let Some(peer) = self.peer(intended) {
            peer.disk_replaced = true;
            peer.probe(peer.matched.next());
        }
        self.count_pre_votes();
    }
}
