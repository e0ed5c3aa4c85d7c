//! How a request of the client can fail, and what that is to a script.

use std::fmt;

use pimentotide_model::ErrorKind;

use crate::message::ProblemBody;

/// Why the client has no answer to give.
#[derive(Debug)]
pub enum ClientError {
    /// A replica refused.
    Refused(Box<ProblemBody>),
    /// No replica answered in time; the order may be in force.
    NoAnswer(Vec<String>),
    /// One replica could not answer; another may.
    Lost(String),
    /// Something that is not of this protocol.
    Malformed(String),
}

/// What a command ends with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// Refused.
    Refused,
    /// Wrong usage or a wrong document.
    Usage,
    /// Another order came first, or the order identifier was used before.
    Conflict,
    /// No answer; the order may be in force.
    NoAnswer,
}

impl Exit {
    /// Exit code for scripts.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::NoAnswer => 4,
        }
    }
}

impl ClientError {
    /// What a command ends with after this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::NoAnswer(_) | Self::Lost(_) | Self::Malformed(_) => Exit::NoAnswer,
            Self::Refused(problem) => match problem.kind {
                ErrorKind::RevisionConflict | ErrorKind::KeyMismatch => Exit::Conflict,
                ErrorKind::InvalidDeclaration | ErrorKind::InvalidRequest => Exit::Usage,
                _ => Exit::Refused,
            },
        }
    }
}

impl From<ProblemBody> for ClientError {
    /// Tells a refusal for good from an answer that another replica may not give.
    fn from(problem: ProblemBody) -> Self {
        let last = matches!(
            problem.kind,
            ErrorKind::InvalidRequest
                | ErrorKind::Forbidden
                | ErrorKind::NotFound
                | ErrorKind::MethodNotAllowed
                | ErrorKind::BodyTooLarge
                | ErrorKind::RevisionConflict
                | ErrorKind::KeyMismatch
                | ErrorKind::InvalidDeclaration
        );
        if last {
            Self::Refused(Box::new(problem))
        } else {
            Self::Lost(problem.detail)
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(problem) => {
                write!(f, "{}: {}", problem.title, problem.detail)?;
                for line in &problem.problems {
                    let problem = pimentotide_document::Problem::from(line.clone());
                    write!(f, "\n{problem}")?;
                }
                Ok(())
            }
            Self::NoAnswer(tried) => {
                f.write_str("no replica answered in time")?;
                tried.iter().try_for_each(|t| write!(f, "\n{t}"))
            }
            Self::Lost(why) => write!(f, "the answer was lost: {why}"),
            Self::Malformed(why) => write!(f, "the answer is not understood: {why}"),
        }
    }
}

impl std::error::Error for ClientError {}
