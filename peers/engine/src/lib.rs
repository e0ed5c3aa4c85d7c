//! Protocol spoken with the platform: ranks of engines and the weights store.
//!
//! A rank takes a [`RankRequest`] posted to [`rank_path`] and answers with its
//! [`RankState`] once the order is carried out: an order to run a step is
//! answered when all ranks have finished the step. An order carries a fencing
//! number; a rank may refuse a lower one than the highest that it has seen with
//! status 409, or ignore the number. The agent is the only sender, and passes
//! on the highest number that it knows itself.
//!
//! The weights store and every agent serve the weights of one expert under
//! [`WeightsKey::path`]. The header [`RATE_HEADER`] names the rate, in bytes a
//! second, that the reader has leased; the store answers 429 beyond its own.

mod error;
mod rank;
mod weights;

pub use error::PlatformError;
pub use rank::{RankClient, RankOrder, RankRequest, RankState, rank_path};
pub use weights::{RATE_HEADER, WeightsClient, WeightsKey};
