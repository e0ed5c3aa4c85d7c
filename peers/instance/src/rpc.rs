//! Failures as JSON-RPC errors and back.

use jsonrpsee::core::client::Error;
use jsonrpsee::types::ErrorObjectOwned;
use pimentotide_model::{ErrorKind, Failure, Ran};

/// JSON-RPC code of every failure that the system itself reports.
const FAILURE_CODE: i32 = -32_000;

/// Converts a failure into the error of a JSON-RPC answer.
pub fn rpc_error(failure: &Failure) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(FAILURE_CODE, failure.to_string(), Some(failure))
}

/// Converts what a JSON-RPC client reports into a failure.
pub fn failure_of(error: &Error) -> Failure {
    match error {
        Error::Call(object) => failure_in(object),
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

fn failure_in(object: &ErrorObjectOwned) -> Failure {
    let carried = object
        .data()
        .and_then(|d| serde_json::from_str::<Failure>(d.get()).ok());
    carried.unwrap_or_else(|| {
        Failure::new(ErrorKind::Internal, object.message()).with_ran(Ran::Unknown)
    })
}
