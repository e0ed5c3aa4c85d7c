//! Integration tests of the protocol between processes.

mod broken;
mod directory;
mod link;
mod replica;
mod work;
