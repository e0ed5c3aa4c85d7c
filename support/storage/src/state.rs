//! State file, which stores the identity, term and vote.

use pimentotide_consensus::HardState;

use crate::{Disk, StorageError, record};

/// Name of the state file.
pub(crate) const NAME: &str = "state";

/// Reads the state file, checking its checksum.
pub(crate) fn read<D>(disk: &mut D) -> Result<HardState, StorageError>
where
    D: Disk,
{
    let bytes = disk
        .read(NAME)
        .map_err(|e| StorageError::io("cannot read the state file", &e))?;
    record::decode(&bytes)
        .and_then(|body| postcard::from_bytes(body).ok())
        .ok_or_else(|| StorageError::corrupt("the state file is damaged"))
}

/// Replaces and syncs the state file.
pub(crate) fn write<D>(disk: &mut D, state: &HardState) -> Result<(), StorageError>
where
    D: Disk,
{
    let body = postcard::to_stdvec(state)
        .map_err(|e| StorageError::corrupt(format!("cannot encode the state: {e}")))?;
    replace(disk, NAME, &body)
}

/// Atomically replaces a file by one record, using a temporary file.
pub(crate) fn replace<D>(disk: &mut D, name: &str, body: &[u8]) -> Result<(), StorageError>
where
    D: Disk,
{
    let temporary = format!("{name}{TEMPORARY}");
    let mut bytes = Vec::with_capacity(body.len() + record::HEAD_BYTES);
    record::encode(body, &mut bytes);
    let mut write = || {
        disk.create(&temporary)?;
        disk.append(&temporary, &bytes)?;
        disk.sync(&temporary)?;
        disk.rename(&temporary, name)?;
        disk.sync_folder()
    };
    write().map_err(|e| StorageError::io(&format!("cannot replace {name}"), &e))
}

/// Suffix of incomplete files.
pub(crate) const TEMPORARY: &str = ".tmp";
