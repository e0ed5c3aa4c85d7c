//! Coordinates expert placement in the group whose rank 0 is this agent's engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pimentotide_experts::{
    EngineReport, EvenLayout, ExpertDemand, Membership, Placement, PlacementChange, Switch,
    SwitchEnding, imbalance_even, plan_even,
};
use pimentotide_instance::Clock;
use pimentotide_model::Failure;
use pimentotide_observe::Metrics;

use super::super::beacon::Seat;
use super::super::unix_millis;
use super::engine::{EngineHandle, RankState};
use super::ranks::{Group, Peers, placement};
use crate::lines::ExpertsMoved;

/// Time between checks of the expert demand.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Ratio of maximum to mean rank load from which experts are moved.
///
/// Lower values are noise of a one-second window, and copies cost more than they save.
const TRIGGER_IMBALANCE: f64 = 1.3;
/// Ratio of maximum to mean rank load that a new placement aims for.
const TARGET_IMBALANCE: f64 = 1.1;
/// Minimum relative reduction of the maximum rank load for which experts are moved.
const MIN_GAIN_RATIO: f64 = 0.05;
/// Ratio of maximum to mean rank load that, in the newest sample alone, indicates a shift of demand.
const SHIFT_IMBALANCE: f64 = 1.6;
/// Maximum counts that all ranks together report per check, two bytes each.
///
/// Exceeded only if the minimum number of ranks already reports more.
const MAX_COUNTS: usize = 12_000;
/// Minimum ranks asked for counts per check.
const MIN_COUNTED_RANKS: usize = 4;
/// Maximum ranks asked for counts per check.
const MAX_COUNTED_RANKS: usize = 16;
/// Versions skipped after a refusal, in case an engine has a higher version than this clock yields.
const VERSION_SKIP: u64 = 10_000;

/// Coordinator of one group; idle while the engine is not rank 0 of an open group.
struct Coordinator {
    engine: EngineHandle,
    peers: Arc<Peers>,
    metrics: Metrics,
    demand: ExpertDemand,
    clock: Clock,
    /// Seat for which the demand was observed; `None` while not coordinating.
    seat: Option<Seat>,
    /// First rank asked for counts in the next check.
    next_rank: usize,
    /// Offset of versions above the time of day in ms.
    version_offset: u64,
    last_version: u64,
    /// Last placement that all ranks switched to; base of incremental orders.
    current: Option<Placement>,
}

/// Checks the placement periodically until the task is aborted.
pub(super) async fn coordinate(engine: EngineHandle, peers: Arc<Peers>, metrics: Metrics) {
    let mut coordinator = Coordinator {
        engine,
        peers,
        metrics,
        demand: ExpertDemand::default(),
        clock: Clock::start(),
        seat: None,
        next_rank: 0,
        version_offset: 0,
        last_version: 0,
        current: None,
    };
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if let Err(failure) = coordinator.check().await {
            log::info!("experts not rebalanced: {failure}");
        }
    }
}

impl Coordinator {
    async fn check(&mut self) -> Result<(), Failure> {
        let report = self.engine.report().await?;
        let Some(Membership {
            group,
            epoch,
            rank: 0,
            open: true,
        }) = report.membership.clone()
        else {
            self.seat = None;
            return Ok(());
        };
        let seat = Seat {
            group,
            epoch,
            rank: 0,
        };
        if self.seat.as_ref() != Some(&seat) {
            self.demand.restart();
            self.seat = Some(seat.clone());
        }
        let Some(group) = self.peers.group(&seat, report.size) else {
            return Ok(());
        };
        let counted = self.counted_ranks(usize::from(report.size));
        let states: Result<Vec<RankState>, Failure> =
            group.states(&counted).await.into_iter().collect();
        let states = states?;
        let Some(first) = states.first() else {
            return Ok(());
        };
        if states.iter().any(|s| !is_from(&s.report, &seat)) {
            return Ok(());
        }
        let chosen = states.iter().filter_map(|s| s.chosen.as_deref());
        self.demand.observe(chosen, self.clock.now());
        let placement = placement(states.iter().map(|s| &s.held));
        let steady = states.iter().all(|s| s.held.version == first.held.version);
        let armed = states.iter().any(|s| s.report.armed.is_some());
        if let Some(step) = first.report.held {
            let version = self.next_version(&states);
            group
                .release(step, version, placement, "left held back")
                .await;
        } else if steady && !armed {
            self.rebalance(group, &states, placement).await;
        }
        Ok(())
    }

    /// Returns the ranks asked for counts in this check.
    ///
    /// The capacity of the links bounds their number, so the ranks are asked in turn.
    fn counted_ranks(&mut self, size: usize) -> Vec<usize> {
        let counts_per_rank = self.demand.len().max(1);
        let count = (MAX_COUNTS / counts_per_rank)
            .clamp(MIN_COUNTED_RANKS, MAX_COUNTED_RANKS)
            .min(size);
        let first = self.next_rank;
        self.next_rank = (first + count) % size.max(1);
        (0..count).map(|offset| (first + offset) % size).collect()
    }

    /// Switches the group to a better placement if there is one.
    async fn rebalance(&mut self, group: Group, states: &[RankState], old: Placement) {
        let (Some(counts), Some(capacity)) = (self.demand.counts(), self.peers.capacity()) else {
            return;
        };
        let layers = old.len().max(1);
        let layout = EvenLayout {
            ranks: states.len(),
            experts: counts.len() / layers,
            places: capacity.places,
            spare: capacity.spare,
        };
        let recent = self
            .demand
            .newest()
            .filter(|c| imbalance_even(&layout, &old, c) >= SHIFT_IMBALANCE);
        let counts = recent.map_or(counts, <[f64]>::to_vec);
        if imbalance_even(&layout, &old, &counts) < TRIGGER_IMBALANCE {
            return;
        }
        let plan = plan_even(&layout, &old, &counts, TARGET_IMBALANCE);
        if plan.after > plan.before * (1.0 - MIN_GAIN_RATIO) {
            return;
        }
        let start = Instant::now();
        let switch = Switch {
            epoch: group.seat.epoch,
            version: self.next_version(states),
            old,
            new: plan.placement,
        };
        let previous = self.current.take();
        let change = previous.and_then(|old| PlacementChange::between(&old, &switch.new));
        let group = match change {
            Some(change) => group.with_change(switch.version, change),
            None => group,
        };
        let ending = switch.run(&group).await;
        let name = match ending {
            SwitchEnding::Switched(_) => "switched",
            SwitchEnding::NotPrepared => "not_prepared",
            SwitchEnding::NotHeld => "not_held",
            SwitchEnding::Undone => "undone",
            SwitchEnding::GivenUp => "given_up",
        };
        self.metrics.count("agent.switches", ("ending", name), 1);
        self.metrics
            .time("agent.switch", ("ending", name), start.elapsed());
        match ending {
            SwitchEnding::NotPrepared => self.version_offset += VERSION_SKIP,
            SwitchEnding::Switched(_) => {
                self.demand.restart();
                self.current = Some(switch.new);
            }
            SwitchEnding::NotHeld | SwitchEnding::Undone | SwitchEnding::GivenUp => {}
        }
        let moved = ExpertsMoved {
            group: group.seat.group.clone(),
            epoch: group.seat.epoch,
            version: switch.version,
            before: plan.before,
            after: plan.after,
            copies: plan.copies,
            ending: ending.to_string(),
            took_ms: start.elapsed().as_millis(),
        };
        pimentotide_observe::event(&moved);
    }

    /// Returns a version above all earlier ones, by the clock and by the reports of the ranks.
    fn next_version(&mut self, states: &[RankState]) -> u64 {
        let clock = unix_millis() + self.version_offset;
        let used = states
            .iter()
            .flat_map(|s| [s.report.map, s.report.prepared.unwrap_or(0)]);
        // A switch uses its version and the next one.
        self.last_version = clock
            .max(used.max().unwrap_or(0) + 1)
            .max(self.last_version + 2);
        self.last_version
    }
}

/// Returns whether a report comes from the group and epoch of `seat`, with the group open.
fn is_from(report: &EngineReport, seat: &Seat) -> bool {
    let membership = report.membership.as_ref();
    membership.is_some_and(|m| m.group == seat.group && m.epoch == seat.epoch && m.open)
}
