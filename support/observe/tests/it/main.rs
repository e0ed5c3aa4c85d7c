//! Tests of logs and metrics.

mod exposition;
mod queue;
