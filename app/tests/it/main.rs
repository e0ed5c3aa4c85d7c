//! Integration tests of the binary's library.

mod options;
mod settings;
