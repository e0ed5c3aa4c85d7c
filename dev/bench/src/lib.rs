//! Benchmarks of the decision packages and of the whole path.

pub mod fleet;
