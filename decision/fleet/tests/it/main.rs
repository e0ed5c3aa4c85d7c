//! Tests of the fleet's decisions.

mod balancer;
mod budget;
mod change;
mod declaration;
mod members;
mod retry;
mod state;
mod stop;
