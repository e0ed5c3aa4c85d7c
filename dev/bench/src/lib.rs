//! Parts that benches share.

pub mod fleet;
pub mod load;
