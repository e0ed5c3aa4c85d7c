//! Distribution of declarations, currency leases and the directory of upstreams.
//!
//! A control replica serves a [`Directory`], which reads the replicated state
//! through a [`Source`]. Entries and agents watch it with a [`Follower`] and send
//! their heartbeats with an [`EntryReporter`] or an [`AgentReporter`].

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

/// Method that accepts a [`pimentotide_control::directory::Report`].
const REPORT: &str = "directory_report";

/// Access of a directory to the replicated state of its replica.
pub trait Source: Clone + Send + Sync + 'static {
    /// Completes once the local state includes everything committed up to some time
    /// after the call, as confirmed by a quorum.
    ///
    /// Must fail if no quorum answers, and on a replica that is not a member.
    fn confirm(&self) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Reads the local state.
    fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine) -> T;

    /// Subscribes to the revision in force on this replica.
    fn changes(&self) -> watch::Receiver<Revision>;
}
