//! Entries as a replica knows them from their beacons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use pimentotide_platform::{Directory, Entries, Place};
use tokio::net::UdpSocket;

use super::super::FleetSettings;
use super::super::beacon::{Beacon, MAX_BEACON_BYTES};

/// Silence after which an entry is no longer named to callers; four beacons.
const SILENCE: Duration = Duration::from_millis(1_600);
/// Silence after which an entry is forgotten.
const FORGET: Duration = Duration::from_secs(30);
/// Time for which callers may keep the list; short, so that they soon learn of a lost entry.
const KEEP: Duration = Duration::from_secs(2);
/// Pause after a socket error.
const ERROR_PAUSE: Duration = Duration::from_millis(200);
/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Entries by the address for callers.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    entries: Arc<Mutex<BTreeMap<SocketAddr, (Beacon, Instant)>>>,
}

impl Roster {
    /// Starts without entries.
    pub(super) fn open() -> Self {
        Self::default()
    }

    fn hear(&self, beacon: Beacon, now: Instant) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let order = |b: &Beacon| (b.born, b.sequence);
        let known = entries.get(&beacon.callers).map(|(b, _)| b);
        if known.is_some_and(|known| order(known) > order(&beacon)) {
            return;
        }
        let (was, is) = (known.map(|b| (b.accepting, b.stopping)), (beacon.accepting, beacon.stopping));
        if was != Some(is) {
            log::info!(
                "entry {} accepting {} stopping {}",
                beacon.callers,
                beacon.accepting,
                beacon.stopping
            );
        }
        entries.insert(beacon.callers, (beacon, now));
        entries.retain(|_, (_, heard)| now.duration_since(*heard) < FORGET);
    }

    /// Entries that callers may be sent to.
    ///
    /// If none accepts callers, those that are alive are named all the same: they
    /// refuse with a reason.
    pub(super) fn addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let alive = || {
            let fresh = entries.values().filter(|(_, heard)| now.duration_since(*heard) < SILENCE);
            fresh.map(|(beacon, _)| beacon).filter(|b| !b.stopping)
        };
        let accepting: Vec<SocketAddr> = alive().filter(|b| b.accepting).map(|b| b.callers).collect();
        if accepting.is_empty() {
            return alive().map(|b| b.callers).collect();
        }
        accepting
    }
}

/// Takes in beacons until it is aborted.
pub(super) async fn listen(address: SocketAddr, roster: Roster) {
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(e) => {
            log::error!("cannot listen for beacons on {address}: {e}");
            return;
        }
    };
    let mut bytes = [0; MAX_BEACON_BYTES];
    loop {
        match socket.recv_from(&mut bytes).await {
            Ok((length, from)) => match postcard::from_bytes(&bytes[..length]) {
                Ok(beacon) => roster.hear(beacon, Instant::now()),
                Err(e) => log::warn!("unreadable beacon from {from}: {e}"),
            },
            Err(e) => {
                log::warn!("beacons: {e}");
                tokio::time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

/// Answers callers from the roster.
#[derive(Clone, Debug)]
pub(super) struct Counter {
    roster: Roster,
    keep: Duration,
}

impl Counter {
    pub(super) fn new(roster: Roster, settings: &FleetSettings) -> Self {
        let most = Duration::from_secs_f64(settings.bounds.keep_s.max(1.0));
        Self {
            roster,
            keep: KEEP.min(most),
        }
    }
}

impl Directory for Counter {
    fn entries(&self, _place: &Place) -> Entries {
        let mut addresses = self.roster.addresses(Instant::now());
        addresses.truncate(MAX_ADDRESSES);
        Entries {
            addresses,
            keep: self.keep,
        }
    }
}
