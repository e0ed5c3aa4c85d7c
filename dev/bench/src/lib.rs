//! Parts that benches share.

pub mod load;
