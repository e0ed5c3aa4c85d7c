//! Structured logs and metrics.
//!
//! Logs are JSON lines on standard error, one object a line, written through
//! `log` and `flexi_logger`. Metrics go to a StatsD address through `cadence`,
//! or nowhere when none is set.

mod logs;
mod metrics;

pub use logs::{LogError, Logs, event};
pub use metrics::{Metrics, MetricsError};
