//! Errors of the storage.

use std::io;
use std::path::Path;

use derive_more::Display;
use pimentotide_model::{ErrorKind, Failure};

/// Kind of a storage error.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum StorageErrorKind {
    /// Another process has the folder open.
    #[display("the data folder is in use")]
    InUse,
    /// There is no room.
    #[display("the disk is full")]
    Full,
    /// Synced data is damaged or missing.
    #[display("synced data is damaged")]
    Corrupt,
    /// The folder belongs to another replica.
    #[display("the data folder belongs to another replica")]
    Foreign,
    /// A write or sync failed before; nothing more is written.
    #[display("the storage is out of action after an earlier error")]
    Poisoned,
    /// Any other error of the disk.
    #[display("the disk failed")]
    Failed,
}

/// Error of the storage.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{kind}: {detail}")]
pub struct StorageError {
    /// Kind.
    pub kind: StorageErrorKind,
    /// What exactly happened, with the name of the file.
    pub detail: String,
}

impl std::error::Error for StorageError {}

impl StorageError {
    pub(crate) fn new<D>(kind: StorageErrorKind, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    pub(crate) fn corrupt<D>(detail: D) -> Self
    where
        D: Into<String>,
    {
        Self::new(StorageErrorKind::Corrupt, detail)
    }

    /// Describes why a data folder cannot be opened.
    pub fn opening(folder: &Path, error: &io::Error) -> Self {
        Self::io(&format!("cannot open {}", folder.display()), error)
    }

    /// Describes an I/O error during `what`.
    pub(crate) fn io(what: &str, error: &io::Error) -> Self {
        let kind = match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => StorageErrorKind::Full,
            io::ErrorKind::WouldBlock => StorageErrorKind::InUse,
            _ => StorageErrorKind::Failed,
        };
        Self::new(kind, format!("{what}: {error}"))
    }
}

impl From<StorageError> for Failure {
    fn from(error: StorageError) -> Self {
        Self::new(ErrorKind::DiskFailed, error.to_string())
    }
}
