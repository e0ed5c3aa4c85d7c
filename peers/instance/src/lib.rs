//! Protocol between the instances of one deployment.
//!
//! Entries send [`work`] orders to agents over HTTP and receive frames in answer.
//! Everything else is JSON-RPC over persistent connections: [`directory`] carries
//! declarations, leases and the directory of upstreams, and [`replica`] is a
//! member of the replicated control log. [`PeerServer`] serves all modules of a
//! process on one port; [`PeerClient`] calls it. Every port of this protocol
//! accepts only requests that carry the deployment's [`Token`].

pub mod directory;
pub mod replica;
pub mod work;

mod arbiter;
mod client;
mod clock;
mod pause;
mod rpc;
mod server;
mod submit;
mod token;
mod view;

pub use arbiter::{ArbiterClient, ArbiterService, arbiter_module};
pub use client::{PeerClient, PeerTimeouts};
pub use clock::{BootInstant, Clock};
pub use pause::Pauses;
pub use rpc::{failure_of, rpc_error};
pub use server::PeerServer;
pub use submit::{Submit, Submitter, submit_module};
pub use token::{Token, TokenError};
pub use view::View;
