//! Control replica: the replicated log with its disk, clock and peer connections.
//!
//! [`Replica`] is an actor on its own thread. It passes events to the pure
//! consensus state machine and carries out the resulting actions: one writer
//! thread syncs queued writes in groups, messages are sent only after the write
//! that they depend on is synced, and committed commands are applied to the
//! machine. The process uses it through [`ReplicaHandle`], others through [`module`].

mod actor;
mod ask;
mod clock;
mod founding;
mod handle;
mod handlers;
mod link;
mod message;
mod options;
mod release;
mod rpc;
mod status;
mod writer;

pub use actor::Replica;
pub(crate) use founding::read_identity;
pub use handle::ReplicaHandle;
pub use options::ReplicaOptions;
pub use release::Release;
pub use rpc::module;
pub use status::{DiskHealth, LeaderView, ReplicaStatus};
