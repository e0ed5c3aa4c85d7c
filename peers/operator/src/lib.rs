//! HTTP interface for operators and its client.
//!
//! The [`server`] answers on a port of its own and is generic over
//! [`Control`], through which it reaches the replicated state. The [`client`]
//! knows several replicas and asks again elsewhere, under the same order
//! identifier, when an answer is lost. [`message`] holds what travels between
//! the two, and [`status`] what is told about the deployment.

pub mod client;
pub mod command;
mod control;
pub mod message;
pub mod server;
pub mod status;

pub use control::{Cluster, Control, Member, MemberChange, MemberRole};

/// Port and address on which operators are answered unless settings say otherwise.
pub const DEFAULT_ADDRESS: &str = "127.0.0.1:8081";
