//! Integration tests of the protocol between processes.

mod link;
