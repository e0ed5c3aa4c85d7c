//! Directory of entries for callers, as reported by the followed replica.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_fleet::list_entries;
use pimentotide_platform::{Directory, Entries, Place};

use super::super::FleetSettings;
use super::super::directory::{MAX_ADDRESSES, list_ttl};
use super::state::EntryState;

/// Directory for callers, backed by the state of this entry.
#[derive(Clone)]
pub(super) struct CallerDirectory {
    state: Arc<EntryState>,
    ttl: Duration,
}

impl CallerDirectory {
    pub(super) fn new(state: Arc<EntryState>, settings: &FleetSettings) -> Self {
        Self {
            state,
            ttl: list_ttl(settings),
        }
    }
}

impl Directory for CallerDirectory {
    fn entries(&self, place: &Place) -> Entries {
        Entries {
            addresses: list_entries(self.state.entry_addresses(), place, MAX_ADDRESSES),
            ttl: self.ttl,
        }
    }
}
