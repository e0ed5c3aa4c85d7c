//! Integration tests of the binary's library.

mod fleet;
mod fleet_settings;
mod local;
mod operator;
mod options;
mod settings;
