//! Protocol between agents and the platform: engine ranks and the weights store.
//!
//! A rank accepts a [`RankRequest`] posted to [`rank_path`] and answers with its
//! [`RankState`] once it has executed the order; an order to run a step is
//! answered once all ranks have finished the step. Each order carries a fencing
//! token: a rank rejects a token below the highest that it has received with
//! status 409, or ignores tokens. The agent is the only sender and sends the
//! highest token that it has received itself.
//!
//! The weights store and every agent serve the weights of one expert at
//! [`WeightsKey::path`]. The header [`RATE_HEADER`] carries the rate leased by
//! the reader, in bytes per second; the store answers 429 beyond its own rate.

mod error;
mod rank;
mod weights;

pub use error::PlatformError;
pub use rank::{RankClient, RankOrder, RankRequest, RankState, rank_path};
pub use weights::{RATE_HEADER, WeightsClient, WeightsKey};
