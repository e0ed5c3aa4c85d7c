//! A control replica: the replicated log with its disk, its clock and its peers.
//!
//! [`Replica`] is an actor on a thread of its own. It tells the pure state
//! machine what happens and carries out its actions: writes go to one writer
//! thread, which syncs whatever has gathered as one group; messages leave once
//! the write they depend on is synced; committed commands go to the machine.
//! [`ReplicaHandle`] is how the rest of the process and, through [`module`],
//! the other processes use it.

mod actor;
mod clock;
mod founding;
mod handle;
mod link;
mod message;
mod options;
mod rpc;
mod status;
mod writer;

pub use actor::Replica;
pub use handle::ReplicaHandle;
pub use options::ReplicaOptions;
pub use rpc::module;
pub use status::{DiskHealth, LeaderView, ReplicaStatus};
