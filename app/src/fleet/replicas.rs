//! Addresses of the control replicas known to a process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::FleetSettings;

/// Addresses of the replicas for calls; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Replicas {
    addresses: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

impl Replicas {
    /// Starts with the seeds of the settings.
    pub(super) fn new(settings: &FleetSettings) -> Self {
        let seeds = settings.seed_calls().into_values().collect();
        Self {
            addresses: Arc::new(Mutex::new(seeds)),
        }
    }

    /// Returns the addresses in ascending order.
    pub(super) fn list(&self) -> Vec<SocketAddr> {
        self.lock().iter().copied().collect()
    }

    /// Replaces all addresses by the members of the log; an empty list is ignored.
    pub(super) fn replace(&self, members: &[SocketAddr]) {
        if !members.is_empty() {
            *self.lock() = members.iter().copied().collect();
        }
    }

    /// Adds the seeds of the settings file, which may have changed since the start.
    pub(super) fn add_seeds(&self, path: &Path) {
        match FleetSettings::open(path) {
            Ok(settings) => self.lock().extend(settings.seed_calls().into_values()),
            Err(e) => log::warn!("{}: {e}", path.display()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
