//! Resumes a group whose coordinator failed while a pass was held.
//!
//! The agent of the next rank detects that its engine holds a pass and the coordinator's
//! process is gone, or that its engine has work but makes no passes (`StuckWatch`).
//! If a pass is held, the agent fences off the old coordinator under a higher
//! version, disarms the ranks and releases the pass. It does not wait for the agent of
//! rank 0, which is the one that failed.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_experts::{MAX_RESCUE_RANK, Ranks, StuckAction, StuckWatch};
use pimentotide_instance::Clock;
use pimentotide_observe::Metrics;

use super::super::unix_millis;
use super::engine::EngineHandle;
use super::peers::Peers;
use super::ranks::Group;

/// Rank whose agent coordinates the group.
const COORDINATOR_RANK: usize = 0;
/// Versions reserved for orders that an unresponsive coordinator may still send.
const VERSION_MARGIN: u64 = 100;
/// Delay per rank before another attempt, in which the rescue of another rank can end.
const RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Watches the local engine until the task is aborted.
pub(super) async fn watch(engine: EngineHandle, peers: Arc<Peers>, metrics: Metrics) {
    let clock = Clock::start();
    let mut stuck = StuckWatch::default();
    loop {
        tokio::time::sleep(stuck.interval(engine.is_ordered())).await;
        let seat = engine.seat();
        if seat.is_none_or(|s| s.rank == 0 || s.rank > MAX_RESCUE_RANK) {
            continue;
        }
        if stuck.is_alert(engine.is_ordered())
            && let Err(failure) = engine.report().await
        {
            log::debug!("no engine report: {failure}");
        }
        let Some((report, seat)) = engine.latest_report() else {
            continue;
        };
        let action = stuck.observe(&report, clock.now());
        if action == StuckAction::Wait {
            continue;
        }
        let Some(group) = peers.group(&seat, report.size) else {
            continue;
        };
        let (name, reason) = if action == StuckAction::Probe {
            let outcome = group.probe_agent(COORDINATOR_RANK).await;
            if !stuck.record_probe(outcome) {
                continue;
            }
            ("dead", "the coordinator accepts no connections")
        } else {
            ("silent", "the coordinator is silent")
        };
        if rescue(&group, reason).await {
            metrics.count("agent.rescues", ("coordinator", name), 1);
            tokio::time::sleep(RETRY_DELAY * u32::from(seat.rank)).await;
        }
    }
}

/// Releases the group if a pass is held; returns whether one was.
async fn rescue(group: &Group, reason: &'static str) -> bool {
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
    group.rescue(step, version, reason).await;
    true
}
