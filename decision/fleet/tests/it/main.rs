//! Tests of the fleet's decisions.

mod balancer;
mod budget;
mod change;
mod declaration;
mod entries;
mod gate;
mod members;
mod retry;
mod retry_after;
mod spread;
mod state;
mod stop;
