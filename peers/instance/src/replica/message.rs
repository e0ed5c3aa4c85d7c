//! What the actor is told.

use std::net::SocketAddr;

use actix::Message;
use pimentotide_consensus::{Change, ClusterId, Config, Envelope, Identity, Index, Ticket};
use pimentotide_model::Failure;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::ReplicaStatus;

/// Messages of one replica to another, as they travel.
#[derive(Clone, Debug, Message, Serialize, Deserialize)]
#[rtype(result = "()")]
pub(super) struct Delivery {
    /// Where the sender is reached.
    pub(super) address: SocketAddr,
    /// Messages in the order of sending.
    pub(super) envelopes: Vec<Envelope>,
}

/// A refusal, with the leader to ask instead.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub(super) failure: Failure,
    pub(super) leader: Option<SocketAddr>,
}

impl From<Failure> for Refusal {
    fn from(failure: Failure) -> Self {
        Self {
            failure,
            leader: None,
        }
    }
}

/// Position and answer of an applied command.
pub(super) type Applied = (Index, Vec<u8>);

/// Where a result goes.
pub(super) type Reply<T> = oneshot::Sender<Result<T, Refusal>>;

/// Proposes a command.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Propose {
    pub(super) command: Vec<u8>,
    pub(super) reply: Reply<Applied>,
}

/// Asks for the position that a read has to see.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Read {
    pub(super) reply: Reply<Index>,
}

/// Changes the members.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct ChangeMembers {
    pub(super) change: Change,
    pub(super) reply: Reply<Applied>,
}

/// Asks for the status.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct GetStatus {
    pub(super) reply: oneshot::Sender<ReplicaStatus>,
}

/// Who a replica is, and the log that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Introduction {
    pub(super) identity: Identity,
    pub(super) cluster: Option<ClusterId>,
}

/// Founds a new log with these members.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Found {
    pub(super) config: Config,
}

/// Looks at the machine and the position that it has reached.
pub(super) type Look<M> = Box<dyn FnOnce(&M, Index) + Send>;

/// Runs a closure with the machine.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Query<M>(pub(super) Look<M>);

/// Hands over leadership.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct HandOver;

/// Ends the actor; what was issued before is written first.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Halt {
    pub(super) done: oneshot::Sender<()>,
}

/// The writer synced all writes up to this ticket.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Synced(pub(super) Ticket);

/// The writer failed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct WriteFailed(pub(super) String);
