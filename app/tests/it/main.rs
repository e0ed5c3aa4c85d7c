//! Integration tests of the binary's library.

mod local;
mod operator;
mod options;
mod settings;
