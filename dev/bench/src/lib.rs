//! Code shared by the benches.

pub mod fleet;
pub mod load;
pub mod measure;
pub mod pair;
pub mod target;
