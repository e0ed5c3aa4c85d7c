//! Checks expectations against the history of the run and the state of its processes.

use pimentotide_control::Verdict;
use pimentotide_model::{ErrorKind, Ran, Revision};

use super::World;
use super::call::verdict_text;
use super::history::CallerResult;
use crate::script::Expect;

impl World {
    pub(super) fn check_expectation(&mut self, expect: &Expect) -> Result<(), String> {
        match expect {
            Expect::Answered(name) => match self.history.results.get(name) {
                Some(CallerResult::Answer) => Ok(()),
                result => Err(describe(result)),
            },
            Expect::Refused(name, kind, ran) => self.refused(name, *kind, *ran),
            Expect::Runs(name, count) => equal("runs", self.history.run_count(name), *count),
            Expect::Work { place, some, span } => {
                let starts = self.history.starts_since(place, self.time - *span);
                match (starts, some) {
                    (0, true) => Err("no work started there".to_owned()),
                    (n, false) if n > 0 => Err(format!("{n} requests started there")),
                    _ => Ok(()),
                }
            }
            Expect::Verdict(id, expected) => self.verdict(id, expected),
            Expect::Revision(revision, everywhere) => self.revision(*revision, *everywhere),
            Expect::Leader(expected) => self.leader_is(expected.as_deref()),
            Expect::NotLeader(name) => match self.leader() {
                Some(node) if self.hosts[node].name == *name => Err("it is the leader".to_owned()),
                _ => Ok(()),
            },
            Expect::Served(share) => self.served(*share),
            Expect::Settled(map) => self.settled(*map),
            Expect::Ended => self.ended(),
            Expect::Crashes(max) => {
                let crashes = self.history.crashes;
                if crashes <= *max {
                    return Ok(());
                }
                Err(format!("engines crashed {crashes} times"))
            }
        }
    }

    fn refused(&self, name: &str, kind: Option<ErrorKind>, ran: Option<Ran>) -> Result<(), String> {
        match self.history.results.get(name) {
            Some(CallerResult::Failure(failure))
                if kind.is_none_or(|k| k == failure.kind)
                    && ran.is_none_or(|r| r == failure.ran) =>
            {
                Ok(())
            }
            result => Err(describe(result)),
        }
    }

    fn verdict(&self, id: &str, expected: &str) -> Result<(), String> {
        let verdict = self.orders.get(id).and_then(|o| o.verdict.as_ref());
        let found = match verdict {
            Some(Verdict::Accepted { .. }) => "accepted",
            Some(Verdict::Conflict { .. }) => "conflict",
            Some(Verdict::Mismatch { .. }) => "mismatch",
            Some(Verdict::Invalid { .. }) => "invalid",
            None => "unanswered",
        };
        if found == expected {
            return Ok(());
        }
        Err(verdict.map_or("no answer".to_owned(), verdict_text))
    }

    fn revision(&self, revision: u64, everywhere: bool) -> Result<(), String> {
        let expected = Revision(revision);
        if self.history.newest != expected {
            return Err(format!("revision {} is in force", self.history.newest));
        }
        if !everywhere {
            return Ok(());
        }
        let entries = self
            .entries
            .iter()
            .map(|(n, e)| (*n, e.watcher.watch.revision()));
        let agents = self
            .agents
            .iter()
            .map(|(n, a)| (*n, a.watcher.watch.revision()));
        let mut behind = entries
            .chain(agents)
            .filter(|(_, revision)| *revision != expected);
        behind.next().map_or(Ok(()), |(node, revision)| {
            Err(format!(
                "{} holds revision {revision}",
                self.hosts[node].name
            ))
        })
    }

    fn leader_is(&self, expected: Option<&str>) -> Result<(), String> {
        let leader = self.leader().map(|n| self.hosts[n].name.as_str());
        match (leader, expected) {
            (None, None) | (Some(_), Some("any")) => Ok(()),
            (Some(found), Some(expected)) if found == expected => Ok(()),
            (Some(found), _) => Err(format!("{found} leads")),
            (None, _) => Err("no leader".to_owned()),
        }
    }

    fn served(&self, share: u32) -> Result<(), String> {
        let answers = self.history.results.values();
        let good = answers
            .filter(|t| matches!(t, CallerResult::Answer))
            .count() as u32;
        let offered = self.history.offered;
        if good * 100 >= offered * share {
            return Ok(());
        }
        Err(format!("{good} of {offered} requests were answered"))
    }

    /// Checks that every request has ended, with an answer, a failure or its entry's crash.
    fn ended(&self) -> Result<(), String> {
        equal(
            "ended",
            self.history.results.len() as u32,
            self.history.offered,
        )
    }
}

fn equal(what: &str, found: u32, expected: u32) -> Result<(), String> {
    if found == expected {
        return Ok(());
    }
    Err(format!("{what}: {found}"))
}

fn describe(result: Option<&CallerResult>) -> String {
    match result {
        Some(CallerResult::Answer) => "it was answered".to_owned(),
        Some(CallerResult::Failure(failure)) => format!("{} (ran: {})", failure.kind, failure.ran),
        Some(CallerResult::Lost) => "its entry crashed before it answered".to_owned(),
        None => "it has no answer yet".to_owned(),
    }
}
