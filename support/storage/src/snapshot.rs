//! Snapshot files, each with one record.

use pimentotide_consensus::{Index, Snapshot};

use crate::{Disk, StorageError, record, state};

/// Prefix of snapshot file names.
const PREFIX: &str = "snapshot-";

fn name(index: Index) -> String {
    format!("{PREFIX}{:020}", index.0)
}

/// Parses the index of a complete snapshot from its file name.
pub(crate) fn index(name: &str) -> Option<Index> {
    name.strip_prefix(PREFIX)?.parse().ok().map(Index)
}

/// Writes and syncs a snapshot.
pub(crate) fn write<D>(disk: &mut D, snapshot: &Snapshot) -> Result<(), StorageError>
where
    D: Disk,
{
    let body = postcard::to_stdvec(snapshot)
        .map_err(|e| StorageError::corrupt(format!("cannot encode a snapshot: {e}")))?;
    state::replace(disk, &name(snapshot.meta.last.index), &body)
}

/// Reads the snapshot at `index`, checking its checksum and index.
pub(crate) fn read<D>(disk: &mut D, index: Index) -> Result<Snapshot, StorageError>
where
    D: Disk,
{
    let name = name(index);
    let bytes = disk
        .read(&name)
        .map_err(|e| StorageError::io(&format!("cannot read {name}"), &e))?;
    let snapshot: Option<Snapshot> =
        record::decode(&bytes).and_then(|body| postcard::from_bytes(body).ok());
    snapshot
        .filter(|s| s.meta.last.index == index)
        .ok_or_else(|| StorageError::corrupt(format!("{name} is damaged")))
}

/// Removes the snapshot at `index`, without syncing the folder.
pub(crate) fn remove<D>(disk: &mut D, index: Index) -> Result<(), StorageError>
where
    D: Disk,
{
    let name = name(index);
    disk.remove(&name)
        .map_err(|e| StorageError::io(&format!("cannot remove {name}"), &e))
}
