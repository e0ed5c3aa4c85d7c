//! Command line of the rig.

use std::path::PathBuf;

use derive_more::{Display, From};
use lexopt::{Arg, Parser, ValueExt};

use crate::fault::Fault;

pub(crate) const USAGE: &str = "\
Run a whole deployment as separate processes, offer load and inject one fault.

Usage: pimentotide-rig [OPTION]...

Options:
      --deployment NAME  ashanti or bondline [ashanti]
      --fault NAME       none, zone-out, zone-kill, entry-kill, agent-kill, leader-kill,
                         engine-restart, engine-stall, entry-stop, entry-pause, control-kill [none]
      --rate N           Requests offered per second [120]
      --seed N           Seed of the load [1]
      --binary PATH      Binary under test; may be repeated to run and report several
                         [target/release/pimentotide]
      --json PATH        Write the reports to a JSON file
  -h, --help             Show this help";

/// Parsed command line.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Layout of the deployment.
    pub(crate) deployment: Layout,
    /// Fault to inject.
    pub(crate) fault: Fault,
    /// Offered load, in requests per second.
    pub(crate) rate: u32,
    /// Seed of the load.
    pub(crate) seed: u64,
    /// Binaries under test, run one after another.
    pub(crate) binaries: Vec<PathBuf>,
    /// JSON file for the reports; `None` writes none.
    pub(crate) json: Option<PathBuf>,
}

/// Deployment of one of the users.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Layout {
    /// Three zones in southern Ghana.
    #[display("ashanti")]
    Ashanti,
    /// Three zones in eastern Georgia.
    #[display("bondline")]
    Bondline,
}

/// Error of the command line.
#[derive(Debug, Display, From)]
pub(crate) enum UsageError {
    /// An option is unknown or its value is invalid.
    #[display("{_0}")]
    Option(lexopt::Error),
    /// The name of a deployment or a fault is unknown.
    #[display("unknown {_0}: {_1:?}")]
    Unknown(&'static str, String),
}

/// Parses the command line; `None` if it requests help.
pub(crate) fn parse(mut parser: Parser) -> Result<Option<Options>, UsageError> {
    let mut options = Options {
        deployment: Layout::Ashanti,
        fault: Fault::None,
        rate: 120,
        seed: 1,
        binaries: Vec::new(),
        json: None,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("deployment") => options.deployment = layout(&parser.value()?.string()?)?,
            Arg::Long("fault") => options.fault = fault(&parser.value()?.string()?)?,
            Arg::Long("rate") => options.rate = parser.value()?.parse()?,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("binary") => options.binaries.push(parser.value()?.into()),
            Arg::Long("json") => options.json = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    if options.binaries.is_empty() {
        options
            .binaries
            .push(PathBuf::from("target/release/pimentotide"));
    }
    Ok(Some(options))
}

fn layout(name: &str) -> Result<Layout, UsageError> {
    [Layout::Ashanti, Layout::Bondline]
        .into_iter()
        .find(|l| l.to_string() == name)
        .ok_or_else(|| UsageError::Unknown("deployment", name.to_owned()))
}

fn fault(name: &str) -> Result<Fault, UsageError> {
    let found = Fault::ALL.iter().find(|f| f.to_string() == name);
    found
        .copied()
        .ok_or_else(|| UsageError::Unknown("fault", name.to_owned()))
}
