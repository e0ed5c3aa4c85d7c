//! Follows the shared state through one replica at a time, and announces this entry to all.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use pimentotide_instance::{PeerClient, PeerTimeouts, Token};

use super::super::FleetSettings;
use super::super::beacon::{BeaconVersion, EntryBeacon};
use super::super::datagram::Sender;
use super::super::replicas::Replicas;
use super::super::rpc::{FOLLOW, StateUpdate};
use super::state::EntryState;
use crate::lines::{ReplicaFollowed, ReplicaLost};

/// Time between beacons.
const BEACON_INTERVAL: Duration = Duration::from_millis(400);
/// Delay before following a replica again, after one was lost or all failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeouts of calls to a replica; three replicas can be tried within a lease.
const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(250),
    call: Duration::from_millis(900),
    retry_delay: Duration::from_millis(50),
    idle: Duration::from_millis(1_500),
};

/// Follows the shared state until the task is aborted.
pub(super) async fn follow(
    state: Arc<EntryState>,
    replicas: Replicas,
    token: Token,
    path: PathBuf,
) {
    let mut turn = rand::random_range(0..64_usize);
    loop {
        let addresses = replicas.list();
        for offset in 0..addresses.len() {
            let address = addresses[(turn + offset) % addresses.len()];
            let client = PeerClient::with_timeouts(address, token.clone(), TIMEOUTS);
            let answered = follow_one(&state, &replicas, &client).await;
            if answered {
                break;
            }
        }
        turn += 1;
        replicas.add_seeds(&path);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Follows one replica until it fails; returns whether it answered at least once.
async fn follow_one(state: &EntryState, replicas: &Replicas, client: &PeerClient) -> bool {
    let mut answered = false;
    loop {
        let asked_at = state.now();
        let update: StateUpdate = match client.call(FOLLOW, [state.seen()]).await {
            Ok(update) => update,
            Err(failure) => {
                pimentotide_observe::event(&ReplicaLost {
                    replica: client.address().to_string(),
                    followed: answered,
                    detail: failure.to_string(),
                });
                return answered;
            }
        };
        if !answered {
            pimentotide_observe::event(&ReplicaFollowed {
                replica: client.address().to_string(),
            });
            answered = true;
        }
        replicas.replace(&update.replicas);
        if let Err(failure) = state.apply_update(update, asked_at) {
            log::error!(
                "unusable update from replica {}: {failure}",
                client.address()
            );
            return false;
        }
    }
}

/// Sends beacons to all replicas until the task is aborted.
pub(super) async fn send_beacons(
    state: Arc<EntryState>,
    replicas: Replicas,
    callers: SocketAddr,
    settings: FleetSettings,
) {
    let Some(sender) = Sender::bind(settings.ip).await else {
        return;
    };
    let mut order = BeaconVersion::start();
    loop {
        let stopping = state.is_stopping();
        let beacon = EntryBeacon {
            callers,
            accepting: !stopping && state.is_current(),
            stopping,
            order: order.advance(),
        };
        let to = replicas
            .list()
            .into_iter()
            .map(|a| settings.beacons_at(a.ip()));
        sender.send(&beacon.into(), to).await;
        state.wait_for_stop(BEACON_INTERVAL).await;
    }
}
