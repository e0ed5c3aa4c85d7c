//! Parser of the command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use derive_more::{Display, From};
use lexopt::{Arg, Parser, ValueExt};

use super::help;
use crate::explain::ExplainOptions;
use crate::operator;

/// Parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Show a help text.
    Help(&'static str),
    /// Show the version.
    Version,
    /// Check a settings file.
    Check(PathBuf),
    /// Run the roles configured in a settings file.
    Run(PathBuf),
    /// Run the role of a settings file in a deployment whose upstreams announce themselves.
    Serve(PathBuf),
    /// Run a small but complete deployment in this process.
    Local(LocalOptions),
    /// Explain the outcome of one request from log lines.
    Explain(ExplainOptions),
    /// Run the operator subcommand of this name with the remaining arguments.
    Operate(String, Vec<OsString>),
}

/// Options of `local`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalOptions {
    /// Listener of the first entry.
    pub caller: SocketAddr,
    /// Listener for operators.
    pub operator: SocketAddr,
    /// Data folder of the control replica; a temporary folder if `None`.
    pub data: Option<PathBuf>,
    /// Log levels, as in `info, actix_server=warn`.
    pub log: String,
}

impl Default for LocalOptions {
    fn default() -> Self {
        Self {
            caller: SocketAddr::from(([127, 0, 0, 1], 8080)),
            operator: SocketAddr::from(([127, 0, 0, 1], 8081)),
            data: None,
            log: crate::settings::DEFAULT_LOG.to_owned(),
        }
    }
}

/// Reason why a command line is rejected.
#[derive(Debug, Display, From)]
pub enum UsageError {
    /// An option is unknown or its value is invalid.
    #[display("{_0}")]
    Option(lexopt::Error),
    /// No command is given.
    #[display("expected a command")]
    NoCommand,
    /// The command is unknown.
    #[display("unknown command {_0:?}")]
    #[from(ignore)]
    UnknownCommand(String),
    /// The request id is missing.
    #[display("expected a request id")]
    NoRequest,
    /// The path of the settings file is missing.
    #[display("expected the path of a settings file")]
    NoFile,
}

impl std::error::Error for UsageError {}

/// Parses a command line.
///
/// # Errors
///
/// Fails at the first unexpected argument, invalid value or missing argument.
pub fn parse(mut parser: Parser) -> Result<Command, UsageError> {
    match parser.next()? {
        None => Err(UsageError::NoCommand),
        Some(Arg::Short('h') | Arg::Long("help")) => Ok(Command::Help(help::USAGE)),
        Some(Arg::Short('V') | Arg::Long("version")) => Ok(Command::Version),
        Some(Arg::Value(word)) => command(&word.string()?, &mut parser),
        Some(other) => Err(other.unexpected().into()),
    }
}

fn command(word: &str, parser: &mut Parser) -> Result<Command, UsageError> {
    match word {
        "local" => local(parser),
        "run" => file(parser, help::RUN, Command::Run),
        "serve" => file(parser, help::SERVE, Command::Serve),
        "explain" => explain(parser),
        "check" => file(parser, help::CHECK, Command::Check),
        name if operator::SUBCOMMANDS.contains(&name) => Ok(Command::Operate(
            name.to_owned(),
            parser.raw_args()?.collect(),
        )),
        "help" => Ok(Command::Help(help::USAGE)),
        other => Err(UsageError::UnknownCommand(other.to_owned())),
    }
}

fn local(parser: &mut Parser) -> Result<Command, UsageError> {
    let mut options = LocalOptions::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help(help::LOCAL)),
            Arg::Long("caller") => options.caller = parser.value()?.parse()?,
            Arg::Long("operator") => options.operator = parser.value()?.parse()?,
            Arg::Long("data") => options.data = Some(parser.value()?.into()),
            Arg::Long("log") => options.log = parser.value()?.string()?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Local(options))
}

fn explain(parser: &mut Parser) -> Result<Command, UsageError> {
    let mut options = ExplainOptions::default();
    let mut request = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help(help::EXPLAIN)),
            Arg::Long("around") => {
                options.around = Duration::from_millis(parser.value()?.parse()?);
            }
            Arg::Value(value) if request.is_none() => request = Some(value.string()?),
            Arg::Value(value) => options.files.push(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    options.request = request.ok_or(UsageError::NoRequest)?;
    Ok(Command::Explain(options))
}

fn file<F>(parser: &mut Parser, help: &'static str, build: F) -> Result<Command, UsageError>
where
    F: FnOnce(PathBuf) -> Command,
{
    let mut path = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help(help)),
            Arg::Value(value) if path.is_none() => path = Some(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    path.map(build).ok_or(UsageError::NoFile)
}
