//! Integration tests of the upstream protocol.

mod broken;
mod cut;
mod events;
mod late;
