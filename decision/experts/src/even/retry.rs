//! When an order without an answer is sent again.
//!
//! Engines answer an order at once or not at all, and orders are idempotent, so it
//! pays to ask again early: a pass may be held meanwhile. Later attempts wait
//! longer, because an agent short of CPU time reads an answer late.

use std::future::Future;
use std::time::Duration;

/// Waits for the answer to each attempt of an agent at its own engine.
pub const LOCAL_ORDER_TIMEOUTS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(30),
    Duration::from_millis(50),
    Duration::from_millis(80),
];
/// The same at the engine of another instance.
pub const DIRECT_ORDER_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(30),
    Duration::from_millis(50),
    Duration::from_millis(70),
];

/// Makes one attempt for each timeout until one succeeds; returns the last result.
///
/// # Errors
///
/// Fails with the error of the last attempt.
pub async fn ask_again<A, F, T, E>(timeouts: &[Duration], mut attempt: A) -> Result<T, E>
where
    A: FnMut(Duration) -> F,
    F: Future<Output = Result<T, E>>,
{
    let (last, earlier) = timeouts.split_last().unwrap_or((&Duration::ZERO, &[]));
    for timeout in earlier {
        let result = attempt(*timeout).await;
        if result.is_ok() {
            return result;
        }
    }
    attempt(*last).await
}
