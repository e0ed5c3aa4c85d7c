//! The language: one statement a line, checked before anything runs.

mod expect;
mod parse;
mod statement;
mod words;

use derive_more::Display;

pub(crate) use statement::{
    DiskFault, Expect, Guard, Link, OrderText, RequestText, ServiceText, Statement, UpstreamText,
};

/// What is wrong with a script, and where.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{line}: {message}")]
pub struct ScriptError {
    /// Line, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl std::error::Error for ScriptError {}

/// A statement and where it stands.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) line: usize,
    pub(crate) text: String,
    pub(crate) statement: Statement,
}

/// A script that may run.
#[derive(Clone, Debug)]
pub struct Script {
    pub(crate) seed: u64,
    pub(crate) steps: Vec<Step>,
}

impl Script {
    /// Reads a script.
    ///
    /// # Errors
    ///
    /// Returns every line that is wrong.
    pub fn parse(text: &str) -> Result<Self, Vec<ScriptError>> {
        parse::script(text)
    }

    /// Returns the same story under another seed.
    #[must_use]
    pub fn with_seed(&self, seed: u64) -> Self {
        Self {
            seed,
            ..self.clone()
        }
    }
}
