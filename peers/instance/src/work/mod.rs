//! Protocol by which entries send work to agents and receive the answers.
//!
//! An entry posts one encoded [`WorkOrder`] to [`WORK_PATH`]. The agent answers
//! with a sequence of [`Frame`]s, each sent as soon as the upstream produced it.
//! Every complete answer ends with [`Frame::End`]; a sequence that stops without
//! it counts as a failure.
//!
//! Connections are reused. Each request carries a number in [`EXCHANGE_HEADER`] that its answer
//! repeats.

mod client;
mod demand;
mod frame;
mod order;

pub use client::{FrameStream, WorkClient, WorkError};
pub use demand::{BlockEvent, DemandAnswer, DemandOrder, UpdateRequest, UpstreamUpdate};
pub use frame::{Frame, FrameDecoder, FrameError, MAX_FRAME_BYTES};
pub use order::{HeldClaim, MAX_ORDER_BYTES, OrderError, WorkOrder};

/// Header with a number that an agent repeats in its answer, so that a late copy of an earlier answer
/// is not taken for it.
pub const EXCHANGE_HEADER: &str = "pimentotide-exchange";

/// Path to which entries post work.
pub const WORK_PATH: &str = "/work";

/// Path to which entries post the id of a request to cancel.
pub const CANCEL_PATH: &str = "/cancel";

/// Path to which entries post their demand; answered when credits are granted.
pub const DEMAND_PATH: &str = "/demand";

/// Path to which entries post requests for load and cache events.
pub const UPDATE_PATH: &str = "/news";

/// Path to which entries post inquiries about claims.
pub const INQUIRY_PATH: &str = "/inquiry";
