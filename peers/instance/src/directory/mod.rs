//! Declarations, currency leases and the directory of upstreams between processes.
//!
//! A control replica answers with a [`Directory`], which reads the replicated
//! state through a [`Source`]. Entries and agents follow it with a
//! [`Follower`] and report themselves with an [`EntryReporter`] or an
//! [`AgentReporter`].

mod confirm;
mod follow;
mod report;
mod server;
mod shared;

use std::future::Future;

use pimentotide_control::Machine;
use pimentotide_model::{Failure, Revision};
use tokio::sync::watch;

pub use follow::{FollowOptions, Follower};
pub use report::{AgentOptions, AgentReporter, EntryOptions, EntryReporter};
pub use server::Directory;
pub use shared::SharedMachine;

/// Method that answers a [`pimentotide_control::currency::WatchRequest`].
const WATCH: &str = "directory_watch";

/// Method that takes a [`pimentotide_control::directory::Report`].
const REPORT: &str = "directory_report";

/// Replicated state as the directory of one replica sees it.
pub trait Source: Clone + Send + Sync + 'static {
    /// Completes once the local state holds all that a quorum knew to be
    /// committed at a moment after the call.
    ///
    /// Must fail if no quorum answers, and on a replica that is not a member.
    fn confirm(&self) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Reads the local state.
    fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine) -> T;

    /// Revision in force here, with every change of it.
    fn changes(&self) -> watch::Receiver<Revision>;
}
