//! Replicated log of the control replicas as a pure state machine.
//!
//! A [`Node`] is told events and the time, and returns actions: what to write
//! and sync, which message may leave once which write is synced, which entries
//! to apply. It performs no input or output, so every run under the same
//! events, times and seed is the same run.
//!
//! Terms, pre-vote, check-quorum, a leader lease, batched replication with
//! bounded messages in flight, snapshots in chunks, learners, one membership
//! change at a time and leadership transfer follow the usual rules of a log
//! replicated by a leader. Two rules are particular to this package:
//!
//! - A replica is known by its name together with the random identity of its
//!   disk. Votes and acknowledgements under another identity do not count, so a
//!   replica that lost its disk has to come back as a learner.
//! - Every write has a [`Ticket`], and every message names the ticket that has
//!   to be synced before it may leave.

mod config;
mod event;
mod log;
mod machine;
mod message;
mod node;
mod options;
mod progress;
mod status;
mod types;

pub use config::{Change, Config, Member};
pub use event::{Action, Event, Moment, Reject, Write};
pub use machine::{Applier, Machine, Outcome, RestoreError};
pub use message::{Envelope, Message, SnapshotMeta};
pub use node::Node;
pub use options::Options;
pub use status::{PeerStatus, RoleKind, Status};
pub use types::{
    ClusterId, DiskId, Entry, HardState, Identity, Index, LogId, Payload, ProposalId, Recovered,
    Snapshot, Ticket,
};
