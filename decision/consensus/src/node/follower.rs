//! What a follower does with its leader's messages.

use pimentotide_model::Time;

use super::{Need, Node};
use crate::{Entry, Identity, Index, LogId, Message};

impl Node {
    /// Tells a leader or candidate of an old term that it is over.
    pub(super) fn answer_stale(&mut self, from: &Identity, body: &Message) {
        let leads = matches!(
            body,
            Message::Heartbeat { .. } | Message::Append { .. } | Message::Chunk { .. }
        );
        if leads {
            self.send(from, Message::Stale, Need::Hard);
        }
    }

    /// Notes that the leader of this term was heard.
    pub(super) fn hear(&mut self, leader: &Identity) {
        self.follow(self.hard.term, Some(leader.clone()));
        self.heard = self.at.now;
        self.reset_deadline();
    }

    pub(super) fn on_heartbeat(&mut self, from: &Identity, commit: Index, sent: Time) {
        self.hear(from);
        self.commit_to(commit.min(self.log.last().index));
        self.send(from, Message::HeartbeatReply { sent }, Need::Hard);
    }

    pub(super) fn on_append(
        &mut self,
        from: &Identity,
        prev: LogId,
        mut entries: Vec<Entry>,
        commit: Index,
        sent: Time,
    ) {
        self.hear(from);
        let base = self.log.base();
        let mut prev = prev;
        if prev.index < base.index {
            // All up to the base is committed, so it agrees with the leader's log.
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
            self.send(from, body, Need::Hard);
            return;
        }
        let matched = entries.last().map_or(prev.index, |e| e.id.index);
        self.merge(entries);
        self.commit_to(commit.min(matched));
        self.send(from, Message::Appended { matched, sent }, Need::Log);
    }

    /// Adds entries that are new, after dropping those that they replace.
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
