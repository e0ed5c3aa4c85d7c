//! Safety rules, checked after every step.

use std::collections::BTreeMap;

use pimentotide_consensus::{Entry, Envelope, Identity, Index, Message, Write};
use pimentotide_model::{Term, Time};

use super::host::{Host, Process};

/// History against which every step is checked.
#[derive(Clone, Default)]
pub(crate) struct Checker {
    leaders: BTreeMap<Term, Identity>,
    votes: BTreeMap<(Term, Identity), Identity>,
    /// Every written entry, with the term of its predecessor.
    written: BTreeMap<(Index, Term), (Term, Entry)>,
    pub(crate) committed: BTreeMap<Index, Committed>,
    /// The first rule that was broken.
    pub(crate) violation: Option<String>,
}

#[derive(Clone)]
pub(crate) struct Committed {
    pub(crate) entry: Entry,
    /// Lowest term in which a replica is known to have applied it.
    term: Term,
    digest: u64,
}

impl Checker {
    fn violated(&mut self, rule: &str, detail: &str) {
        self.violation
            .get_or_insert_with(|| format!("{rule}: {detail}"));
    }

    /// At most one replica holds a lease.
    pub(crate) fn leases(&mut self, now: Time, hosts: &[Host]) {
        let processes = hosts.iter().filter_map(|h| h.process.as_ref());
        let leaders: Vec<_> = processes.filter(|p| p.node.is_leader()).collect();
        if leaders.len() < 2 {
            return;
        }
        let leased = leaders.iter().filter(|p| p.node.leads_at(now));
        let holders: Vec<_> = leased.map(|p| &p.node.hard().identity).collect();
        if holders.len() > 1 {
            self.violated("lease safety", &format!("{holders:?} at {now}"));
        }
    }

    /// One leader a term, which has all committed entries.
    pub(crate) fn leader(&mut self, process: &mut Process) {
        let (node, term) = (&process.node, process.node.term());
        if !node.is_leader() || process.led_term == Some(term) {
            return;
        }
        process.led_term = Some(term);
        let me = &node.hard().identity;
        let first = self.leaders.entry(term).or_insert_with(|| me.clone());
        if first != me {
            let detail = format!("{first} and {me} lead in term {term}");
            self.violated("election safety", &detail);
        }
        let newest = self.committed.iter().rev().find(|(_, c)| c.term < term);
        let Some((index, committed)) = newest else {
            return;
        };
        let held = node.term_at(*index);
        let compacted = held.is_none() && *index <= node.commit();
        if held != Some(committed.entry.id.term) && !compacted {
            let detail = format!("{me} leads term {term} without {}", committed.entry.id);
            self.violated("leader completeness", &detail);
        }
    }

    /// Entries with equal index and term are equal, as are the logs before them.
    pub(crate) fn written(&mut self, process: &Process, write: &Write) {
        let Some(first) = write.entries.first() else {
            return;
        };
        let mut before = process.node.term_at(first.id.index.prev());
        for entry in &write.entries {
            let id = entry.id;
            if let Some(prev) = before {
                let key = (id.index, id.term);
                let known = self.written.entry(key);
                let known = known.or_insert_with(|| (prev, entry.clone()));
                if known.0 != prev || known.1 != *entry {
                    self.violated("log matching", &format!("entry {id}"));
                }
            }
            before = Some(id.term);
        }
    }

    /// One vote a term, also across restarts.
    pub(crate) fn sent(&mut self, envelope: &Envelope) {
        if envelope.body != (Message::VoteReply { granted: true }) {
            return;
        }
        let key = (envelope.term, envelope.from.clone());
        let first = self.votes.entry(key).or_insert_with(|| envelope.to.clone());
        if *first != envelope.to {
            let detail = format!("{} voted twice in term {}", envelope.from, envelope.term);
            self.violated("one vote per term", &detail);
        }
    }

    /// All replicas apply the same entries.
    pub(crate) fn applied(&mut self, entry: &Entry, term: Term, digest: u64) {
        let index = entry.id.index;
        let known = self.committed.entry(index).or_insert_with(|| Committed {
            entry: entry.clone(),
            term,
            digest,
        });
        known.term = known.term.min(term);
        if known.entry != *entry || known.digest != digest {
            let detail = format!("{} was committed, {} is applied", known.entry.id, entry.id);
            self.violated("state machine safety", &detail);
        }
    }

    pub(crate) fn restored(&mut self, last: Index, digest: u64) {
        if self.committed.get(&last).map(|c| c.digest) != Some(digest) {
            self.violated("state machine safety", &format!("snapshot at {last}"));
        }
    }
}
