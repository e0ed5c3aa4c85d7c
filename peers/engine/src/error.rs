//! Errors of requests to the platform.

use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::StatusCode;
use derive_more::Display;
use pimentotide_model::{ErrorKind, Failure, Ran};

/// Failure of a request to the platform.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlatformError {
    /// The connection could not be established, so the request was not received.
    #[display("no connection to the platform: {_0}")]
    Unreachable(String),
    /// The connection failed after the request may have been received.
    #[display("no complete answer from the platform: {_0}")]
    Broken(String),
    /// The order carries an outdated fencing token.
    #[display("the platform rejected an outdated fencing token")]
    Fenced,
    /// The leased rate of all readers would exceed that of the store.
    #[display("the weights store is at its rate limit")]
    Busy,
    /// The platform answered with another HTTP status.
    #[display("the platform answered with status {_0}")]
    Status(u16),
    /// The body of the answer could not be decoded.
    #[display("malformed answer from the platform: {_0}")]
    Malformed(String),
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    pub(crate) fn from_status(status: StatusCode) -> Self {
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
            // Also reported if the connection closes after the request was sent.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Self::Broken("the connection closed without an answer".to_owned())
            }
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
