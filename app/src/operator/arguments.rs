//! Options and words of an operator's command line.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use pimentotide_model::{OrderId, Revision, ZoneName};
use pimentotide_operator::DEFAULT_ADDRESS;
use pimentotide_operator::client::TOTAL_TIMEOUT;
use pimentotide_operator::command::Envelope;
use rand::RngExt;

/// Actor of orders if neither an option nor the environment names one.
const DEFAULT_ACTOR: &str = "operator";

/// Longest time limit, seconds.
const MAX_TIMEOUT_SECONDS: u64 = 3_600;

/// What is wrong with a command line.
#[derive(Debug, Display)]
pub(super) struct UsageError(pub(super) String);

/// Command line of an operator.
#[derive(Debug)]
pub(super) struct Arguments {
    /// Whether help is asked for.
    pub(super) help: bool,
    /// Addresses of replicas.
    pub(super) operators: Vec<String>,
    /// Time after which to give up.
    pub(super) timeout: Duration,
    words: VecDeque<String>,
    json: bool,
    order: Option<String>,
    actor: Option<String>,
    base: Option<Revision>,
    prune: Option<bool>,
    fenced: Option<bool>,
    kind: Option<String>,
    profile: Option<String>,
    address: Option<String>,
}

impl Arguments {
    /// Reads the command line.
    pub(super) fn read(mut parser: lexopt::Parser) -> Result<Self, UsageError> {
        let mut arguments = Self {
            help: false,
            operators: Vec::new(),
            timeout: TOTAL_TIMEOUT,
            words: VecDeque::new(),
            json: false,
            order: None,
            actor: None,
            base: None,
            prune: None,
            fenced: None,
            kind: None,
            profile: None,
            address: None,
        };
        while let Some(argument) = parser.next().map_err(|e| wrong(&e))? {
            match argument {
                Value(word) => arguments
                    .words
                    .push_back(word.string().map_err(|e| wrong(&e))?),
                Short('h') => arguments.help = true,
                Long(name) => {
                    let name = name.to_owned();
                    arguments.option(&name, &mut parser)?;
                }
                other => return Err(wrong(&other.unexpected())),
            }
        }
        if arguments.operators.is_empty() {
            arguments.operators.push(DEFAULT_ADDRESS.to_owned());
        }
        Ok(arguments)
    }

    /// Takes the next word; `what` says what it should be.
    pub(super) fn word(&mut self, what: &str) -> Result<String, UsageError> {
        let word = self.words.pop_front();
        word.ok_or_else(|| UsageError(format!("missing {what}")))
    }

    /// Takes the next word if there is one.
    pub(super) fn optional_word(&mut self) -> Option<String> {
        self.words.pop_front()
    }

    /// Takes the next word as a name.
    pub(super) fn name<N>(&mut self, what: &str) -> Result<N, UsageError>
    where
        N: From<String>,
    {
        let word = self.word(what)?;
        valid_name(what, word)
    }

    /// Takes `--prune`.
    pub(super) fn prune(&mut self) -> bool {
        self.prune.take().unwrap_or(false)
    }

    /// Takes `--fenced`.
    pub(super) fn fenced(&mut self) -> Option<bool> {
        self.fenced.take()
    }

    /// Takes `--kind`.
    pub(super) fn kind(&mut self) -> Option<String> {
        self.kind.take()
    }

    /// Takes `--profile`, which must be given.
    pub(super) fn profile<N>(&mut self) -> Result<N, UsageError>
    where
        N: From<String>,
    {
        let profile = self.profile.take();
        valid_name("--profile", required("--profile", profile)?)
    }

    /// Takes `--address`, which must be given.
    pub(super) fn address(&mut self) -> Result<String, UsageError> {
        let address = required("--address", self.address.take())?;
        valid_address(address)
    }

    /// Checks that nothing is left over.
    pub(super) fn finish(&mut self) -> Result<(), UsageError> {
        if let Some(word) = self.words.pop_front() {
            return Err(UsageError(format!("unexpected {word:?}")));
        }
        let left = [
            ("--prune", self.prune.is_some()),
            ("--fenced", self.fenced.is_some()),
            ("--kind", self.kind.is_some()),
            ("--profile", self.profile.is_some()),
            ("--address", self.address.is_some()),
        ];
        match left.iter().find(|(_, given)| *given) {
            Some((name, _)) => Err(UsageError(format!("{name} does not fit this command"))),
            None => Ok(()),
        }
    }

    /// Builds what surrounds an order.
    pub(super) fn envelope(&self) -> Envelope {
        let actor = self.actor.clone().or_else(|| std::env::var("USER").ok());
        let actor = actor.filter(|a| !a.is_empty());
        let id = self.order.clone().unwrap_or_else(fresh_id);
        Envelope {
            id: OrderId::from(id),
            actor: actor.unwrap_or(DEFAULT_ACTOR.to_owned()),
            base: self.base,
            json: self.json,
        }
    }

    fn option(&mut self, name: &str, parser: &mut lexopt::Parser) -> Result<(), UsageError> {
        match name {
            "help" => self.help = true,
            "json" => self.json = true,
            "prune" => self.prune = Some(true),
            "operator" => self.operators.push(valid_address(text(parser)?)?),
            "order" => self.order = Some(text(parser)?),
            "actor" => self.actor = Some(text(parser)?),
            "base" => self.base = Some(Revision(parsed(name, "a revision", parser)?)),
            "fenced" => self.fenced = Some(parsed(name, "true or false", parser)?),
            "timeout" => {
                let seconds: u64 = parsed(name, "whole seconds", parser)?;
                self.timeout = Duration::from_secs(seconds.min(MAX_TIMEOUT_SECONDS));
            }
            "kind" => self.kind = Some(text(parser)?),
            "profile" => self.profile = Some(text(parser)?),
            "address" => self.address = Some(text(parser)?),
            _ => return Err(UsageError(format!("unknown option --{name}"))),
        }
        Ok(())
    }
}

fn text(parser: &mut lexopt::Parser) -> Result<String, UsageError> {
    let value = parser.value().and_then(|v| v.string());
    value.map_err(|e| wrong(&e))
}

fn parsed<T>(name: &str, expected: &str, parser: &mut lexopt::Parser) -> Result<T, UsageError>
where
    T: FromStr,
{
    let text = text(parser)?;
    let wrong = |_| UsageError(format!("--{name}: expected {expected}, found {text:?}"));
    text.parse().map_err(wrong)
}

fn required(name: &str, value: Option<String>) -> Result<String, UsageError> {
    value.ok_or_else(|| UsageError(format!("missing {name}")))
}

fn valid_name<N>(what: &str, text: String) -> Result<N, UsageError>
where
    N: From<String>,
{
    if ZoneName::is_valid(&text) {
        return Ok(N::from(text));
    }
    let expected = "1 to 128 letters, digits or -_./:";
    Err(UsageError(format!(
        "{what}: expected {expected}, found {text:?}"
    )))
}

fn valid_address(text: String) -> Result<String, UsageError> {
    if text.parse::<SocketAddr>().is_ok() {
        return Ok(text);
    }
    Err(UsageError(format!(
        "expected an address IP:PORT, found {text:?}"
    )))
}

fn wrong(error: &lexopt::Error) -> UsageError {
    UsageError(error.to_string())
}

fn fresh_id() -> String {
    let id: u128 = rand::rng().random();
    format!("{id:032x}")
}
