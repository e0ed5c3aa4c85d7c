//! Phases of a graceful stop of an entry.
//!
//! Callers use a cached list of entries for a while, so a stopping entry still
//! accepts requests at first. Accepted requests have to end within the grace
//! period; later ones are refused before they run, and callers retry elsewhere.

use std::time::Duration;

/// Time after the signal for which requests are accepted.
///
/// The platform counts it as a fault if a request that arrived more than 3 s after the
/// signal is cut.
const ACCEPT_PERIOD: Duration = Duration::from_millis(2_900);
/// Part of the grace period after which the process exits even with requests in flight.
///
/// Requests in flight may be cut in the last sixth of the grace period.
const EXIT_RATIO: f64 = 0.87;

/// Phase of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// Requests are accepted; callers are directed to other entries.
    Accepting,
    /// New requests are refused; those in flight continue.
    Refusing,
    /// The process may exit; new requests are still refused.
    Ended,
}

/// Returns whether a request is accepted at `elapsed` after the signal.
pub fn accepts_requests(elapsed: Duration, grace: Duration) -> bool {
    elapsed < accept_period(grace)
}

/// Returns the phase at `elapsed` after the signal, with `open` requests in flight.
pub fn stop_phase(elapsed: Duration, open: usize, grace: Duration) -> StopPhase {
    if elapsed >= grace.mul_f64(EXIT_RATIO) {
        return StopPhase::Ended;
    }
    match (accepts_requests(elapsed, grace), open) {
        (true, _) => StopPhase::Accepting,
        (false, 0) => StopPhase::Ended,
        (false, _) => StopPhase::Refusing,
    }
}

fn accept_period(grace: Duration) -> Duration {
    ACCEPT_PERIOD.min(grace / 2)
}
