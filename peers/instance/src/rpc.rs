//! Conversion between failures and JSON-RPC errors.

use jsonrpsee::core::client::Error;
use jsonrpsee::types::ErrorObjectOwned;
use pimentotide_model::{ErrorKind, Failure, Ran};

/// JSON-RPC error code of every [`Failure`].
const FAILURE_CODE: i32 = -32_000;

/// Converts a failure into the error of a JSON-RPC answer.
pub fn rpc_error(failure: &Failure) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(FAILURE_CODE, failure.to_string(), Some(failure))
}

/// Converts an error of a JSON-RPC client into a failure.
pub fn failure_of(error: &Error) -> Failure {
    match error {
        Error::Call(object) => decode_failure(object),
        Error::RequestTimeout => Failure::new(
            ErrorKind::DeadlineExceeded,
            "no answer from the peer in time",
        ),
        Error::ParseError(e) => Failure::new(
            ErrorKind::OutcomeUnknown,
            format!("the peer's answer is malformed: {e}"),
        ),
        other => Failure::new(
            ErrorKind::OutcomeUnknown,
            format!("the connection to the peer broke: {other}"),
        ),
    }
}

fn decode_failure(object: &ErrorObjectOwned) -> Failure {
    let decoded = object
        .data()
        .and_then(|d| serde_json::from_str::<Failure>(d.get()).ok());
    decoded.unwrap_or_else(|| {
        Failure::new(ErrorKind::Internal, object.message()).with_ran(Ran::Unknown)
    })
}
