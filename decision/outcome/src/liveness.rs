//! Distinguishes the crash of an upstream from the failure of one request.
//!
//! A request that breaks may have lost only its connection. A newer incarnation
//! in a later announcement proves a crash, and missing announcements count as
//! one. A single further announcement of the same incarnation proves nothing, as
//! it may have been sent before the break. The second one was sent after it,
//! because an upstream waits for the reply to each announcement before the next.

use pimentotide_model::Incarnation;

/// Announcements of the same incarnation after a break that rule out a crash.
const MIN_ANNOUNCEMENTS: u64 = 2;

/// Announcements received from an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Liveness {
    /// Incarnation in the last announcement.
    pub incarnation: Incarnation,
    /// Number of announcements received.
    pub count: u64,
}

impl Liveness {
    /// Records one announcement.
    pub fn record_announcement(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.count += 1;
    }

    /// Returns whether `incarnation` has crashed, or `None` while undecided.
    ///
    /// `at_break` is the state at the time when the request broke.
    pub fn has_crashed(self, at_break: Self, incarnation: Incarnation) -> Option<bool> {
        if self.incarnation > incarnation {
            Some(true)
        } else if self.count >= at_break.count + MIN_ANNOUNCEMENTS {
            Some(false)
        } else {
            None
        }
    }
}
