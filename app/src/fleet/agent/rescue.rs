//! Resumes a group whose coordinator failed while a pass was held.
//!
//! The agent of the next rank detects that its engine has work but makes no
//! passes. If a pass is held, the agent fences off the old coordinator under a
//! higher version, disarms the ranks and releases the pass. It does not wait for
//! the agent of rank 0, which is the one that failed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pimentotide_experts::{EngineReport, Ranks};

use super::super::beacon::Seat;
use super::super::unix_millis;
use super::engine::EngineHandle;
use super::peers::Peers;
use super::ranks::Group;

/// Rank whose agent coordinates the group.
const COORDINATOR_RANK: usize = 0;
/// Versions reserved for orders that an unresponsive coordinator may still send.
const VERSION_MARGIN: u64 = 100;
/// Time between checks of the local engine.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a pass after which rank 1 takes over; a switch holds passes for a fraction of it.
const STUCK_TIMEOUT: Duration = Duration::from_millis(300);
/// Additional delay per further rank; longer than a rescue takes, because a second one ends the first.
const RANK_DELAY: Duration = Duration::from_millis(1_500);
/// Delay per rank before another attempt, in which the rescue of another rank can end.
const RETRY_DELAY: Duration = Duration::from_millis(1_500);
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
            && rescue(&group).await
        {
            tokio::time::sleep(RETRY_DELAY * u32::from(seat.rank)).await;
        }
    }
}

fn is_stuck(report: &EngineReport, rank: u16, stuck_for: Duration) -> bool {
    let open = report.membership.as_ref().is_some_and(|m| m.open);
    let work = report.running + report.waiting > 0;
    open && work && stuck_for >= STUCK_TIMEOUT + RANK_DELAY * u32::from(rank - 1)
}

/// Releases the group if a pass is held; returns whether one was.
async fn rescue(group: &Group) -> bool {
    group.avoid_agent(COORDINATOR_RANK);
    let report = group.report(group.holder()).await;
    let Some((report, step)) = report.and_then(|r| r.held.map(|step| (r, step))) else {
        return false;
    };
    let highest = report
        .map
        .max(report.armed.unwrap_or(0))
        .max(report.prepared.unwrap_or(0));
    let version = unix_millis().max(highest + VERSION_MARGIN);
    group.rescue(step, version).await;
    true
}
