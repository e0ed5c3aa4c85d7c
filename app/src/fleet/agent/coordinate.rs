//! Coordinates expert placement in the group whose rank 0 is this agent's engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pimentotide_experts::{
    ChangeTimes, DIRECT_WINDOW, EngineReport, EvenLayout, ExpertDemand, HeldExperts, Placement,
    PlacementChange, RELAYED_WINDOW, Switch, SwitchEnding, Urgency, imbalance_even, plan_even,
    plan_urgent,
};
use pimentotide_instance::Clock;
use pimentotide_model::Failure;
use pimentotide_observe::Metrics;

use super::super::beacon::Seat;
use super::super::rpc::RankCapacity;
use super::super::unix_millis;
use super::engine::{EngineHandle, RankState};
use super::peers::Peers;
use super::ranks::{Group, Survey, placement};
use crate::lines::ExpertsMoved;

/// Time between checks of the expert demand.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Time between checks in a group whose messages are relayed.
const RELAYED_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Ratio of maximum to mean rank load that a new placement aims for.
const TARGET_IMBALANCE: f64 = 1.1;
/// Minimum relative reduction of the maximum rank load for which experts are moved.
const MIN_GAIN_RATIO: f64 = 0.05;
/// Time for which the agents of other ranks may release a pass that is left held, if they do so at all.
const RESCUE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time of a change beside its copies before one has been observed.
const INITIAL_OVERHEAD: Duration = Duration::from_millis(100);
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
    /// Offset of versions above the time of day in ms.
    version_offset: u64,
    last_version: u64,
    /// Time after which this agent releases a pass that is left held.
    rescue_timeout: Duration,
    /// Pass that is left held, and when it was first seen.
    left_held: Option<(u64, Instant)>,
    /// Placement that all ranks use, as last read or switched to.
    known: Option<KnownPlacement>,
    /// Usual time of a change beside its copies.
    overhead: Duration,
    /// Whether the agents of the ranks received the known placement, so that changes apply to it.
    ranks_have_known: bool,
}

/// Placement of a group, identified by epoch and version.
struct KnownPlacement {
    epoch: u64,
    version: u64,
    placement: Placement,
}

/// Checks the placement periodically until the task is aborted.
///
/// `rescued` says whether the agents of other ranks release a pass that is left held.
pub(super) async fn coordinate(
    engine: EngineHandle,
    peers: Arc<Peers>,
    metrics: Metrics,
    rescued: bool,
) {
    let mut coordinator = Coordinator {
        engine,
        peers,
        metrics,
        demand: ExpertDemand::default(),
        clock: Clock::start(),
        seat: None,
        version_offset: 0,
        last_version: 0,
        rescue_timeout: if rescued {
            RESCUE_TIMEOUT
        } else {
            Duration::ZERO
        },
        left_held: None,
        known: None,
        overhead: INITIAL_OVERHEAD,
        ranks_have_known: false,
    };
    let mut interval = CHECK_INTERVAL;
    loop {
        tokio::time::sleep(interval).await;
        match coordinator.check().await {
            Ok(next) => interval = next,
            Err(failure) => log::info!("experts not rebalanced: {failure}"),
        }
    }
}

impl Coordinator {
    /// Surveys the group and switches it if needed; returns the time until the next check.
    async fn check(&mut self) -> Result<Duration, Failure> {
        let leads = |report: &EngineReport, seat: &Seat| seat.rank == 0 && is_from(report, seat);
        let latest = self.engine.latest_report();
        let Some((report, seat)) = latest.filter(|(report, seat)| leads(report, seat)) else {
            self.seat = None;
            return Ok(CHECK_INTERVAL);
        };
        if self.seat.as_ref() != Some(&seat) {
            self.demand.restart();
            self.seat = Some(seat.clone());
        }
        let Some(group) = self.peers.group(&seat, report.size) else {
            return Ok(CHECK_INTERVAL);
        };
        let interval = if group.is_relayed() {
            RELAYED_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        let known = self.known.as_ref().filter(|k| k.epoch == seat.epoch);
        let Survey { states, chosen } = group.survey(known.is_none()).await?;
        let Some(first) = states.first() else {
            return Ok(interval);
        };
        if states.iter().any(|s| !is_from(&s.report, &seat)) {
            return Ok(interval);
        }
        self.demand.observe(&chosen, self.clock.now());
        let early = self.demand.next_sample(interval);
        if early < interval {
            self.metrics.count("agent.surveys", ("reason", "shift"), 1);
        }
        let interval = early;
        let steady = states.iter().all(|s| s.report.map == first.report.map);
        let Some(placement) = self.placement(&seat, &states, steady) else {
            return Ok(interval);
        };
        let armed = states.iter().any(|s| s.report.armed.is_some());
        if let Some(step) = states.iter().find_map(|s| s.report.held) {
            if self.is_abandoned(step) {
                let version = self.next_version(&states);
                group
                    .release(step, version, placement, "left held back")
                    .await;
            }
        } else if steady && !armed {
            self.rebalance(group, &states, placement).await;
        }
        Ok(interval)
    }

    /// Whether a pass has been left held for longer than others need to release it.
    fn is_abandoned(&mut self, step: u64) -> bool {
        let now = Instant::now();
        let seen = self.left_held.filter(|(held, _)| *held == step);
        let (_, since) = *self.left_held.insert(seen.unwrap_or((step, now)));
        now.duration_since(since) >= self.rescue_timeout
    }

    /// Returns the placement in use; `None` if it has to be read first.
    fn placement(&mut self, seat: &Seat, states: &[RankState], steady: bool) -> Option<Placement> {
        let version = states.first()?.report.map;
        if let Some(known) = &self.known
            && steady
            && (known.epoch, known.version) == (seat.epoch, version)
        {
            return Some(known.placement.clone());
        }
        self.known = None;
        self.ranks_have_known = false;
        let held: Option<Vec<&HeldExperts>> = states.iter().map(|s| s.held.as_ref()).collect();
        let held = held?;
        let placement = placement(held.iter().copied());
        if held.iter().all(|h| h.version == version) {
            self.known = Some(KnownPlacement {
                epoch: seat.epoch,
                version,
                placement: placement.clone(),
            });
        }
        Some(placement)
    }

    /// Switches the group to a better placement if there is one.
    async fn rebalance(&mut self, group: Group, states: &[RankState], old: Placement) {
        let (Some(counts), Some(capacity)) = (self.demand.counts(), self.peers.capacity()) else {
            return;
        };
        let layers = old.len().max(1);
        let mut layout = EvenLayout {
            ranks: states.len(),
            experts: counts.len() / layers,
            places: capacity.places,
            spare: capacity.spare,
            copies: 0,
        };
        let paces: Vec<f64> = states.iter().map(|s| s.report.pace).collect();
        let imbalance = imbalance_even(&layout, &old, &counts, &paces);
        let window = if group.is_relayed() {
            RELAYED_WINDOW
        } else {
            DIRECT_WINDOW
        };
        let Some(urgency) = Urgency::of(imbalance, self.demand.span(), window) else {
            return;
        };
        layout.copies = max_copies(&capacity, layers, urgency.copy_time(capacity.copy_time));
        let times = ChangeTimes {
            copy: capacity.copy_time,
            overhead: self.overhead,
        };
        let plan = match urgency {
            Urgency::Urgent => plan_urgent(&layout, &old, &counts, &paces, TARGET_IMBALANCE, times),
            Urgency::Ordinary => plan_even(&layout, &old, &counts, &paces, TARGET_IMBALANCE),
        };
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
        let change = PlacementChange::between(&switch.old, &switch.new);
        let change = change.filter(|_| self.ranks_have_known);
        let reverse = PlacementChange::between(&switch.new, &switch.old);
        let group = group
            .with_urgency(urgency)
            .with_change(switch.version, change)
            .with_change(switch.rollback_version(), reverse);
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
                let copying = capacity.copy_time * plan.rank_copies as u32;
                self.overhead = (self.overhead + start.elapsed().saturating_sub(copying)) / 2;
                self.known = Some(KnownPlacement {
                    epoch: switch.epoch,
                    version: switch.version,
                    placement: switch.new,
                });
                self.ranks_have_known = true;
            }
            SwitchEnding::NotHeld | SwitchEnding::Undone | SwitchEnding::GivenUp => {
                self.known = None;
            }
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

/// Returns the number of experts that a rank can receive within `time`, at least one.
fn max_copies(capacity: &RankCapacity, layers: usize, time: Duration) -> usize {
    let most = capacity.spare * layers;
    let copies = time.as_nanos() / capacity.copy_time.as_nanos().max(1);
    usize::try_from(copies)
        .unwrap_or(most)
        .clamp(1, most.max(1))
}

/// Returns whether a report comes from the group and epoch of `seat`, with the group open.
fn is_from(report: &EngineReport, seat: &Seat) -> bool {
    let membership = report.membership.as_ref();
    membership.is_some_and(|m| m.group == seat.group && m.epoch == seat.epoch && m.open)
}
