//! Handling of a leader's messages by a follower.

use pimentotide_model::Time;

use super::{Durability, Node};
use crate::{ClusterId, Entry, Identity, Index, LogId, Message};

impl Node {
    /// Returns whether the message belongs to this node's log.
    ///
    /// A new replica joins the log of the first leader that contacts it.
    pub(super) fn accepts_cluster(&mut self, cluster: ClusterId, body: &Message) -> bool {
        match self.hard.cluster {
            Some(mine) => mine == cluster,
            None => {
                let from_leader = matches!(
                    body,
                    Message::Heartbeat { .. } | Message::Append { .. } | Message::Chunk { .. }
                );
                if from_leader {
                    self.hard.cluster = Some(cluster);
                    self.save_hard();
                }
                from_leader
            }
        }
    }

    /// Answers a message from a leader of an old term; other old messages are ignored.
    pub(super) fn answer_stale(&mut self, from: &Identity, body: &Message) {
        let from_leader = matches!(
            body,
            Message::Heartbeat { .. } | Message::Append { .. } | Message::Chunk { .. }
        );
        if from_leader {
            self.send(from, Message::Stale, Durability::Hard);
        }
    }

    /// Records contact with the leader of the current term.
    pub(super) fn on_leader_contact(&mut self, leader: &Identity) {
        self.become_follower(self.hard.term, Some(leader.clone()));
        self.leader_contact = self.at.now;
        self.silent_since = self.at.now;
        self.led = true;
        self.reset_election_deadline();
    }

    pub(super) fn on_heartbeat(&mut self, from: &Identity, commit: Index, sent: Time) {
        self.on_leader_contact(from);
        self.commit_to(commit.min(self.log.last().index));
        self.send(from, Message::HeartbeatReply { sent }, Durability::Hard);
    }

    pub(super) fn on_append(
        &mut self,
        from: &Identity,
        prev: LogId,
        mut entries: Vec<Entry>,
        commit: Index,
        sent: Time,
    ) {
        self.on_leader_contact(from);
        let base = self.log.base();
        let mut prev = prev;
        if prev.index < base.index {
            // Entries up to the base are committed, so they match the leader's log.
            entries.retain(|e| e.id.index > base.index);
            prev = base;
        }
        if self.log.term_at(prev.index) != Some(prev.term) {
            let hint = self.log.hint(prev.index.prev(), prev.term);
            let body = Message::Mismatch {
                prev: prev.index,
                hint,
                sent,
            };
            self.send(from, body, Durability::Hard);
            return;
        }
        let matched = entries.last().map_or(prev.index, |e| e.id.index);
        self.merge(entries);
        self.commit_to(commit.min(matched));
        self.send(from, Message::Appended { matched, sent }, Durability::Log);
    }

    /// Appends missing entries, after removing conflicting ones.
    fn merge(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let held = self.log.term_at(entry.id.index);
            if held == Some(entry.id.term) {
                continue;
            }
            if held.is_some() {
                self.truncate(entry.id.index);
            }
            self.save_entry(entry);
        }
    }
}
