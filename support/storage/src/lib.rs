//! Durable files of a control replica, all in one data folder.
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked while a process has the folder open |
//! | `state` | identity, term and vote |
//! | `log-N` | segment N of the log: checksummed records |
//! | `snapshot-I` | state of the machine after the entry at index I |
//!
//! `state` and snapshots are written to a temporary file, synced and renamed, and
//! the folder is synced; leftover temporary files are removed on open. Records are
//! appended to the last segment. Each record stores how many bytes of its segment
//! were synced when it was written, which distinguishes a torn tail, which is
//! truncated, from damage to synced data, which is an error.
//!
//! Damage to the last synced records is indistinguishable from a torn tail, as no
//! later record shows that they were synced.
//!
//! After any error the storage refuses further writes, as the state of dirty pages
//! after a failed sync depends on the operating system.

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
