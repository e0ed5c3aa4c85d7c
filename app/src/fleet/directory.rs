//! Tells callers which entries to use, at any role that has an address for it.
//!
//! Entries serve it where there is a choice: there are more of them, so a caller
//! rarely meets one that does not answer, and has waited in vain less often.

use std::time::Duration;

use pimentotide_platform::{Directory, DirectoryServer};

use super::FleetSettings;

/// Time for which callers may keep the list.
///
/// Some keep it three times as long, as long as a stopping entry takes requests.
const KEEP: Duration = Duration::from_secs(1);
/// Most addresses in one answer.
pub(super) const MAX_ADDRESSES: usize = 64;

/// Time for which callers may keep the list, within the settings' bound.
pub(super) fn keep(settings: &FleetSettings) -> Duration {
    KEEP.min(Duration::from_secs_f64(settings.bounds.keep_s.max(1.0)))
}

/// Serves `directory` if the settings give an address for it.
pub(super) fn open_directory<D>(
    settings: &FleetSettings,
    directory: D,
) -> std::io::Result<Option<DirectoryServer>>
where
    D: Directory,
{
    let address = settings.listen.directory;
    address
        .map(|address| DirectoryServer::bind(address, directory))
        .transpose()
}
