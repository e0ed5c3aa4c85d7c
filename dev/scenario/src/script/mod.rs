//! Script language: one statement per line, validated as a whole before the run.

mod expect;
mod parse;
mod statement;
mod words;

use derive_more::Display;

pub(crate) use statement::{
    DiskFault, Expect, Guard, Link, OrderSpec, RequestSpec, ServiceSpec, Statement, UpstreamSpec,
};

/// Error in one line of a script.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{line}: {message}")]
pub struct ScriptError {
    /// Line number, from 1.
    pub line: usize,
    /// Description of the error, without the line number.
    pub message: String,
}

impl std::error::Error for ScriptError {}

/// A statement with its line number and source text.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) line: usize,
    pub(crate) text: String,
    pub(crate) statement: Statement,
}

/// A parsed and validated script.
#[derive(Clone, Debug)]
pub struct Script {
    pub(crate) seed: u64,
    pub(crate) steps: Vec<Step>,
}

impl Script {
    /// Parses and validates a script.
    ///
    /// # Errors
    ///
    /// Returns one error for each invalid line.
    pub fn parse(text: &str) -> Result<Self, Vec<ScriptError>> {
        parse::script(text)
    }

    /// Returns the same script with another seed.
    #[must_use]
    pub fn with_seed(&self, seed: u64) -> Self {
        Self {
            seed,
            ..self.clone()
        }
    }
}
