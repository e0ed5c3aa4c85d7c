//! Reading of the clocks that the log uses.

use std::time::{SystemTime, UNIX_EPOCH};

use pimentotide_consensus::Moment;
use pimentotide_model::Time;

use crate::Clock;

/// Reads the monotonic clock and the wall clock together.
pub(super) fn moment(clock: Clock) -> Moment {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Moment {
        now: clock.now(),
        wall: Time::ZERO + wall,
    }
}
