//! Tests of the decisions on routing, retries and membership.

mod admission;
mod balancer;
mod budget;
mod change;
mod declaration;
mod delta;
mod entries;
mod gate;
mod limited_fleet;
mod limits;
mod listing;
mod members;
mod prompts;
mod retry;
mod retry_after;
mod room;
mod signals;
mod slow;
mod spread;
mod state;
mod stop;
mod suspects;
mod view;
