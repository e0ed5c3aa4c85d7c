//! Tests of the routing decisions.

mod advice;
mod cache;
mod fixture;
mod gate;
mod gate_limits;
mod health;
mod placement;
mod queue;
mod queue_order;
mod retry;
