//! Tests of expert maps: planner, switch and decisions.

mod group;
mod network;
mod switch;
