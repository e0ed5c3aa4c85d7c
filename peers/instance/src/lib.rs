//! Protocol between the instances of one deployment.
//!
//! All processes of the system speak JSON-RPC with each other over persistent
//! connections. [`PeerServer`] answers on one port for every module that the
//! process has; [`PeerClient`] is the calling side. Both know the deployment's
//! shared [`Token`] and talk to members only.

mod client;
mod rpc;
mod server;
mod token;

pub use client::{PeerClient, PeerTimeouts};
pub use rpc::{failure_of, rpc_error};
pub use server::PeerServer;
pub use token::Token;
