//! Resumes a group whose coordinator failed while a pass was held.
//!
//! The agent of the next rank detects that its engine has work but makes no
//! passes. If rank 0 holds a pass, the agent undoes the switch under a higher
//! version, which fences off the old coordinator, and releases the pass. It
//! reaches rank 0 without the agent there, which is the one that failed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use pimentotide_experts::{EngineReport, Ranks};
use pimentotide_model::Failure;

use super::super::beacon::Seat;
use super::super::unix_millis;
use super::engine::EngineHandle;
use super::ranks::{Group, Peers, placement};

/// Time between checks of the local engine.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a pass after which rank 1 takes over; a switch holds passes for a fraction of it.
const STUCK_TIMEOUT: Duration = Duration::from_millis(300);
/// Additional delay per further rank, so that one rank takes over at a time.
const RANK_DELAY: Duration = Duration::from_millis(600);
/// Highest rank that takes over.
pub(super) const MAX_RESCUE_RANK: u16 = 3;

/// Watches the local engine until the task is aborted.
pub(super) async fn watch(engine: EngineHandle, peers: Arc<Peers>) {
    let mut last: Option<(Seat, u64, Instant)> = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some((report, seat)) = engine.latest_report() else {
            continue;
        };
        if seat.rank == 0 || seat.rank > MAX_RESCUE_RANK {
            continue;
        }
        let position = (seat.clone(), report.step);
        match &last {
            Some((seat, step, _)) if (seat, *step) == (&position.0, position.1) => {}
            _ => last = Some((position.0, position.1, Instant::now())),
        }
        let stuck_for = last
            .as_ref()
            .map_or(Duration::ZERO, |(_, _, since)| since.elapsed());
        if !is_stuck(&report, seat.rank, stuck_for) {
            continue;
        }
        if let Some(group) = peers.group(&seat, report.size)
            && let Err(failure) = rescue(&group).await
        {
            log::warn!("cannot release the held pass: {failure}");
        }
    }
}

fn is_stuck(report: &EngineReport, rank: u16, stuck_for: Duration) -> bool {
    let open = report.membership.as_ref().is_some_and(|m| m.open);
    let work = report.running + report.waiting > 0;
    open && work && stuck_for >= STUCK_TIMEOUT + RANK_DELAY * u32::from(rank - 1)
}

async fn rescue(group: &Group) -> Result<(), Failure> {
    group.avoid_agent(0);
    let Some(first) = group.report(0).await else {
        return Ok(());
    };
    let Some(step) = first.held else {
        return Ok(());
    };
    let held = join_all((0..group.size()).map(|rank| group.held(rank))).await;
    let held = held.into_iter().collect::<Result<Vec<_>, _>>()?;
    let placement = placement(&held);
    let highest = first
        .map
        .max(first.armed.unwrap_or(0))
        .max(first.prepared.unwrap_or(0));
    let version = unix_millis().max(highest + VERSION_MARGIN);
    group
        .release(step, version, placement, "the coordinator is silent")
        .await;
    Ok(())
}

/// Versions reserved for orders that an unresponsive coordinator may still send.
const VERSION_MARGIN: u64 = 100;
