//! Child processes of tests.
//!
//! Signals are sent only to processes started by this package, by process id,
//! and each process is killed when its handle is dropped.

mod ports;
mod process;

pub use ports::free_ports;
pub use process::{Process, Usage};
