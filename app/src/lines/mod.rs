//! Structured log lines: every kind of line and its fields.
//!
//! Lines about one request carry its id in `request`, so that the lines of all
//! processes can be correlated. [`line_kinds`] lists every kind; a test checks
//! the operator documentation against it.

mod process;
mod request;

use pimentotide_observe::{Dropped, Line};
use serde_json::Value;

pub use process::{
    Declared, DeltaFailed, Ejected, EngineOrdered, EngineSlow, ExpertsMoved, GroupReleased,
    LearnerLags, LeaseLost, LeaseWon, MemberChanged, Ordered, ProcessSeen, Ready, Reloaded,
    ReplicaFollowed, ReplicaLost, RoleChanged, Stopped, Stopping, SuspectsChanged, UpstreamChanged,
    UpstreamSlow, VoteReleased, ZonesClosed,
};
pub use request::{
    Answered, BrokenOff, Considered, Interrupted, Placed, Queued, Refused, Routed, StreamKept,
    SuspectRequest, UpstreamCrashed, UpstreamSignal,
};

/// Event name and field names of one kind of log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineKind {
    /// Value of the field `event`.
    pub event: &'static str,
    /// Names of the other fields, in alphabetical order.
    pub fields: Vec<String>,
}

/// Lists every kind of line that the process writes.
pub fn line_kinds() -> Vec<LineKind> {
    vec![
        kind::<Ready>(),
        kind::<Stopping>(),
        kind::<Stopped>(),
        kind::<Reloaded>(),
        kind::<Routed<'_>>(),
        kind::<Placed<'_>>(),
        kind::<Queued<'_>>(),
        kind::<Interrupted<'_>>(),
        kind::<StreamKept<'_>>(),
        kind::<UpstreamSignal<'_>>(),
        kind::<UpstreamCrashed>(),
        kind::<BrokenOff<'_>>(),
        kind::<Answered<'_>>(),
        kind::<Refused<'_>>(),
        kind::<ReplicaFollowed>(),
        kind::<ReplicaLost>(),
        kind::<LeaseWon>(),
        kind::<LeaseLost>(),
        kind::<Declared>(),
        kind::<DeltaFailed>(),
        kind::<UpstreamChanged>(),
        kind::<ZonesClosed>(),
        kind::<Ejected>(),
        kind::<UpstreamSlow>(),
        kind::<EngineSlow>(),
        kind::<SuspectsChanged>(),
        kind::<Ordered<'_>>(),
        kind::<RoleChanged>(),
        kind::<MemberChanged>(),
        kind::<LearnerLags>(),
        kind::<VoteReleased>(),
        kind::<ProcessSeen>(),
        kind::<ExpertsMoved>(),
        kind::<EngineOrdered>(),
        kind::<GroupReleased>(),
        kind::<Dropped>(),
        LineKind {
            event: "message",
            fields: vec!["message".to_owned(), "target".to_owned()],
        },
    ]
}

fn kind<T>() -> LineKind
where
    T: Line + Default,
{
    let mut fields = match serde_json::to_value(T::default()) {
        Ok(Value::Object(fields)) => fields.into_iter().map(|(name, _)| name).collect(),
        Ok(_) | Err(_) => Vec::new(),
    };
    fields.sort_unstable();
    LineKind {
        event: T::EVENT,
        fields,
    }
}
