//! What can go wrong between an agent and the platform.

use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use derive_more::Display;
use pimentotide_model::{ErrorKind, Failure, Ran};

/// Why the platform did not do what was asked.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection: nothing was seen of the request.
    #[display("no connection to the platform: {_0}")]
    Unreachable(String),
    /// The connection failed once the request may have been seen.
    #[display("the platform broke off: {_0}")]
    Broken(String),
    /// The order carries an old fencing number.
    #[display("the platform refused an old fencing number")]
    Fenced,
    /// The store serves no more at present.
    #[display("the weights store serves no more at present")]
    Busy,
    /// The platform gave another answer.
    #[display("the platform answered {_0}")]
    Status(u16),
    /// The body of the answer is not what the protocol says.
    #[display("malformed answer of the platform: {_0}")]
    Malformed(String),
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    pub(crate) fn of_status(status: StatusCode) -> Self {
        match status {
            StatusCode::CONFLICT => Self::Fenced,
            StatusCode::TOO_MANY_REQUESTS => Self::Busy,
            other => Self::Status(other.as_u16()),
        }
    }
}

impl From<SendRequestError> for PlatformError {
    fn from(error: SendRequestError) -> Self {
        match error {
            SendRequestError::Connect(e) => Self::Unreachable(e.to_string()),
            other => Self::Broken(other.to_string()),
        }
    }
}

impl From<PayloadError> for PlatformError {
    fn from(error: PayloadError) -> Self {
        Self::Broken(error.to_string())
    }
}

impl From<PlatformError> for Failure {
    fn from(error: PlatformError) -> Self {
        let detail = error.to_string();
        match error {
            PlatformError::Unreachable(_) => {
                Self::new(ErrorKind::UpstreamFailed, detail).with_ran(Ran::No)
            }
            PlatformError::Fenced => Self::new(ErrorKind::Fenced, detail),
            PlatformError::Busy => Self::new(ErrorKind::Overloaded, detail),
            _ => Self::new(ErrorKind::UpstreamFailed, detail),
        }
    }
}
