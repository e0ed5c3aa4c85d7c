//! Options and positional arguments of the operator subcommands.

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

/// Actor of orders if neither `--actor` nor `USER` is set.
const DEFAULT_ACTOR: &str = "operator";

/// Upper limit of `--timeout`.
const MAX_TIMEOUT_SECONDS: u64 = 3_600;

/// Message of a usage error.
#[derive(Debug, Display)]
pub(super) struct UsageError(pub(super) String);

/// Arguments of an operator subcommand; each getter consumes its argument.
#[derive(Debug)]
pub(super) struct Arguments {
    /// Whether help is requested.
    pub(super) help: bool,
    /// Addresses of control replicas.
    pub(super) operators: Vec<String>,
    /// Total time limit of the command.
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
    /// Parses the arguments after the subcommand.
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
        while let Some(argument) = parser.next().map_err(|e| usage_error(&e))? {
            match argument {
                Value(word) => arguments
                    .words
                    .push_back(word.string().map_err(|e| usage_error(&e))?),
                Short('h') => arguments.help = true,
                Long(name) => {
                    let name = name.to_owned();
                    arguments.option(&name, &mut parser)?;
                }
                other => return Err(usage_error(&other.unexpected())),
            }
        }
        if arguments.operators.is_empty() {
            arguments.operators.push(DEFAULT_ADDRESS.to_owned());
        }
        Ok(arguments)
    }

    /// Consumes the next positional argument; `what` describes it in errors.
    pub(super) fn word(&mut self, what: &str) -> Result<String, UsageError> {
        let word = self.words.pop_front();
        word.ok_or_else(|| UsageError(format!("missing {what}")))
    }

    /// Consumes the next positional argument, if there is one.
    pub(super) fn optional_word(&mut self) -> Option<String> {
        self.words.pop_front()
    }

    /// Consumes the next positional argument as a name.
    pub(super) fn name<N>(&mut self, what: &str) -> Result<N, UsageError>
    where
        N: From<String>,
    {
        let word = self.word(what)?;
        valid_name(what, word)
    }

    /// Consumes `--prune`.
    pub(super) fn prune(&mut self) -> bool {
        self.prune.take().unwrap_or(false)
    }

    /// Consumes `--fenced`.
    pub(super) fn fenced(&mut self) -> Option<bool> {
        self.fenced.take()
    }

    /// Consumes `--kind`.
    pub(super) fn kind(&mut self) -> Option<String> {
        self.kind.take()
    }

    /// Consumes `--profile`, which is required.
    pub(super) fn profile<N>(&mut self) -> Result<N, UsageError>
    where
        N: From<String>,
    {
        let profile = self.profile.take();
        valid_name("--profile", required("--profile", profile)?)
    }

    /// Consumes `--address`, which is required.
    pub(super) fn address(&mut self) -> Result<String, UsageError> {
        let address = required("--address", self.address.take())?;
        valid_address(address)
    }

    /// Checks that every argument was consumed.
    pub(super) fn finish(&mut self) -> Result<(), UsageError> {
        if let Some(word) = self.words.pop_front() {
            return Err(UsageError(format!("unexpected {word:?}")));
        }
        let unused = [
            ("--prune", self.prune.is_some()),
            ("--fenced", self.fenced.is_some()),
            ("--kind", self.kind.is_some()),
            ("--profile", self.profile.is_some()),
            ("--address", self.address.is_some()),
        ];
        match unused.iter().find(|(_, given)| *given) {
            Some((name, _)) => Err(UsageError(format!("{name} does not apply to this command"))),
            None => Ok(()),
        }
    }

    /// Builds the envelope of an order; its id is random unless `--order` is given.
    pub(super) fn envelope(&self) -> Envelope {
        let actor = self.actor.clone().or_else(|| std::env::var("USER").ok());
        let actor = actor.filter(|a| !a.is_empty());
        let id = self.order.clone().unwrap_or_else(random_order_id);
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
    value.map_err(|e| usage_error(&e))
}

fn parsed<T>(name: &str, expected: &str, parser: &mut lexopt::Parser) -> Result<T, UsageError>
where
    T: FromStr,
{
    let text = text(parser)?;
    let invalid = |_| UsageError(format!("--{name}: expected {expected}, found {text:?}"));
    text.parse().map_err(invalid)
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

fn usage_error(error: &lexopt::Error) -> UsageError {
    UsageError(error.to_string())
}

fn random_order_id() -> String {
    let id: u128 = rand::rng().random();
    format!("{id:032x}")
}
