//! Safety rules, checked after every step.

use std::collections::BTreeMap;

use pimentotide_consensus::{
    Entry, Envelope, Identity, Index, Message, Outcome, ProposalId, Reject, Write,
};
use pimentotide_model::{Term, Time};

use super::Counts;
use super::host::Host;
use super::machine::Recorder;

/// History of a run against which every step is checked.
pub(crate) struct Checker {
    seed: u64,
    leaders: BTreeMap<Term, Identity>,
    votes: BTreeMap<(Term, Identity), Identity>,
    /// Every written entry, with the term of its predecessor.
    entries: BTreeMap<(Index, Term), (Term, Entry)>,
    committed: BTreeMap<Index, Committed>,
    proposals: BTreeMap<ProposalId, Vec<u8>>,
    reads: BTreeMap<ProposalId, Index>,
    pub(crate) last_rejection: Option<Reject>,
}

struct Committed {
    entry: Entry,
    /// Lowest term in which a replica is known to have applied it.
    term: Term,
    digest: u64,
}

impl Checker {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            leaders: BTreeMap::new(),
            votes: BTreeMap::new(),
            entries: BTreeMap::new(),
            committed: BTreeMap::new(),
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            last_rejection: None,
        }
    }

    /// Identifies the run in failure messages.
    pub(crate) fn run(&self) -> String {
        format!("seed {}", self.seed)
    }

    fn fail(&self, rule: &str, detail: &str) -> ! {
        panic!("{rule} violated: {detail}; {}", self.run())
    }

    pub(crate) fn committed_up_to(&self) -> Index {
        self.committed
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default()
    }

    /// Lease safety: at most one replica holds a valid lease at any time.
    pub(crate) fn leases(&self, time: Time, hosts: &[Host]) {
        let holders: Vec<_> = hosts
            .iter()
            .filter_map(|h| Some((h, h.process.as_ref()?)))
            .filter(|(h, p)| p.node.leads_at(h.local(time)))
            .map(|(h, p)| (&h.name, p.node.term()))
            .collect();
        if holders.len() > 1 {
            self.fail(
                "lease safety",
                &format!("{holders:?} hold leases at {time}"),
            );
        }
    }

    /// Election safety, leader completeness and a commit index that never decreases.
    pub(crate) fn node(&mut self, host: &mut Host, counts: &mut Counts) {
        let Some(process) = &host.process else {
            return;
        };
        let node = &process.node;
        if node.commit() < host.commit {
            self.fail(
                "monotonic commit index",
                &format!("{} on {}", node.commit(), host.name),
            );
        }
        host.commit = node.commit();
        if !node.is_leader() || host.led_term == Some(node.term()) {
            return;
        }
        let (term, me) = (node.term(), node.hard().identity.clone());
        counts.elections += 1;
        let first = self
            .leaders
            .entry(term)
            .or_insert_with(|| me.clone())
            .clone();
        if first != me {
            self.fail(
                "election safety",
                &format!("{first} and {me} lead in term {term}"),
            );
        }
        let newest = self.committed.iter().rev().find(|(_, c)| c.term < term);
        if let Some((index, committed)) = newest {
            let held = node.term_at(*index);
            let compacted = held.is_none() && *index <= node.commit();
            if held != Some(committed.entry.id.term) && !compacted {
                self.fail(
                    "leader completeness",
                    &format!(
                        "{me} leads term {term} without committed entry {}",
                        committed.entry.id
                    ),
                );
            }
        }
        host.led_term = Some(term);
    }

    /// Log matching: entries with equal index and term are equal, as are the logs before them.
    pub(crate) fn written(&mut self, host: &Host, write: &Write) {
        let Some(first) = write.entries.first() else {
            return;
        };
        let Some(process) = &host.process else {
            return;
        };
        let mut before = process.node.term_at(first.id.index.prev());
        for entry in &write.entries {
            if let Some(prev) = before {
                let key = (entry.id.index, entry.id.term);
                let known = self
                    .entries
                    .entry(key)
                    .or_insert_with(|| (prev, entry.clone()));
                if known.0 != prev || known.1 != *entry {
                    self.fail(
                        "log matching",
                        &format!("entry {} on {}", entry.id, host.name),
                    );
                }
            }
            before = Some(entry.id.term);
        }
    }

    /// A replica grants one vote per term, also across restarts.
    pub(crate) fn sent(&mut self, envelope: &Envelope) {
        if !matches!(envelope.body, Message::VoteReply { granted: true }) {
            return;
        }
        let key = (envelope.term, envelope.from.clone());
        let first = self.votes.entry(key).or_insert_with(|| envelope.to.clone());
        if *first != envelope.to {
            let detail = format!("{} voted twice in term {}", envelope.from, envelope.term);
            self.fail("one vote per term", &detail);
        }
    }

    /// State machine safety: all replicas apply the same entry at an index.
    pub(crate) fn applied(&mut self, entry: &Entry, term: Term, machine: &Recorder) {
        let index = entry.id.index;
        let digest = machine.digest;
        let known = self.committed.entry(index).or_insert_with(|| Committed {
            entry: entry.clone(),
            term,
            digest,
        });
        known.term = known.term.min(term);
        if known.entry != *entry {
            let detail = format!("{} was committed, {} is applied", known.entry.id, entry.id);
            self.fail("state machine safety", &detail);
        }
        if known.digest != digest {
            self.fail(
                "state machine safety",
                &format!("states differ after {index}"),
            );
        }
    }

    pub(crate) fn restored(&self, last: Index, machine: &Recorder) {
        let known = self.committed.get(&last).map(|c| c.digest);
        if known != Some(machine.digest) {
            self.fail(
                "state machine safety",
                &format!("the snapshot at {last} differs"),
            );
        }
    }

    pub(crate) fn proposed(&mut self, id: ProposalId, command: &[u8]) {
        self.proposals.insert(id, command.to_vec());
    }

    pub(crate) fn rejected(&mut self, id: ProposalId, reason: &Reject) {
        self.proposals.remove(&id);
        self.reads.remove(&id);
        self.last_rejection = Some(reason.clone());
    }

    /// Durability: an acknowledged command is committed at the index in its answer.
    pub(crate) fn acknowledged(&mut self, id: ProposalId, outcome: &Outcome) {
        let Some(command) = self.proposals.remove(&id) else {
            return;
        };
        if let Outcome::Applied(index, answer) = outcome
            && (*answer != command || !self.committed.contains_key(index))
        {
            self.fail(
                "durability of acknowledged commands",
                &format!("{id} was answered at {index}"),
            );
        }
    }

    pub(crate) fn read_requested(&mut self, id: ProposalId) {
        self.reads.insert(id, self.committed_up_to());
    }

    /// Linearizable reads: a read covers all entries committed when it was requested.
    pub(crate) fn read_ready(&mut self, id: ProposalId, index: Index) {
        let Some(min) = self.reads.remove(&id) else {
            return;
        };
        if index < min {
            self.fail(
                "linearizable reads",
                &format!("{index} was read after {min}"),
            );
        }
    }

    /// All members have the same state after the faults have ended.
    pub(crate) fn agreement(&self, hosts: &[Host]) {
        let newest = self.committed_up_to();
        let leader = hosts
            .iter()
            .filter_map(|h| h.process.as_ref())
            .find(|p| p.node.is_leader());
        let Some(config) = leader.map(|p| p.node.config()) else {
            self.fail("agreement", "no leader");
        };
        for host in hosts.iter().filter(|h| config.member(&h.name).is_some()) {
            let Some(process) = &host.process else {
                self.fail("agreement", &format!("{} is not running", host.name));
            };
            let applied = process.applier.applied();
            let digest = self.committed.get(&applied).map(|c| c.digest);
            if applied.0 + 50 < newest.0 || digest != Some(process.applier.machine().digest) {
                let detail = format!("{} is at {applied} of {newest}", host.name);
                self.fail("agreement", &detail);
            }
        }
    }
}
