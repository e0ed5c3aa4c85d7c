//! Tests of the replicated declarations, currency leases and the directory.

mod codec;
mod common;
mod directory;
mod document;
mod hostile;
mod order;
mod shared;
mod size;
mod watch;
