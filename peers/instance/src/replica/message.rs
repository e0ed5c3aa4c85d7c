//! Messages to the actor.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use actix::Message;
use pimentotide_consensus::{
    Change, ClusterId, Config, Envelope, Identity, Index, LogId, Member, Recovered, Ticket,
};
use pimentotide_model::{Failure, InstanceName};
use pimentotide_storage::{Folder, Storage};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::ReplicaStatus;

/// Batch of messages from one replica to another, as sent over the wire.
#[derive(Clone, Debug, Message, Serialize, Deserialize)]
#[rtype(result = "()")]
pub(super) struct Delivery {
    /// Address at which the sender accepts messages.
    pub(super) address: SocketAddr,
    /// Messages in the order of sending.
    pub(super) envelopes: Vec<Envelope>,
}

/// Rejection of a request, with the address of the leader if known.
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

/// Position of an applied command and the machine's response.
pub(super) type Applied = (Index, Vec<u8>);

/// Channel for the result of a request.
pub(super) type Reply<T> = oneshot::Sender<Result<T, Refusal>>;

/// Proposes a command.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Propose {
    pub(super) command: Vec<u8>,
    pub(super) reply: Reply<Applied>,
}

/// Requests the position that must be applied before a read.
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

/// Requests the status.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct GetStatus {
    pub(super) reply: oneshot::Sender<ReplicaStatus>,
}

/// Requests whether the writer has ended, so that the folder may be opened again.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct GetWriterEnd {
    pub(super) reply: oneshot::Sender<bool>,
}

/// Identity of a replica and the log that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Introduction {
    pub(super) identity: Identity,
    pub(super) cluster: Option<ClusterId>,
}

/// Bootstraps a new log with these members.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Bootstrap {
    pub(super) config: Config,
}

/// Closure that reads the machine and its applied position.
pub(super) type QueryFn<M> = Box<dyn FnOnce(&M, Index) + Send>;

/// Runs a closure on the machine.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Query<M>(pub(super) QueryFn<M>);

/// Transfers leadership to another voter.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct TransferLeadership;

/// Sets the processes that a leader names as arbiters.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct SetArbiters(pub(super) BTreeMap<InstanceName, Member>);

/// Reports that an arbiter granted a request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Granted {
    pub(super) ballot: LogId,
    pub(super) arbiter: Identity,
    pub(super) part: BTreeSet<Identity>,
}

/// Stops the actor after the queued writes.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Halt {
    pub(super) done: oneshot::Sender<()>,
}

/// Continues on a storage that was opened again after the disk failed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Reopen {
    pub(super) storage: Storage<Folder>,
    pub(super) recovered: Recovered,
    pub(super) reply: oneshot::Sender<Result<(), Failure>>,
}

/// Reports that all writes up to this ticket are synced.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Synced(pub(super) Ticket);

/// Reports that the writer failed, with the error.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct WriteFailed(pub(super) String);
