//! Structured logs and metrics.
//!
//! Logs are JSON lines on standard output, one object a line, written through
//! `log` and `flexi_logger`. Metrics go through `cadence` to a StatsD address, or
//! are added up for scrapers, or go nowhere.

mod exposition;
mod logs;
mod metrics;

pub use exposition::Exposition;
pub use logs::{LogError, Logs, event};
pub use metrics::{Metrics, MetricsError};
