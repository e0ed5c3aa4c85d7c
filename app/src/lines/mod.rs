//! Vocabulary of the log: every kind of line and its fields.
//!
//! Lines on one request carry its id in `request`, so that the lines of all
//! processes about it can be put together. [`vocabulary`] lists all kinds; a
//! test holds the operators' pages to it.

mod process;
mod request;

use pimentotide_observe::{Dropped, Line};
use serde_json::Value;

pub use process::{
    Declared, Ejected, EngineOrdered, ExpertsMoved, GroupReleased, LeaseLost, LeaseWon,
    MemberChanged, Ordered, ProcessSeen, Ready, Reloaded, ReplicaFollowed, ReplicaLost,
    RoleChanged, Stopped, Stopping, UpstreamChanged, ZonesClosed,
};
pub use request::{Answered, BrokenOff, Considered, Interrupted, Placed, Refused, Routed};

/// One kind of line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Name of the event.
    pub event: &'static str,
    /// Names of its fields, in alphabetical order.
    pub fields: Vec<String>,
}

/// Lists all kinds of lines.
pub fn vocabulary() -> Vec<Kind> {
    vec![
        kind::<Ready>(),
        kind::<Stopping>(),
        kind::<Stopped>(),
        kind::<Reloaded>(),
        kind::<Routed<'_>>(),
        kind::<Placed<'_>>(),
        kind::<Interrupted<'_>>(),
        kind::<BrokenOff<'_>>(),
        kind::<Answered<'_>>(),
        kind::<Refused<'_>>(),
        kind::<ReplicaFollowed>(),
        kind::<ReplicaLost>(),
        kind::<LeaseWon>(),
        kind::<LeaseLost>(),
        kind::<Declared>(),
        kind::<UpstreamChanged>(),
        kind::<ZonesClosed>(),
        kind::<Ejected>(),
        kind::<Ordered<'_>>(),
        kind::<RoleChanged>(),
        kind::<MemberChanged>(),
        kind::<ProcessSeen>(),
        kind::<ExpertsMoved>(),
        kind::<EngineOrdered>(),
        kind::<GroupReleased>(),
        kind::<Dropped>(),
        Kind {
            event: "message",
            fields: vec!["message".to_owned(), "target".to_owned()],
        },
    ]
}

fn kind<T>() -> Kind
where
    T: Line + Default,
{
    let mut fields = match serde_json::to_value(T::default()) {
        Ok(Value::Object(fields)) => fields.into_iter().map(|(name, _)| name).collect(),
        Ok(_) | Err(_) => Vec::new(),
    };
    fields.sort_unstable();
    Kind {
        event: T::EVENT,
        fields,
    }
}
