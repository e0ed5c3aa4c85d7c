//! Choice of the entries that arbitrate between the voters of the log.
//!
//! Arbiters are needed while there are more voters than the losses ask for. The leader names some of the
//! entries that it knows by their beacons, over all availability zones, and others in place of those that
//! are silent or have restarted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::future::join_all;
use pimentotide_consensus::Member;
use pimentotide_fleet::FleetState;
use pimentotide_instance::replica::{ReplicaHandle, ReplicaStatus};
use pimentotide_instance::{ArbiterClient, Token};
use pimentotide_model::InstanceName;

use super::roster::Roster;

/// Maximum number of arbiters; four of them may be gone.
const MAX_ARBITERS: usize = 9;

/// Start of an entry, by the order of its beacons.
type EntryStart = (SocketAddr, u64);

/// Arbiters that this replica names when it leads; clones share them.
#[derive(Clone)]
pub(super) struct Arbiters {
    replica: ReplicaHandle<FleetState>,
    roster: Roster,
    token: Token,
    named: Arc<Mutex<BTreeMap<EntryStart, Member>>>,
}

impl Arbiters {
    pub(super) fn new(replica: ReplicaHandle<FleetState>, roster: Roster, token: Token) -> Self {
        Self {
            replica,
            roster,
            token,
            named: Arc::default(),
        }
    }

    /// Names arbiters if the log has surplus voters or is about to have some.
    pub(super) async fn renew(&self, status: &ReplicaStatus, min_voters: usize) {
        let config = &status.log.config;
        if config.learners.is_empty() && config.voters.len() <= min_voters {
            return;
        }
        let live = self.roster.entry_starts();
        let kept = {
            let mut named = self.lock();
            named.retain(|start, _| live.contains(start));
            named.clone()
        };
        let wanted = odd(live.len().min(MAX_ARBITERS));
        let missing = wanted.saturating_sub(kept.len());
        let others: Vec<_> = live.iter().filter(|e| !kept.contains_key(e)).collect();
        // The addresses of an availability zone follow each other.
        let chosen = (0..missing).filter_map(|n| others.get(n * others.len() / missing));
        let answers = join_all(chosen.map(|start| self.introduce(**start, status.address)));
        let mut members = kept;
        members.extend(answers.await.into_iter().flatten());
        self.lock().clone_from(&members);
        members = members.into_iter().take(wanted).collect();
        if members.len().is_multiple_of(2) {
            members.pop_last();
        }
        let named = members.into_values();
        let named = named.map(|m| (InstanceName::from(m.address.to_string()), m));
        self.replica.set_arbiters(named.collect());
    }

    /// Reads the identity of the start of an entry; `None` if it does not answer, or is of a version
    /// without arbiters.
    async fn introduce(&self, start: EntryStart, own: SocketAddr) -> Option<(EntryStart, Member)> {
        // All instances use the same ports.
        let address = SocketAddr::new(start.0.ip(), own.port());
        let client = ArbiterClient::connect(address, self.token.clone());
        match client.start().await {
            Ok(disk) => Some((start, Member { disk, address })),
            Err(failure) => {
                log::debug!("{address} cannot arbitrate: {failure}");
                None
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<EntryStart, Member>> {
        self.named.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the highest odd number up to `count`, or 0.
fn odd(count: usize) -> usize {
    if count.is_multiple_of(2) {
        count.saturating_sub(1)
    } else {
        count
    }
}
