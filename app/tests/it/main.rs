//! Integration tests of the binary's library.

mod operator;
mod options;
mod settings;
