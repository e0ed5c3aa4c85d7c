//! Follows the shared state through one replica at a time, and tells all of them of this entry.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use pimentotide_instance::{PeerClient, PeerTimeouts, Token};
use tokio::net::UdpSocket;

use super::super::FleetSettings;
use super::super::beacon::Beacon;
use super::super::news::{FOLLOW, News};
use super::state::EntryState;

/// Pause between beacons.
const BEACON_PAUSE: Duration = Duration::from_millis(400);
/// Pause after all replicas have failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long an entry waits for a replica; three replicas are asked within a lease.
const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(250),
    call: Duration::from_millis(900),
    pause: Duration::from_millis(50),
    silence: Duration::from_millis(1_500),
};

/// Addresses of the replicas for calls, shared by both tasks.
#[derive(Clone, Debug)]
pub(super) struct Replicas {
    known: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

impl Replicas {
    pub(super) fn new(settings: &FleetSettings) -> Self {
        let seeds = settings.seed_calls().into_values().collect();
        Self {
            known: Arc::new(Mutex::new(seeds)),
        }
    }

    fn list(&self) -> Vec<SocketAddr> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.iter().copied().collect()
    }

    /// Takes over the members of the log.
    fn replace(&self, members: Vec<SocketAddr>) {
        if !members.is_empty() {
            *self.known.lock().unwrap_or_else(PoisonError::into_inner) = members.into_iter().collect();
        }
    }

    /// Adds seeds, which may be newer than what is known.
    fn add(&self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.extend(seeds);
    }
}

/// Follows the shared state until it is aborted.
pub(super) async fn follow(
    state: Arc<EntryState>,
    replicas: Replicas,
    token: Token,
    path: PathBuf,
) {
    let mut turn = rand::random_range(0..64_usize);
    loop {
        let known = replicas.list();
        for offset in 0..known.len() {
            let address = known[(turn + offset) % known.len()];
            let client = PeerClient::with_timeouts(address, token.clone(), TIMEOUTS);
            let lasted = follow_one(&state, &replicas, &client).await;
            if lasted {
                break;
            }
        }
        turn += 1;
        match FleetSettings::open(&path) {
            Ok(settings) => replicas.add(settings.seed_calls().into_values()),
            Err(e) => log::warn!("{}: {e}", path.display()),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Follows one replica until it fails; true if it answered at least once.
async fn follow_one(state: &EntryState, replicas: &Replicas, client: &PeerClient) -> bool {
    let mut answered = false;
    loop {
        let asked = state.now();
        let news: News = match client.call(FOLLOW, [state.seen()]).await {
            Ok(news) => news,
            Err(failure) => {
                if answered {
                    log::warn!("replica {} lost: {failure}", client.address());
                } else {
                    log::info!("replica {} does not answer: {failure}", client.address());
                }
                return answered;
            }
        };
        if !answered {
            log::info!("following replica {}", client.address());
            answered = true;
        }
        replicas.replace(news.replicas.clone());
        if let Err(failure) = state.learn(news, asked) {
            log::error!("news of replica {} are not usable: {failure}", client.address());
            return false;
        }
    }
}

/// Tells all replicas of this entry until it is aborted.
pub(super) async fn beacons(
    state: Arc<EntryState>,
    replicas: Replicas,
    callers: SocketAddr,
    settings: FleetSettings,
) {
    let socket = match UdpSocket::bind(SocketAddr::new(settings.ip, 0)).await {
        Ok(socket) => socket,
        Err(e) => {
            log::error!("cannot send beacons: {e}");
            return;
        }
    };
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let mut beacon = Beacon {
        callers,
        zone: settings.zone.clone(),
        accepting: false,
        stopping: false,
        // A clock before the epoch would make this start the oldest of all.
        born: since_epoch.map_or(0, |d| d.as_millis() as u64),
        sequence: 0,
    };
    loop {
        beacon.sequence += 1;
        beacon.stopping = state.is_stopping();
        beacon.accepting = !beacon.stopping && state.is_current();
        match postcard::to_stdvec(&beacon) {
            Ok(bytes) => {
                for address in replicas.list() {
                    let to = settings.beacons_at(address.ip());
                    if let Err(e) = socket.send_to(&bytes, to).await {
                        log::debug!("no beacon to {to}: {e}");
                    }
                }
            }
            Err(e) => log::error!("a beacon cannot be encoded: {e}"),
        }
        state.wait_for_stop(BEACON_PAUSE).await;
    }
}
