//! Protocol between agents and upstreams: model engines and plain services.
//!
//! An upstream announces itself to the agent in its slot with an
//! [`EngineState`] posted to [`ANNOUNCE_PATH`], several times a second. The
//! agent forwards requests over plain HTTP: completions to model engines, any
//! request to plain services. An engine streams an answer as server-sent events,
//! one token per event, terminated by [`STREAM_END`].

mod client;
mod cursor;
mod prefix;
mod sse;
mod state;
mod transport;

pub use client::{
    EngineAnswer, EngineClient, EngineError, EngineRequest, is_final_status, is_hop_header,
};
pub use cursor::{CursorError, StreamCursor};
pub use prefix::{BLOCK_BYTES, block_hashes};
pub use sse::{Event, EventError, EventSplitter, MAX_EVENT_BYTES};
pub use state::{CacheChange, CacheEvent, EngineState, LoadedModel};
pub use transport::{MAX_ANSWER_BYTES, StrictEofStream, strict_eof_connector};

/// Path on the agent to which an upstream posts its [`EngineState`].
pub const ANNOUNCE_PATH: &str = "/announce";

/// Data of the event that terminates a stream.
pub const STREAM_END: &str = "[DONE]";

/// Header with the request identifier, which the engine also records in its ledger.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the priority of a request, 0 to 255.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header with the number of answer tokens that the caller has already received.
pub const RESUME_HEADER: &str = "x-resume-from";
