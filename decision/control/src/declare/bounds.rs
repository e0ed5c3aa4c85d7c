//! Bounds of the declared values, with their units.

use std::ops::RangeInclusive;

/// Maximum number of profiles in force.
pub const MAX_PROFILES: usize = 1_000;
/// Maximum number of services in force.
pub const MAX_SERVICES: usize = 1_000;
/// Maximum number of workspaces in force.
pub const MAX_WORKSPACES: usize = 10_000;
/// Maximum number of zones that declarations name.
pub const MAX_ZONES: usize = 256;
/// Maximum number of upstreams that declarations name.
pub const MAX_UPSTREAMS: usize = 10_000;
/// Maximum number of groups whose rebalancing is paused by name.
pub const MAX_PAUSED: usize = 10_000;
/// Maximum number of elements of a list inside a profile or a workspace.
pub const MAX_LIST: usize = 256;
/// Longest time from arrival to deadline, milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Requests queued in one entry.
pub const QUEUE_BOUND: RangeInclusive<u64> = 0..=100_000;
/// Longest wait in the queue, milliseconds.
pub const QUEUE_WAIT_MS: RangeInclusive<u64> = 0..=600_000;
/// Concurrent requests on one upstream.
pub const CONCURRENCY: RangeInclusive<u64> = 1..=100_000;
/// Attempts of a request, the first included.
pub const RETRY_ATTEMPTS: RangeInclusive<u64> = 1..=10;
/// Retries allowed per successful request.
pub const RETRY_BUDGET: RangeInclusive<f64> = 0.0..=1.0;
/// Backoff before the first retry, milliseconds.
pub const RETRY_BACKOFF_MS: RangeInclusive<u64> = 0..=10_000;
/// Weight of a workspace in the queue.
pub const SHARE: RangeInclusive<u64> = 1..=10_000;
/// Concurrent requests allowed right after a start.
pub const SLOW_START_INITIAL: RangeInclusive<u64> = 1..=10_000;
/// Completed requests that raise the allowance by one.
pub const SLOW_START_COMPLETIONS: RangeInclusive<u64> = 1..=10_000;
/// Shortest time from a start to full allowance, milliseconds.
pub const SLOW_START_LEAST_MS: RangeInclusive<u64> = 0..=3_600_000;
/// Weights transferred per hour, bytes.
pub const REBALANCE_HOURLY_BYTES: RangeInclusive<u64> = 0..=1 << 50;
/// Staging memory on a rank, bytes.
pub const REBALANCE_STAGING_BYTES: RangeInclusive<u64> = 0..=1 << 44;
/// Time within which the gain of a move has to exceed its cost, milliseconds.
pub const REBALANCE_HORIZON_MS: RangeInclusive<u64> = 1_000..=86_400_000;
