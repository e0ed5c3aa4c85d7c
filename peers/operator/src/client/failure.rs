//! Errors of the client and their exit codes.

use std::fmt;

use pimentotide_model::ErrorKind;

use crate::message::ProblemBody;

/// Failure of a client request.
#[derive(Debug)]
pub enum ClientError {
    /// The request was refused for a reason that a retry does not change.
    Refused(Box<ProblemBody>),
    /// No replica answered in time; the order may be in force. One line per replica.
    NoAnswer(Vec<String>),
    /// One replica failed to answer; another may succeed.
    Retryable(String),
    /// The request or answer could not be encoded or decoded.
    Malformed(String),
}

/// Exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Success.
    Done,
    /// The request was refused.
    Refused,
    /// Invalid usage or an invalid document.
    Usage,
    /// Another order was accepted first, or the order identifier is already in use.
    Conflict,
    /// No usable answer; the order may be in force.
    NoAnswer,
}

impl Exit {
    /// Returns the process exit code.
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
    /// Returns the exit status of a command that failed with this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::NoAnswer(_) | Self::Retryable(_) | Self::Malformed(_) => Exit::NoAnswer,
            Self::Refused(problem) => match problem.kind {
                ErrorKind::RevisionConflict | ErrorKind::KeyMismatch => Exit::Conflict,
                ErrorKind::InvalidDeclaration | ErrorKind::InvalidRequest => Exit::Usage,
                _ => Exit::Refused,
            },
        }
    }
}

impl From<ProblemBody> for ClientError {
    /// Classifies a problem as final or as retryable on another replica.
    fn from(problem: ProblemBody) -> Self {
        let is_final = matches!(
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
        if is_final {
            Self::Refused(Box::new(problem))
        } else {
            Self::Retryable(problem.detail)
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
            Self::NoAnswer(failures) => {
                f.write_str("no replica answered in time")?;
                failures.iter().try_for_each(|t| write!(f, "\n{t}"))
            }
            Self::Retryable(reason) => write!(f, "the attempt failed: {reason}"),
            Self::Malformed(reason) => write!(f, "malformed request or answer: {reason}"),
        }
    }
}

impl std::error::Error for ClientError {}
