//! Coordinates the group whose rank 0 is the engine beside this agent.

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
use super::engine::{EngineHandle, Look};
use super::ranks::{Group, Peers, placement};
use crate::lines::ExpertsMoved;

/// Pause between looks at the demand.
const PAUSE: Duration = Duration::from_millis(200);
/// Most loaded rank over the mean from which experts are moved.
///
/// Below it lies the noise of a window of a second, and copies cost more than they save.
const TRIGGER: f64 = 1.3;
/// Most loaded rank over the mean that a change aims at.
const GOAL: f64 = 1.1;
/// Least relative fall of the most loaded rank's part for which experts are moved.
const LEAST_GAIN: f64 = 0.05;
/// Most loaded rank over the mean, in the newest sample alone, that shows that demand has moved.
const MOVED: f64 = 1.6;
/// Numbers that all ranks together tell in one look, two bytes each.
const MOST_NUMBERS: usize = 12_000;
/// Fewest ranks asked for counts in one look.
const LEAST_COUNTED: usize = 4;
/// Most ranks asked for counts in one look.
const MOST_COUNTED: usize = 16;
/// Versions skipped after a refusal, in case an engine knows a higher one than this clock.
const VERSION_SKIP: u64 = 10_000;

/// Coordinator of one group.
struct Coordinator {
    engine: EngineHandle,
    peers: Arc<Peers>,
    metrics: Metrics,
    demand: ExpertDemand,
    clock: Clock,
    /// Seat for which the demand was observed.
    seat: Option<Seat>,
    /// First rank asked for counts next time.
    turn: usize,
    /// Versions start above the time of day by this much.
    skip: u64,
    last: u64,
    /// Placement that all ranks have switched to last.
    sent: Option<Placement>,
}

/// Coordinates until it is aborted.
pub(super) async fn coordinate(engine: EngineHandle, peers: Arc<Peers>, metrics: Metrics) {
    let mut coordinator = Coordinator {
        engine,
        peers,
        metrics,
        demand: ExpertDemand::default(),
        clock: Clock::start(),
        seat: None,
        turn: 0,
        skip: 0,
        last: 0,
        sent: None,
    };
    loop {
        tokio::time::sleep(PAUSE).await;
        if let Err(failure) = coordinator.look().await {
            log::info!("experts stay where they are: {failure}");
        }
    }
}

impl Coordinator {
    async fn look(&mut self) -> Result<(), Failure> {
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
        let counted = self.counted(usize::from(report.size));
        let looks: Result<Vec<Look>, Failure> = group.look(&counted).await.into_iter().collect();
        let looks = looks?;
        let Some(first) = looks.first() else {
            return Ok(());
        };
        if looks.iter().any(|l| !is_in(&l.report, &seat)) {
            return Ok(());
        }
        let chosen = looks.iter().filter_map(|l| l.chosen.as_deref());
        self.demand.observe(chosen, self.clock.now());
        let placement = placement(looks.iter().map(|l| &l.held));
        let steady = looks.iter().all(|l| l.held.version == first.held.version);
        let armed = looks.iter().any(|l| l.report.armed.is_some());
        if let Some(step) = first.report.held {
            let version = self.version(&looks);
            group
                .release(step, version, placement, "left held back")
                .await;
        } else if steady && !armed {
            self.improve(group, &looks, placement).await;
        }
        Ok(())
    }

    /// Ranks asked for counts this time: as many as the links bear, all in turn.
    fn counted(&mut self, size: usize) -> Vec<usize> {
        let numbers = self.demand.len().max(1);
        let count = (MOST_NUMBERS / numbers)
            .clamp(LEAST_COUNTED, MOST_COUNTED)
            .min(size);
        let first = self.turn;
        self.turn = (first + count) % size.max(1);
        (0..count).map(|offset| (first + offset) % size).collect()
    }

    /// Moves the group to a better map if there is one.
    async fn improve(&mut self, group: Group, looks: &[Look], old: Placement) {
        let (Some(counts), Some(shape)) = (self.demand.counts(), self.peers.shape()) else {
            return;
        };
        let layers = old.len().max(1);
        let layout = EvenLayout {
            ranks: looks.len(),
            experts: counts.len() / layers,
            places: shape.places,
            spare: shape.spare,
        };
        let recent = self
            .demand
            .newest()
            .filter(|c| imbalance_even(&layout, &old, c) >= MOVED);
        let counts = recent.map_or(counts, <[f64]>::to_vec);
        if imbalance_even(&layout, &old, &counts) < TRIGGER {
            return;
        }
        let plan = plan_even(&layout, &old, &counts, GOAL);
        if plan.after > plan.before * (1.0 - LEAST_GAIN) {
            return;
        }
        let start = Instant::now();
        let switch = Switch {
            epoch: group.seat.epoch,
            version: self.version(looks),
            old,
            new: plan.placement,
        };
        let sent = self.sent.take();
        let change = sent.and_then(|sent| PlacementChange::between(&sent, &switch.new));
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
            SwitchEnding::NotPrepared => self.skip += VERSION_SKIP,
            SwitchEnding::Switched(_) => {
                self.demand.restart();
                self.sent = Some(switch.new);
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

    /// Version above all that were ever used, by the clock and by what ranks report.
    fn version(&mut self, looks: &[Look]) -> u64 {
        let clock = unix_millis() + self.skip;
        let used = looks
            .iter()
            .flat_map(|l| [l.report.map, l.report.prepared.unwrap_or(0)]);
        // A switch uses its version and the next one.
        self.last = clock.max(used.max().unwrap_or(0) + 1).max(self.last + 2);
        self.last
    }
}

/// Whether a report comes from the group and epoch of `seat`.
fn is_in(report: &EngineReport, seat: &Seat) -> bool {
    let membership = report.membership.as_ref();
    membership.is_some_and(|m| m.group == seat.group && m.epoch == seat.epoch && m.open)
}
