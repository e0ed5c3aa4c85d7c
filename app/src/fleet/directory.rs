//! Directory of entries for callers, served by any role with an address for it.
//!
//! Entries should serve it where possible: there are more of them, so a caller
//! is less likely to wait for one that does not answer.

use std::time::Duration;

use pimentotide_platform::{Directory, DirectoryServer};

use super::FleetSettings;

/// Time for which callers may cache the list.
///
/// Some callers cache it three times as long; a stopping entry accepts requests for that time.
const LIST_TTL: Duration = Duration::from_secs(1);
/// Maximum addresses in one response.
pub(super) const MAX_ADDRESSES: usize = 64;

/// Returns the time for which callers may cache the list, within the settings' bound.
pub(super) fn list_ttl(settings: &FleetSettings) -> Duration {
    LIST_TTL.min(Duration::from_secs_f64(settings.bounds.keep_s.max(1.0)))
}

/// Serves `directory` if the settings contain an address for it.
///
/// # Errors
///
/// Fails if the address cannot be bound.
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
