//! Integration tests of the replicated log.

mod chaos;
mod explore;
mod restart;
mod rules;
mod scenario;
mod sim;
mod trio;
