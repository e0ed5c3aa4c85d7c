//! Directory of upstreams: what agents announce and entries learn.
//!
//! Agents announce themselves to every control replica. Each replica keeps a
//! [`Registry`] of its own in memory, outside the log: whatever a replica
//! forgets, the next announcement brings back. Entries keep a [`View`] that
//! follows the registry of the replica they watch.

mod announcer;
mod message;
mod registry;
mod view;

use std::time::Duration;

pub use announcer::{Announcer, IncarnationState};
pub use message::{
    Departure, Heartbeat, Mark, Notice, Presence, RegistryUpdate, Report, ReportAnswer,
};
pub use registry::{Member, Registry};
pub use view::{Event, View};

/// Time between two reports of one agent or entry.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(750);

/// Time without a report after which an upstream is dropped.
pub const EXPIRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after its start for which an agent may raise its own incarnation.
pub const START_GRACE: Duration = Duration::from_secs(10);

/// Most upstreams in a directory.
pub const MAX_MEMBERS: usize = 10_000;

/// Most departures remembered.
pub const MAX_DEPARTURES: usize = 1_024;

/// Most names in one list of an announcement.
pub const MAX_NAMES: usize = 256;

/// Most entries in a directory.
pub const MAX_ENTRIES: usize = 1_024;
