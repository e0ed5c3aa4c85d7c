//! Integration tests of the replicated log.

mod chaos;
mod explore;
mod rules;
mod scenario;
mod sim;
mod trio;
