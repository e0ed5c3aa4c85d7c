//! Follows the shared state through one replica at a time, and tells all of them of this entry.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use pimentotide_instance::{PeerClient, PeerTimeouts, Token};

use super::super::FleetSettings;
use super::super::beacon::{EntryBeacon, Order};
use super::super::datagram::Sender;
use super::super::news::{FOLLOW, News};
use super::super::replicas::Replicas;
use super::state::EntryState;
use crate::lines::{ReplicaFollowed, ReplicaLost};

/// Pause between beacons.
const BEACON_PAUSE: Duration = Duration::from_millis(400);
/// Pause after all replicas have failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long an entry waits for a replica; three replicas are asked within a lease.
const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(250),
    call: Duration::from_millis(900),
    retry_delay: Duration::from_millis(50),
    idle: Duration::from_millis(1_500),
};

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
        replicas.add_seeds(&path);
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
        replicas.replace(&news.replicas);
        if let Err(failure) = state.learn(news, asked) {
            log::error!(
                "news of replica {} are not usable: {failure}",
                client.address()
            );
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
    let Some(sender) = Sender::bind(settings.ip).await else {
        return;
    };
    let mut order = Order::start();
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
        state.wait_for_stop(BEACON_PAUSE).await;
    }
}
