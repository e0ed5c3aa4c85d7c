//! Phases of a planned stop of an entry.
//!
//! Callers use the list of entries for a while after it has changed, so an entry
//! goes on taking requests at first. Whatever it takes has to end within its
//! grace: requests that come too late for that are refused, since they have not
//! run, and the caller finds another entry.

use std::time::Duration;

/// Time after the signal for which requests are taken.
///
/// The platform takes it for a fault if a request that came later than 3 s is cut.
const TAKES: Duration = Duration::from_millis(2_900);
/// Part of the grace after which a process ends with requests still under way.
///
/// Requests still at work in the last sixth may be cut.
const LAST: f64 = 0.87;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// Requests are taken; callers are told to go elsewhere.
    Accepting,
    /// New requests are refused; those under way go on.
    Refusing,
    /// The process may end.
    Ended,
}

/// Phase at a time after the signal, with `open` requests under way.
pub fn stop_phase(elapsed: Duration, open: usize, grace: Duration) -> StopPhase {
    if elapsed >= grace.mul_f64(LAST) {
        return StopPhase::Ended;
    }
    match (elapsed < TAKES.min(grace / 2), open) {
        (true, _) => StopPhase::Accepting,
        (false, 0) => StopPhase::Ended,
        (false, _) => StopPhase::Refusing,
    }
}
