//! Detects that a group stands still because its coordinator failed.
//!
//! Two signs count. A group that has work and begins no pass for a while is
//! stuck, whatever the cause. If in addition the engine of rank 1 holds a pass and
//! nobody accepts connections at the coordinator's address, the process has crashed and
//! there is nothing to wait for. A coordinator that accepts connections but does not
//! answer may be frozen or short of CPU time, which only a timeout can decide.

use std::time::Duration;

use pimentotide_model::Time;

use super::{EngineReport, Membership};

/// Highest rank whose agent takes over.
pub const MAX_RESCUE_RANK: u16 = 3;
/// Time without a pass after which rank 1 takes over; a switch holds passes for a fraction of it.
const STUCK_TIMEOUT: Duration = Duration::from_millis(300);
/// Additional delay per further rank; longer than a rescue takes, because a second one ends the first.
const RANK_DELAY: Duration = Duration::from_millis(1_500);
/// Consecutive failed connections from which the coordinator counts as crashed; one may be a transient fault.
const MAX_FAILED_PROBES: u32 = 2;
/// Time between checks of the local engine.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The same while a pass is held or orders arrive.
const ALERT_INTERVAL: Duration = Duration::from_millis(50);

/// What the agent does after a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StuckAction {
    /// Nothing.
    Wait,
    /// Probes the agent of the coordinator.
    Probe,
    /// Takes over.
    Rescue,
}

/// Answer of the coordinator's agent to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It answered, or did not answer in time.
    Connected,
    /// The connection failed.
    Unreachable,
}

/// Position of the local engine and since when it has not changed.
#[derive(Debug, Default)]
pub struct StuckWatch {
    last: Option<(Membership, u64, Time)>,
    /// Pass that the local engine holds.
    held: Option<u64>,
    failed_probes: u32,
}

impl StuckWatch {
    /// Time until the next check; `ordered` says whether orders have arrived lately.
    pub fn interval(&self, ordered: bool) -> Duration {
        if self.is_alert(ordered) {
            ALERT_INTERVAL
        } else {
            CHECK_INTERVAL
        }
    }

    /// Whether the next check needs a report as of then.
    pub fn is_alert(&self, ordered: bool) -> bool {
        ordered || self.held.is_some()
    }

    /// Evaluates a report of the local engine.
    pub fn observe(&mut self, report: &EngineReport, now: Time) -> StuckAction {
        let membership = report.membership.as_ref();
        let Some(seat) = membership.filter(|m| m.open && is_rescue_rank(m.rank)) else {
            *self = Self::default();
            return StuckAction::Wait;
        };
        let is_same =
            |(last, step, _): &(Membership, u64, Time)| last == seat && *step == report.step;
        let since = match self.last.take().filter(is_same) {
            Some((_, _, since)) => since,
            None => now,
        };
        self.last = Some((seat.clone(), report.step, since));
        if self.held != report.held {
            self.held = report.held;
            self.failed_probes = 0;
        }
        let has_work = report.running + report.waiting > 0;
        let limit = STUCK_TIMEOUT + RANK_DELAY * u32::from(seat.rank - 1);
        if has_work && now.since(since) >= limit {
            StuckAction::Rescue
        } else if seat.rank == 1 && report.held.is_some() {
            StuckAction::Probe
        } else {
            StuckAction::Wait
        }
    }

    /// Records a probe; returns whether to take over at once.
    pub fn record_probe(&mut self, outcome: ProbeOutcome) -> bool {
        self.failed_probes = match outcome {
            ProbeOutcome::Connected => 0,
            ProbeOutcome::Unreachable => self.failed_probes + 1,
        };
        self.failed_probes >= MAX_FAILED_PROBES
    }
}

fn is_rescue_rank(rank: u16) -> bool {
    (1..=MAX_RESCUE_RANK).contains(&rank)
}
