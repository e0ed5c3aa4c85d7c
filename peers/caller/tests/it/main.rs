//! Integration tests of the interface for callers.

mod bodies;
