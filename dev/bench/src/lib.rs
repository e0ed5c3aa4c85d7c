//! Parts that benches share.

pub mod fleet;
pub mod load;
pub mod measure;
pub mod pair;
pub mod target;
