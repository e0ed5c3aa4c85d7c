//! Processes that tests start, signal and end.
//!
//! Only processes that were started here are signalled, by their ids, and each
//! is killed when its handle is dropped.

mod ports;
mod process;

pub use ports::free_ports;
pub use process::{Process, Usage};
