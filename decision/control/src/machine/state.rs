//! The replicated state and the commands that change it.

use derive_more::From;
use pimentotide_experts::Decisions;
use pimentotide_model::{Declarations, Fence, Fingerprint, Revision, Time, UpstreamName};
use pimentotide_outcome::Journal;
use serde::{Deserialize, Serialize};

use super::codec::{CodecError, MAX_COMMAND_BYTES, MAX_SNAPSHOT_BYTES, decode, encode};
use super::fences::Fences;
use super::history::{Change, History, Record};
use super::ledger::{Ledger, Verdict};
use crate::declare::{Configuration, Fault, Order, advance};

/// Longest order identifier, bytes.
const MAX_ORDER_ID_BYTES: usize = 128;

/// Longest actor name, bytes.
const MAX_ACTOR_BYTES: usize = 256;

/// Change to the replicated state.
#[derive(Clone, Debug, From, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Operator order.
    Declare(Order),
    /// Claim or outcome of a non-idempotent request.
    Outcome(pimentotide_outcome::Command),
    /// Decision about expert maps.
    Experts(pimentotide_experts::Command),
    /// Allocation of a fencing token for an order to this upstream.
    Allot(UpstreamName),
}

/// Answer to a command.
#[derive(Clone, Debug, From, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Answer to an operator order.
    Declare(Verdict),
    /// Answer to a claim or outcome.
    Outcome(pimentotide_outcome::Reply),
    /// Answer to a decision about expert maps.
    Experts(pimentotide_experts::Reply),
    /// Fencing token for an order to an upstream.
    Allot(Fence),
    /// The command could not be decoded and changed nothing.
    Unreadable,
}

/// All replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    now: Time,
    configuration: Configuration,
    history: History,
    ledger: Ledger,
    fences: Fences,
    journal: Journal,
    decisions: Decisions,
}

impl Machine {
    /// Applies one committed command.
    pub fn apply(&mut self, at: Time, command: &Command) -> Response {
        self.now = self.now.max(at);
        self.ledger.expire(self.now);
        match command {
            Command::Declare(order) => Response::Declare(self.declare(order)),
            Command::Outcome(command) => Response::Outcome(self.journal.apply(command, self.now)),
            Command::Experts(command) => Response::Experts(self.decisions.apply(command, self.now)),
            Command::Allot(upstream) => Response::Allot(self.fences.allot(upstream)),
        }
    }

    /// Applies one encoded committed command and encodes the response.
    pub fn apply_bytes(&mut self, at: Time, command: &[u8]) -> Vec<u8> {
        let response = match decode::<Command>(command, MAX_COMMAND_BYTES) {
            Ok(command) => self.apply(at, &command),
            Err(_) => Response::Unreadable,
        };
        encode(&response).unwrap_or_default()
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    ///
    /// Fails if the state contains something that the encoding cannot express.
    pub fn snapshot(&self) -> Result<Vec<u8>, CodecError> {
        encode(self)
    }

    /// Replaces the whole state; on failure the state is unchanged.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` are not a snapshot of this encoding version or exceed
    /// `MAX_SNAPSHOT_BYTES`.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), CodecError> {
        *self = decode(bytes, MAX_SNAPSHOT_BYTES)?;
        Ok(())
    }

    /// Declarations in force.
    pub fn declarations(&self) -> &Declarations {
        self.configuration.declarations()
    }

    /// Declarations in force with their digest.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.configuration.revision
    }

    /// Claims and outcomes of non-idempotent requests.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Decided expert maps.
    pub fn decisions(&self) -> &Decisions {
        &self.decisions
    }

    /// Highest log time applied so far.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Accepted orders, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.history.records()
    }

    /// All changes after `revision`; `None` if they are no longer all retained.
    pub fn changes_after(&self, revision: Revision) -> Option<Vec<Change>> {
        self.history.changes_after(revision)
    }

    /// Lowest fencing token that `upstream` may still accept.
    pub fn fence_floor(&self, upstream: &UpstreamName) -> Fence {
        self.fences.floor(upstream)
    }

    fn declare(&mut self, order: &Order) -> Verdict {
        let faults = envelope_faults(order);
        if !faults.is_empty() {
            return Verdict::Invalid { faults };
        }
        let content = order.fingerprint();
        if let Some(verdict) = self.ledger.find(order, content) {
            return verdict;
        }
        let verdict = self.decide(order);
        self.record_verdict(order, content, &verdict);
        verdict
    }

    fn decide(&mut self, order: &Order) -> Verdict {
        let current = self.revision();
        if let Some(base) = order.base.filter(|base| *base != current) {
            return Verdict::Conflict {
                base,
                current,
                winner: self
                    .history
                    .record(Revision(base.0.saturating_add(1)))
                    .cloned(),
            };
        }
        match advance(&self.configuration, &order.action) {
            Ok(next) => {
                let revision = next.revision;
                self.configuration = Configuration::from(next);
                self.history.push(order, revision, self.now);
                Verdict::Accepted { revision }
            }
            Err(faults) => Verdict::Invalid { faults },
        }
    }

    fn record_verdict(&mut self, order: &Order, content: Fingerprint, verdict: &Verdict) {
        self.ledger
            .insert(order.id.clone(), content, verdict.clone(), self.now);
    }
}

/// Checks the identifier and the actor; an order that fails is not stored in the ledger.
fn envelope_faults(order: &Order) -> Vec<Fault> {
    let checks = [
        ("id", &*order.id, MAX_ORDER_ID_BYTES),
        ("actor", order.actor.as_str(), MAX_ACTOR_BYTES),
    ];
    let wrong = checks
        .into_iter()
        .filter(|(_, text, max)| text.is_empty() || text.len() > *max || has_control(text));
    let faults = wrong.map(|(key, text, max)| Fault {
        path: vec![key.to_owned()],
        message: format!(
            "expected 1 to {max} bytes without control characters, found {} bytes",
            text.len()
        ),
    });
    faults.collect()
}

fn has_control(text: &str) -> bool {
    text.chars().any(char::is_control)
}
