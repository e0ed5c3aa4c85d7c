//! Tests of the replicated declarations, currency leases and the directory.

mod codec;
mod common;
mod directory;
mod document;
mod order;
mod size;
mod watch;
