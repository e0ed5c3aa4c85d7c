//! Lets a group go on whose coordinator has left a pass held back.
//!
//! The agent of the next rank sees that its engine has work and makes no passes.
//! If rank 0 holds a pass back, it undoes the switch under a higher version,
//! which shuts the old coordinator out, and lets the pass go.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use pimentotide_experts::{EngineReport, Ranks};
use pimentotide_model::Failure;

use super::super::beacon::Seat;
use super::super::unix_millis;
use super::engine::EngineHandle;
use super::ranks::{Group, Peers, placement};

/// Pause between looks at the own engine.
const PAUSE: Duration = Duration::from_millis(150);
/// Time without a pass after which rank 1 steps in; a switch holds passes back for a small part of it.
const STUCK: Duration = Duration::from_millis(400);
/// Further time for each further rank, so that one steps in at a time.
const RANK_PAUSE: Duration = Duration::from_millis(600);
/// Highest rank that steps in.
const MOST_RANK: u16 = 3;

/// Watches the own engine until it is aborted.
pub(super) async fn watch(engine: EngineHandle, peers: Arc<Peers>) {
    let mut last: Option<(Seat, u64, Instant)> = None;
    loop {
        tokio::time::sleep(PAUSE).await;
        let Some((report, seat)) = engine.newest() else {
            continue;
        };
        if seat.rank == 0 || seat.rank > MOST_RANK {
            continue;
        }
        let at = (seat.clone(), report.step);
        match &last {
            Some((seat, step, _)) if (seat, *step) == (&at.0, at.1) => {}
            _ => last = Some((at.0, at.1, Instant::now())),
        }
        let stuck = last
            .as_ref()
            .map_or(Duration::ZERO, |(_, _, since)| since.elapsed());
        if !is_stuck(&report, seat.rank, stuck) {
            continue;
        }
        if let Some(group) = peers.group(&seat, report.size)
            && let Err(failure) = rescue(&group).await
        {
            log::warn!("the group cannot be let go: {failure}");
        }
    }
}

fn is_stuck(report: &EngineReport, rank: u16, stuck: Duration) -> bool {
    let open = report.membership.as_ref().is_some_and(|m| m.open);
    let work = report.running + report.waiting > 0;
    open && work && stuck >= STUCK + RANK_PAUSE * u32::from(rank - 1)
}

async fn rescue(group: &Group) -> Result<(), Failure> {
    let Some(first) = group.report(0).await else {
        return Ok(());
    };
    let Some(step) = first.held else {
        return Ok(());
    };
    let held = join_all((0..group.size()).map(|rank| group.held(rank))).await;
    let held = held.into_iter().collect::<Result<Vec<_>, _>>()?;
    let placement = placement(&held);
    let known = first
        .map
        .max(first.armed.unwrap_or(0))
        .max(first.prepared.unwrap_or(0));
    let version = unix_millis().max(known + VERSION_LEAD);
    group
        .release(step, version, placement, "the coordinator is silent")
        .await;
    Ok(())
}

/// Versions left to a coordinator that is silent for what it may still order.
const VERSION_LEAD: u64 = 100;
