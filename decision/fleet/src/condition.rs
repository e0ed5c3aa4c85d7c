//! Conditions under which an order still applies.
//!
//! Configurations and announcements carry a version of their own; the evacuation of a zone, its
//! withdrawal and the withdrawal of an upstream do not. A replica that is paused or cut off may hold
//! such an order for long, while its sender repeats it elsewhere and gives newer ones. Each order
//! therefore names what the replica that received it had applied of its subject. If the subject has
//! changed since, the order is superseded.
//!
//! In the log the condition follows its command. Replicas of earlier versions read the command alone.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Condition under which a command applies.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// No order for the zone was applied after this log index.
    #[display("no order for the zone after index {_0}")]
    ZoneAsOf(u64),
    /// The upstream has this start, ms since the Unix epoch.
    #[display("upstream started at {_0}")]
    StartedAt(u64),
}

impl Condition {
    /// Decodes what follows a command; `None` without a condition that this version knows.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
