//! Protocol spoken with upstream engines and plain services.
//!
//! An upstream announces itself to the agent in its slot with an
//! [`EngineState`] posted to [`ANNOUNCE_PATH`], several times a second. The
//! agent passes work on over plain HTTP: completions to model engines, any
//! request to plain services. An engine answers a stream as server-sent events,
//! one token an event, closed by [`STREAM_END`].

mod client;
mod cursor;
mod prefix;
mod sse;
mod state;
mod transport;

pub use client::{EngineAnswer, EngineClient, EngineError, EngineRequest, is_hop_header};
pub use cursor::{CursorError, StreamCursor};
pub use prefix::{BLOCK_BYTES, block_hashes};
pub use sse::{Event, EventError, EventSplitter, MAX_EVENT_BYTES};
pub use state::{CacheChange, CacheEvent, EngineState, LoadedModel};
pub use transport::{WholeStream, whole_connector};

/// Path on the agent to which an upstream posts its state.
pub const ANNOUNCE_PATH: &str = "/announce";

/// Data of the last event of a stream.
pub const STREAM_END: &str = "[DONE]";

/// Header by which a request is known to the engine and in its ledger.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the priority of a request, 0 to 255.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header with the number of tokens of the answer that the caller has already.
pub const RESUME_HEADER: &str = "x-resume-from";
