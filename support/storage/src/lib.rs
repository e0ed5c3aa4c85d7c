//! Durable files of a control replica, all in one data folder.
//!
//! | file | content |
//! |---|---|
//! | `lock` | held while a process has the folder open |
//! | `state` | identity, term and vote |
//! | `log-N` | segment N of the log: checksummed records |
//! | `snapshot-I` | state of the machine after entry I |
//!
//! `state` and snapshots are written under a temporary name, synced, renamed,
//! and then the folder is synced; a temporary file that was left behind is
//! dropped. Records are appended to the last segment. Each record says how much
//! of its segment was synced when it was written, so that a broken record is
//! known for what it is: a torn tail, which is cut, or damage to synced data,
//! which is refused.
//!
//! Damage to the very last synced records cannot be told from a torn tail, as
//! nothing after them says that they were synced.
//!
//! After any error the storage refuses further writes: what an operating system
//! does with dirty pages after a failed sync is unknown.

mod disk;
mod error;
pub mod fake;
mod folder;
mod record;
mod segment;
mod snapshot;
mod state;
mod storage;

pub use disk::Disk;
pub use error::{StorageError, StorageErrorKind};
pub use folder::Folder;
pub use storage::{Opened, Storage};
