//! Addresses of the control replicas as a process knows them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::FleetSettings;

/// Addresses for calls; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Replicas {
    known: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

impl Replicas {
    /// Starts with the seeds of the settings.
    pub(super) fn new(settings: &FleetSettings) -> Self {
        let seeds = settings.seed_calls().into_values().collect();
        Self {
            known: Arc::new(Mutex::new(seeds)),
        }
    }

    /// Addresses in order.
    pub(super) fn list(&self) -> Vec<SocketAddr> {
        self.known().iter().copied().collect()
    }

    /// Takes over the members of the log, as a replica told them.
    pub(super) fn replace(&self, members: &[SocketAddr]) {
        if !members.is_empty() {
            *self.known() = members.iter().copied().collect();
        }
    }

    /// Adds the seeds of a settings file, which may have changed.
    pub(super) fn add_seeds(&self, path: &Path) {
        match FleetSettings::open(path) {
            Ok(settings) => self.known().extend(settings.seed_calls().into_values()),
            Err(e) => log::warn!("{}: {e}", path.display()),
        }
    }

    fn known(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
