//! Structured logs and metrics.
//!
//! Logs are JSON lines on standard output, one object a line, written through
//! `log` and `flexi_logger` by a thread of their own, from a bounded queue.
//! Metrics go through `cadence` to a StatsD address, or are added up for
//! scrapers, or go nowhere.

mod exposition;
mod line;
mod logs;
mod metrics;
mod process;
mod queue;

pub use exposition::Exposition;
pub use line::{Line, event};
pub use logs::{DropCounter, LogError, Logs};
pub use metrics::{Metrics, MetricsError};
pub use process::{memory_bytes, open_descriptors};
pub use queue::{Dropped, LineQueue, split_lines};
