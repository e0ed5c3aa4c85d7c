//! HTTP interface for callers.
//!
//! The interface is compatible with common completion servers, so that existing
//! clients work; every refusal and failure is a problem document. A request is
//! parsed into a [`Call`] and passed to a [`Service`], which decides where it
//! runs; this package is independent of the choice of upstreams.

mod body;
mod call;
mod headers;
mod parse;
mod problem;
mod routes;
mod server;

pub use body::close_after;
pub use call::{Answer, AnswerBody, Call, EntryAdvice, Health, PieceStream, Service};
pub use headers::{
    ADAPTER_HEADER, DEADLINE_HEADER, KEY_HEADER, PRIORITY_HEADER, REQUEST_HEADER, SERVICE_HEADER,
    VERSION_HEADER, WORKSPACE_HEADER,
};
pub use problem::{error_event, problem};
pub use server::{CallerError, CallerOptions, CallerServer};
