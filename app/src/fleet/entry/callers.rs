//! Tells callers which entries to use, as the followed replica knows them.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_platform::{Directory, Entries, Place};

use super::super::FleetSettings;
use super::super::directory::{MAX_ADDRESSES, keep};
use super::state::EntryState;

/// Answers callers from what the entry has learnt.
#[derive(Clone)]
pub(super) struct CallerDirectory {
    state: Arc<EntryState>,
    keep: Duration,
}

impl CallerDirectory {
    pub(super) fn new(state: Arc<EntryState>, settings: &FleetSettings) -> Self {
        Self {
            state,
            keep: keep(settings),
        }
    }
}

impl Directory for CallerDirectory {
    fn entries(&self, _place: &Place) -> Entries {
        let mut addresses = self.state.entry_list();
        addresses.truncate(MAX_ADDRESSES);
        Entries {
            addresses,
            keep: self.keep,
        }
    }
}
