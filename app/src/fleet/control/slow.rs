//! Slow engines known to a replica from the datagrams of their agents.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pimentotide_fleet::{SlowEngine, SlowList};
use pimentotide_instance::Clock;
use tokio::sync::watch;

use super::super::beacon::SlowBeacon;

/// Time from a change to the end of the polls that wait for it.
///
/// Changes of many engines within it end a poll once; entries receive a change within 100 ms.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Slow engines; clones share them.
#[derive(Clone, Debug)]
pub(super) struct SlowEngines {
    list: Arc<Mutex<SlowList>>,
    clock: Clock,
    /// Signals changes by datagrams.
    changes: watch::Sender<()>,
}

impl Default for SlowEngines {
    fn default() -> Self {
        Self {
            list: Arc::default(),
            clock: Clock::start(),
            changes: watch::Sender::default(),
        }
    }
}

impl SlowEngines {
    fn lock(&self) -> MutexGuard<'_, SlowList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a datagram.
    pub(super) fn receive(&self, beacon: &SlowBeacon) {
        let engine = SlowEngine {
            engine: beacon.engine,
            pace: beacon.pace,
        };
        let version = (beacon.order.born, beacon.order.sequence);
        let now = self.clock.now();
        let mut list = self.lock();
        let before = list.engines(now);
        list.record(beacon.calls, engine, version, now);
        if list.engines(now) != before {
            self.changes.send_replace(());
        }
    }

    /// Returns the engines that are slow now.
    pub(super) fn engines(&self) -> Vec<SlowEngine> {
        self.lock().engines(self.clock.now())
    }

    /// Waits until other engines than `seen` are slow, and for [`SETTLE_TIME`] after that.
    pub(super) async fn changed(&self, seen: &[SlowEngine]) {
        let mut changes = self.changes.subscribe();
        while self.engines() == seen {
            let expiry = self.lock().next_expiry(self.clock.now());
            let changed = changes.changed();
            match expiry {
                // A change and the end of the wait both lead to another look at the list.
                Some(left) => drop(tokio::time::timeout(left, changed).await),
                // The sender is part of this value, so that the wait does not fail.
                None => drop(changed.await),
            }
        }
        tokio::time::sleep(SETTLE_TIME).await;
    }
}
