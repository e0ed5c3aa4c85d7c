//! The file with identity, term and vote.

use pimentotide_consensus::HardState;

use crate::{Disk, StorageError, record};

/// Name of the file.
pub(crate) const NAME: &str = "state";

/// Reads the state.
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

/// Replaces the state durably.
pub(crate) fn write<D>(disk: &mut D, state: &HardState) -> Result<(), StorageError>
where
    D: Disk,
{
    let body = postcard::to_stdvec(state)
        .map_err(|e| StorageError::corrupt(format!("cannot encode the state: {e}")))?;
    replace(disk, NAME, &body)
}

/// Writes a file of one record under a temporary name and renames it.
pub(crate) fn replace<D>(disk: &mut D, name: &str, body: &[u8]) -> Result<(), StorageError>
where
    D: Disk,
{
    let temporary = format!("{name}{TEMPORARY}");
    let mut bytes = Vec::with_capacity(body.len() + record::HEAD_BYTES);
    record::encode(body, &mut bytes);
    let mut written = || {
        disk.create(&temporary)?;
        disk.append(&temporary, &bytes)?;
        disk.sync(&temporary)?;
        disk.rename(&temporary, name)?;
        disk.sync_folder()
    };
    written().map_err(|e| StorageError::io(&format!("cannot replace {name}"), &e))
}

/// End of the names of files that are not complete.
pub(crate) const TEMPORARY: &str = ".tmp";
