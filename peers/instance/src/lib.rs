//! Protocol between the instances of one deployment.
//!
//! Work travels from entries to agents over HTTP as [`work`] orders answered by
//! frames. Everything else is JSON-RPC over persistent connections:
//! [`directory`] carries declarations, leases and the directory of upstreams.
//! [`replica`] is a control replica with its part in the replicated log.
//! [`PeerServer`] answers on one port for every module that the process has;
//! [`PeerClient`] is the calling side. Every port of this protocol admits only
//! holders of the deployment's [`Token`].

pub mod directory;
pub mod replica;
pub mod work;

mod client;
mod clock;
mod rpc;
mod server;
mod submit;
mod token;
mod view;

pub use client::{PeerClient, PeerTimeouts};
pub use clock::Clock;
pub use rpc::{failure_of, rpc_error};
pub use server::PeerServer;
pub use submit::{Submit, Submitter, submit_module};
pub use token::{Token, TokenError};
pub use view::View;
