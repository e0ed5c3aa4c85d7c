//! Integration tests of the replicated log.

mod arbiter;
mod arbitration;
mod chaos;
mod cluster;
mod disorder;
mod explore;
mod full;
mod heavy;
mod open_change;
mod open_removal;
mod planned_stop;
mod power;
mod replacement;
mod restart;
mod rules;
mod scenario;
mod sim;
mod split_vote;
mod trio;
