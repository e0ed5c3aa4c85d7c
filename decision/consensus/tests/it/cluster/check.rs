//! Safety rules, checked after every step.

use std::collections::{BTreeMap, BTreeSet};

use pimentotide_consensus::{Config, Entry, Envelope, Identity, Index, Message, Write};
use pimentotide_model::{Term, Time};

use super::host::{Host, Process};

/// History against which every step is checked.
#[derive(Clone, Default)]
pub(crate) struct Checker {
    leaders: BTreeMap<Term, Identity>,
    candidates: BTreeSet<(Term, Identity)>,
    votes: BTreeMap<(Term, Identity), Identity>,
    /// Every written entry, with the term of its predecessor.
    written: BTreeMap<(Index, Term), (Term, Entry)>,
    pub(crate) committed: BTreeMap<Index, Committed>,
    /// The first rule that was broken.
    pub(crate) violation: Option<String>,
    /// Whether a leader lacks an entry that was lost with too many disks.
    pub(crate) is_void: bool,
}

#[derive(Clone)]
pub(crate) struct Committed {
    pub(crate) entry: Entry,
    /// Lowest term in which a replica is known to have applied it.
    term: Term,
    digest: u64,
    /// Whether more disks that held it were lost than the log has to bear.
    forfeited: bool,
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
        for (index, committed) in self.committed.iter().rev() {
            let held = node.term_at(*index);
            let compacted = held.is_none() && *index <= node.commit();
            if committed.term >= term {
                continue;
            }
            if held == Some(committed.entry.id.term) || compacted {
                return;
            }
            if !committed.forfeited {
                let detail = format!("{me} leads term {term} without {}", committed.entry.id);
                return self.violated("leader completeness", &detail);
            }
            self.is_void = true;
        }
    }

    /// Excuses the loss of entries of which fewer copies are left than half of an even number of voters,
    /// which a quorum of the other half may miss. One copy is enough where every quorum is a majority, and
    /// with arbiters, whose quorums all intersect and consist of disks that are not lost.
    pub(crate) fn forfeit(&mut self, hosts: &[Host]) {
        let nodes = hosts.iter().filter_map(|h| h.process.as_ref());
        let mut configs: Vec<_> = nodes.map(|p| p.node.config().clone()).collect();
        configs.retain(|c| c.voters.len() % 2 == 0 && c.arbiters.is_none());
        for committed in self.committed.values_mut().rev() {
            let id = committed.entry.id;
            let holders: Vec<_> = hosts.iter().filter(|h| !h.gone && h.holds(id)).collect();
            let is_short = |c: &Config| {
                let copies = holders.iter().filter(|h| c.is_voter(h.identity()));
                copies.count() < c.voters.len() / 2
            };
            if !configs.iter().any(is_short) {
                return;
            }
            committed.forfeited = true;
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
        if matches!(
            envelope.body,
            Message::Vote { .. } | Message::RestartVote { .. } | Message::GrantVote { .. }
        ) {
            let candidate = (envelope.term, envelope.from.clone());
            self.candidates.insert(candidate);
        }
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

    /// Whether two replicas request votes in the newest term, which none leads.
    pub(crate) fn has_rivals(&self) -> bool {
        let mut newest = self.candidates.iter().rev().map(|(term, _)| term);
        let (first, second) = (newest.next(), newest.next());
        first.is_some_and(|t| second == Some(t) && !self.leaders.contains_key(t))
    }

    /// All replicas apply the same entries.
    pub(crate) fn applied(&mut self, entry: &Entry, term: Term, digest: u64) {
        let index = entry.id.index;
        let known = self.committed.entry(index).or_insert_with(|| Committed {
            entry: entry.clone(),
            term,
            digest,
            forfeited: false,
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
