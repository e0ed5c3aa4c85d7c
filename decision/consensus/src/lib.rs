//! Replicated log of the control replicas as a pure state machine.
//!
//! A [`Node`] receives events with the current time and returns actions: data to
//! write and sync, messages to send once a given write is synced, and entries to
//! apply. It performs no I/O, so a run is determined by its events, times and seed.
//!
//! The protocol is Raft with pre-vote, check-quorum, a leader lease, batched and
//! pipelined replication, chunked snapshots, learners, single-server membership
//! changes and leadership transfer. Three rules are particular to this package:
//!
//! - A replica is identified by its name and the random identity of its disk.
//!   Votes and acknowledgements under another identity do not count, so a
//!   replica that lost its disk has to rejoin as a learner.
//! - Where voters are being replaced, so that no majority may be left, [`Arbiter`]s outside the log grant
//!   one part of the voters that it acts.
//! - Every write has a [`Ticket`], and every message names the ticket that has
//!   to be synced before the message is sent.

mod arbiter;
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

pub use arbiter::{Arbiter, Denial, GrantRequest};
pub use config::{Arbiters, Change, Config, Member};
pub use event::{Action, Event, Moment, Reject, Write};
pub use machine::{Applier, Machine, Outcome, RestoreError};
pub use message::{Envelope, Message, SnapshotMeta};
pub use node::Node;
pub use options::Options;
pub use status::{FlowKind, PeerStatus, RoleKind, Status};
pub use types::{
    ClusterId, DiskId, Entry, HardState, Identity, Index, LogId, Payload, ProposalId, Recovered,
    Snapshot, Ticket,
};
