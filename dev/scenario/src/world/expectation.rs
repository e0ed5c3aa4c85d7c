//! Expectations, judged by the ledgers of the stand-ins.

use pimentotide_control::Verdict;
use pimentotide_model::{ErrorKind, Ran, Revision};

use super::World;
use super::call::verdict_text;
use super::ledger::Told;
use crate::script::Expect;

impl World {
    pub(super) fn judge(&mut self, expect: &Expect) -> Result<(), String> {
        match expect {
            Expect::Answered(name) => match self.ledger.told.get(name) {
                Some(Told::Answer) => Ok(()),
                told => Err(describe(told)),
            },
            Expect::Refused(name, kind, ran) => self.refused(name, *kind, *ran),
            Expect::Runs(name, count) => equal("runs", self.ledger.run_count(name), *count),
            Expect::Work { place, some, span } => {
                let starts = self.ledger.starts_since(place, self.time - *span);
                match (starts, some) {
                    (0, true) => Err("no work started there".to_owned()),
                    (n, false) if n > 0 => Err(format!("{n} requests started there")),
                    _ => Ok(()),
                }
            }
            Expect::Verdict(id, wanted) => self.verdict(id, wanted),
            Expect::Revision(revision, everywhere) => self.revision(*revision, *everywhere),
            Expect::Leader(wanted) => self.leader_is(wanted.as_deref()),
            Expect::NotLeader(name) => match self.leader() {
                Some(node) if self.hosts[node].name == *name => Err("it leads".to_owned()),
                _ => Ok(()),
            },
            Expect::Served(share) => self.served(*share),
            Expect::Settled(map) => self.settled(*map),
            Expect::Ended => self.ended(),
            Expect::Crashes(most) => {
                let crashes = self.ledger.crashes;
                if crashes <= *most {
                    return Ok(());
                }
                Err(format!("engines crashed {crashes} times"))
            }
        }
    }

    fn refused(&self, name: &str, kind: Option<ErrorKind>, ran: Option<Ran>) -> Result<(), String> {
        match self.ledger.told.get(name) {
            Some(Told::Failure(failure))
                if kind.is_none_or(|k| k == failure.kind)
                    && ran.is_none_or(|r| r == failure.ran) =>
            {
                Ok(())
            }
            told => Err(describe(told)),
        }
    }

    fn verdict(&self, id: &str, wanted: &str) -> Result<(), String> {
        let verdict = self.orders.get(id).and_then(|o| o.verdict.as_ref());
        let found = match verdict {
            Some(Verdict::Accepted { .. }) => "accepted",
            Some(Verdict::Conflict { .. }) => "conflict",
            Some(Verdict::Mismatch { .. }) => "mismatch",
            Some(Verdict::Invalid { .. }) => "invalid",
            None => "unanswered",
        };
        if found == wanted {
            return Ok(());
        }
        Err(verdict.map_or("no answer".to_owned(), verdict_text))
    }

    fn revision(&self, revision: u64, everywhere: bool) -> Result<(), String> {
        let wanted = Revision(revision);
        if self.ledger.newest != wanted {
            return Err(format!("revision {} is in force", self.ledger.newest));
        }
        if !everywhere {
            return Ok(());
        }
        let entries = self
            .entries
            .iter()
            .map(|(n, e)| (*n, e.holder.watch.revision()));
        let agents = self
            .agents
            .iter()
            .map(|(n, a)| (*n, a.holder.watch.revision()));
        let mut behind = entries.chain(agents).filter(|(_, held)| *held != wanted);
        behind.next().map_or(Ok(()), |(node, held)| {
            Err(format!("{} holds revision {held}", self.hosts[node].name))
        })
    }

    fn leader_is(&self, wanted: Option<&str>) -> Result<(), String> {
        let leader = self.leader().map(|n| self.hosts[n].name.as_str());
        match (leader, wanted) {
            (None, None) | (Some(_), Some("any")) => Ok(()),
            (Some(found), Some(wanted)) if found == wanted => Ok(()),
            (Some(found), _) => Err(format!("{found} leads")),
            (None, _) => Err("nobody leads".to_owned()),
        }
    }

    fn served(&self, share: u32) -> Result<(), String> {
        let answers = self.ledger.told.values();
        let good = answers.filter(|t| matches!(t, Told::Answer)).count() as u32;
        let offered = self.ledger.offered;
        if good * 100 >= offered * share {
            return Ok(());
        }
        Err(format!("{good} of {offered} requests were answered"))
    }

    /// Every request has been answered or refused.
    fn ended(&self) -> Result<(), String> {
        equal("ended", self.ledger.told.len() as u32, self.ledger.offered)
    }
}

fn equal(what: &str, found: u32, wanted: u32) -> Result<(), String> {
    if found == wanted {
        return Ok(());
    }
    Err(format!("{what}: {found}"))
}

fn describe(told: Option<&Told>) -> String {
    match told {
        Some(Told::Answer) => "it was answered".to_owned(),
        Some(Told::Failure(failure)) => format!("{} (ran: {})", failure.kind, failure.ran),
        Some(Told::Nothing) => "its entry died".to_owned(),
        None => "it has not ended".to_owned(),
    }
}
