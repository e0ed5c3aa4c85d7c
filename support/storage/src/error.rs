//! Storage errors.

use std::io;
use std::path::Path;

use derive_more::Display;
use pimentotide_model::{ErrorKind, Failure};

/// Cause of a storage error.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum StorageErrorKind {
    /// Another process has the folder open.
    #[display("the data folder is in use")]
    InUse,
    /// The disk or its quota is full.
    #[display("the disk is full")]
    Full,
    /// Synced data is damaged or missing.
    #[display("synced data is damaged")]
    Corrupt,
    /// The folder belongs to another replica.
    #[display("the data folder belongs to another replica")]
    Foreign,
    /// An earlier write or sync failed; further writes are refused.
    #[display("the storage is disabled after an earlier error")]
    Poisoned,
    /// Any other I/O error.
    #[display("the disk failed")]
    Failed,
}

/// Error of a storage operation.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{kind}: {detail}")]
pub struct StorageError {
    /// Cause, for callers that act on it.
    pub kind: StorageErrorKind,
    /// Failed operation, with the name of the file.
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

    /// Builds the error for a data folder that cannot be opened.
    pub fn opening(folder: &Path, error: &io::Error) -> Self {
        Self::io(&format!("cannot open {}", folder.display()), error)
    }

    /// Builds the error for an I/O error, with a description of the failed operation.
    pub(crate) fn io(operation: &str, error: &io::Error) -> Self {
        let kind = match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => StorageErrorKind::Full,
            io::ErrorKind::WouldBlock => StorageErrorKind::InUse,
            _ => StorageErrorKind::Failed,
        };
        Self::new(kind, format!("{operation}: {error}"))
    }
}

impl From<StorageError> for Failure {
    fn from(error: StorageError) -> Self {
        Self::new(ErrorKind::DiskFailed, error.to_string())
    }
}
