//! HTTP interface for operators and its client.
//!
//! The [`server`] listens on a port of its own and is generic over [`Control`],
//! through which it accesses the replicated state. The [`client`] is configured
//! with several replicas and retries a request on the next one, under the same
//! order identifier, when an answer is lost. [`message`] defines the bodies of
//! requests and answers, [`status`] the status of the deployment.

pub mod client;
pub mod command;
mod control;
pub mod message;
pub mod server;
pub mod status;

pub use control::{Cluster, Control, Member, MemberChange, MemberRole};

/// Default listen address of the operators' server.
pub const DEFAULT_ADDRESS: &str = "127.0.0.1:8081";
