//! HTTP interface for callers.
//!
//! The interface has the customary shape of completion servers, so that
//! existing clients work, with problem documents for every refusal and failure.
//! What is asked is parsed into a [`Call`] and handed to a [`Service`], which
//! decides where it runs; nothing here knows about upstreams.

mod body;
mod call;
mod headers;
mod parse;
mod problem;
mod routes;
mod server;

pub use call::{Answer, AnswerBody, Call, EntryAdvice, Health, PieceStream, Service};
pub use headers::{
    ADAPTER_HEADER, DEADLINE_HEADER, KEY_HEADER, PRIORITY_HEADER, REQUEST_HEADER, SERVICE_HEADER,
    VERSION_HEADER, WORKSPACE_HEADER,
};
pub use problem::{error_event, problem};
pub use server::{CallerError, CallerOptions, CallerServer};
