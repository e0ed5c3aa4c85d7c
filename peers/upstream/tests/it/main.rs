//! Integration tests of the protocol with upstreams.

mod broken;
mod events;
