//! Tests of logs and metrics.

mod exposition;
