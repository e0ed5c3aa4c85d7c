//! When a coordinator asks for the agents of a group that has just been formed.
//!
//! Until it knows all of them, the group keeps the map that it was formed with, which fits no demand.
//! The ranks notice the new group within one poll of their engines, so the list is complete soon; one
//! that stays incomplete for long lacks an agent that has failed, and is not worth many messages.

use std::time::Duration;

/// Shortest time between two requests for the list.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the time since the group was formed after which an incomplete list is requested again.
const INTERVAL_RATIO: f64 = 0.25;

/// Returns the time until an incomplete list is requested again, `since` its group was formed.
///
/// `usual` is the time between requests for a complete one.
pub fn list_interval(since: Duration, usual: Duration) -> Duration {
    let interval = since.mul_f64(INTERVAL_RATIO).max(MIN_INTERVAL);
    interval.min(usual)
}
