//! Integration tests of the protocol between processes.

mod directory;
mod link;
