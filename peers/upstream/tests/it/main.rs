//! Integration tests of the upstream protocol.

mod broken;
mod events;
mod late;
