//! Replica side: answers watch requests and grants leases.

use pimentotide_model::{ErrorKind, Time};

use super::LEASE;
use super::message::{Update, WatchAnswer, WatchRequest};
use crate::directory::Registry;
use crate::machine::Machine;

/// Evidence that a replica's applied state was current.
///
/// It may be constructed only once a quorum has acknowledged a round that began
/// at `started`, and everything committed by then has been applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Start of the round, on the replica's clock.
    pub started: Time,
}

/// Whether the holder lacks a part of the configuration or of the directory.
pub fn has_update(
    machine: &Machine,
    registry: &Registry,
    request: &WatchRequest,
    now: Time,
) -> bool {
    let configuration = machine.configuration();
    let same = request.held.is_some_and(|held| {
        held.revision == configuration.revision && held.digest == configuration.digest()
    });
    let upstreams = request.directory && registry.has_update(request.mark, now);
    !same || upstreams
}

/// Answers a watch request with a lease counted from the confirmation.
///
/// # Errors
///
/// Fails with `NotCurrent` if the confirmation is at least as old as a lease, and
/// with `StaleRevision` if the holder has a newer revision than this replica.
pub fn grant(
    machine: &Machine,
    registry: &Registry,
    confirmation: Confirmation,
    request: &WatchRequest,
    now: Time,
) -> Result<WatchAnswer, ErrorKind> {
    let lease = LEASE.saturating_sub(now.since(confirmation.started));
    if lease.is_zero() {
        return Err(ErrorKind::NotCurrent);
    }
    if request
        .held
        .is_some_and(|h| h.revision > machine.revision())
    {
        return Err(ErrorKind::StaleRevision);
    }
    let floor = request.upstream.as_ref().map(|u| machine.fence_floor(u));
    let directory = request
        .directory
        .then(|| registry.update_since(request.mark, now));
    Ok(WatchAnswer {
        revision: machine.revision(),
        digest: machine.configuration().digest(),
        update: update_for(machine, request),
        lease,
        floor: floor.unwrap_or_default(),
        directory,
    })
}

fn update_for(machine: &Machine, request: &WatchRequest) -> Update {
    let whole = || Update::Whole(machine.declarations().clone());
    let Some(held) = request.held else {
        return whole();
    };
    if held.revision == machine.revision() {
        let same = held.digest == machine.configuration().digest();
        return if same { Update::Same } else { whole() };
    }
    machine
        .changes_after(held.revision)
        .map_or_else(whole, Update::Changes)
}
