//! Tests of expert maps: planner, switch, replicated decisions and orders.

mod budget;
mod coordinator;
mod decisions;
mod even_change;
mod even_exhaustive;
mod even_formation;
mod even_group;
mod even_paces;
mod even_plan;
mod even_relay;
mod even_rescue;
mod even_script;
mod even_shift;
mod even_stuck;
mod even_switch;
mod even_timed;
mod even_times;
mod fencing;
mod group;
mod manager;
mod network;
mod order;
mod planner;
mod rollout;
mod switch;
mod virtual_time;
