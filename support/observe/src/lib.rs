//! Structured logs and metrics.
//!
//! Logs are JSON objects on standard output, one per line. They pass through
//! `log` and `flexi_logger` into a bounded queue that a dedicated thread writes
//! out. Metrics are recorded through `cadence` and sent to a StatsD address,
//! aggregated for scrapers or discarded.

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
