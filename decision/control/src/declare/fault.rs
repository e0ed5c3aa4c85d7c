//! Faults of the declarations that an order would put in force.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum number of faults listed in one verdict.
const MAX_FAULTS: usize = 64;

/// One fault and the path of the faulty key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Keys from the top of the document down to the faulty value.
    pub path: Vec<String>,
    /// Description of the fault and of the expected value.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.join("."), self.message)
    }
}

/// Longest message or key in a fault, characters.
const MAX_CHARS: usize = 256;

fn shorten(text: &str) -> String {
    text.chars().take(MAX_CHARS).collect()
}

/// Faults collected in one pass, bounded in number.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    found: Vec<Fault>,
    omitted: usize,
}

impl Faults {
    /// Adds a fault at `path`.
    pub(crate) fn add<M>(&mut self, path: &[&str], message: M)
    where
        M: Into<String>,
    {
        if self.found.len() >= MAX_FAULTS {
            self.omitted += 1;
            return;
        }
        self.found.push(Fault {
            path: path.iter().map(|p| shorten(p)).collect(),
            message: shorten(&message.into()),
        });
    }

    /// Returns the faults; if some were omitted, a last one counts them.
    pub(crate) fn finish(mut self) -> Vec<Fault> {
        if self.omitted > 0 {
            self.found.push(Fault {
                path: Vec::new(),
                message: format!("{} further faults", self.omitted),
            });
        }
        self.found
    }
}
