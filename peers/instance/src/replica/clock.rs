//! The clocks of this process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pimentotide_consensus::Moment;
use pimentotide_model::Time;

/// Monotonic time since the start of the replica, beside the time of day.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
}

impl Clock {
    pub(super) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(super) fn moment(&self) -> Moment {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Moment {
            now: Time::ZERO + self.start.elapsed(),
            wall: Time::ZERO + wall,
        }
    }
}
