//! Integration tests of the operators' interface over loopback.

mod command;
mod common;
mod hostile;
mod server;
