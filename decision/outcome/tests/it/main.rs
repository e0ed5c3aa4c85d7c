//! Integration tests of the outcome package.

mod assembly;
mod at_most_once;
mod decisions;
mod journal;
mod ledger;
mod liveness;
mod suspicion;
mod world;
