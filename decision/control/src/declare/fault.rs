//! What is wrong with declarations that an order would bring into force.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Most faults that one verdict names.
const MAX_FAULTS: usize = 64;

/// One thing that is wrong, and at which key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Keys from the top of the document down to the place.
    pub path: Vec<String>,
    /// What is wrong and what would be right.
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
    more: usize,
}

impl Faults {
    /// Adds a fault at `path`.
    pub(crate) fn add<M>(&mut self, path: &[&str], message: M)
    where
        M: Into<String>,
    {
        if self.found.len() >= MAX_FAULTS {
            self.more += 1;
            return;
        }
        self.found.push(Fault {
            path: path.iter().map(|p| shorten(p)).collect(),
            message: shorten(&message.into()),
        });
    }

    /// Returns all faults; a last one counts those that were left out.
    pub(crate) fn finish(mut self) -> Vec<Fault> {
        if self.more > 0 {
            self.found.push(Fault {
                path: Vec::new(),
                message: format!("{} further faults", self.more),
            });
        }
        self.found
    }
}
