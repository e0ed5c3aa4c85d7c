//! Problems found in a document.

use std::fmt;

use derive_more::{Deref, IntoIterator};

/// Problem of a document, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the key, as in `queue.bound` or `services[2].name`.
    pub path: String,
    /// Line in the document, from 1, if known.
    pub line: Option<usize>,
    /// Fault and expected value.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// All problems of a document, in the order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deref, IntoIterator)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Creates a list with a single problem.
    pub fn one<P, M>(path: P, line: Option<usize>, message: M) -> Self
    where
        P: Into<String>,
        M: Into<String>,
    {
        Self(vec![Problem {
            path: path.into(),
            line,
            message: message.into(),
        }])
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
