//! Directory of upstreams, announced by agents and followed by entries.
//!
//! Agents announce themselves to every control replica. Each replica keeps a
//! [`Registry`] of its own in memory, outside the log: what a replica loses, the
//! next announcement restores. Entries keep a [`View`] that follows the registry
//! of the replica they watch.

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

/// Interval between two reports of one agent or entry.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(750);

/// Time without a report after which an upstream or an entry is removed.
pub const EXPIRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after the start of an upstream during which its agent may raise the incarnation.
pub const START_GRACE: Duration = Duration::from_secs(10);

/// Maximum number of upstreams in a directory.
pub const MAX_MEMBERS: usize = 10_000;

/// Maximum number of departures retained.
pub const MAX_DEPARTURES: usize = 1_024;

/// Maximum number of names in one list of an announcement.
pub const MAX_NAMES: usize = 256;

/// Maximum number of entries in a directory.
pub const MAX_ENTRIES: usize = 1_024;
