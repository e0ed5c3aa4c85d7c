//! Engines that are slower than normal: when an agent reports its own, and which ones a replica lists.
//!
//! An engine states its pace in its reports. Its agent sends it to all replicas while it is slow,
//! and for a while the normal one after that. A replica lists the latest report. Silence
//! ends both: an engine without a recent report counts as normal.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_model::Time;
use serde::{Deserialize, Serialize};

/// Pace from which an engine counts as slow, percent.
///
/// Above the pace from which plans of experts count it, so that the list does not follow noise.
pub const MIN_SLOW_PERCENT: u16 = 125;
/// Pace of a normal engine, percent.
const NORMAL_PERCENT: u16 = 100;
/// Greatest pace that is reported, percent.
const MAX_PERCENT: u16 = 60_000;
/// Time for which a normal pace is reported after a slow one; ten datagrams, of which one suffices.
const END_TIME: Duration = Duration::from_secs(2);
/// Maximum age of the engine's report from which its agent derives a pace.
///
/// The interval of the reports and the timeout of one.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// Relative change from which a pace replaces the one reported before; lower ones are noise.
const MIN_CHANGE_RATIO: f64 = 0.1;
/// Silence of an agent after which its engine is no longer listed; eight datagrams.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Silence of an agent after which the order of its datagrams is forgotten.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// Engine that is slower than normal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowEngine {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Time per unit of work relative to a normal engine, percent.
    pub pace: u16,
}

/// Decides what an agent reports about the pace of its engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowReporter {
    /// Pace reported last, percent; `None` if nothing is reported.
    reported: Option<u16>,
    /// Time at which the pace was found normal again.
    ended_at: Option<Time>,
}

impl SlowReporter {
    /// Returns the pace to report now, percent; `None` if there is nothing to report.
    ///
    /// `latest` is the pace in the engine's latest report, and when that was received.
    pub fn advance(&mut self, latest: Option<(f64, Time)>, now: Time) -> Option<u16> {
        let fresh = latest.filter(|(pace, at)| {
            pace.is_finite() && *at <= now && now.since(*at) <= MAX_REPORT_AGE
        });
        let (pace, _) = fresh?;
        let percent = (pace * f64::from(NORMAL_PERCENT)).clamp(0.0, f64::from(MAX_PERCENT)) as u16;
        if percent >= MIN_SLOW_PERCENT {
            let before = self.reported.filter(|before| is_similar(*before, percent));
            self.ended_at = None;
            self.reported = Some(before.unwrap_or(percent));
            return self.reported;
        }
        self.reported?;
        let ended_at = *self.ended_at.get_or_insert(now);
        if now.since(ended_at) >= END_TIME {
            *self = Self::default();
            return None;
        }
        self.reported = Some(NORMAL_PERCENT);
        self.reported
    }
}

fn is_similar(before: u16, percent: u16) -> bool {
    let (before, percent) = (f64::from(before), f64::from(percent));
    before >= f64::from(MIN_SLOW_PERCENT) && (percent - before).abs() < before * MIN_CHANGE_RATIO
}

/// Slow engines of one replica, from the datagrams of agents.
#[derive(Clone, Debug, Default)]
pub struct SlowList {
    /// Latest datagram of each agent, by the agent's address.
    received: BTreeMap<SocketAddr, Received>,
}

/// Datagram of an agent.
#[derive(Clone, Copy, Debug)]
struct Received {
    engine: SlowEngine,
    /// Start of the agent and number of the datagram.
    version: (u64, u64),
    at: Time,
}

impl Received {
    fn is_listed(&self, now: Time) -> bool {
        self.engine.pace >= MIN_SLOW_PERCENT && now.since(self.at) < LIST_TIMEOUT
    }
}

impl SlowList {
    /// Records a datagram of the agent at `agent`, unless a later one is known.
    ///
    /// `version` orders the datagrams of an agent: its start, and the number of the datagram.
    pub fn record(
        &mut self,
        agent: SocketAddr,
        engine: SlowEngine,
        version: (u64, u64),
        now: Time,
    ) {
        self.received.retain(|_, r| now.since(r.at) < ORDER_TIMEOUT);
        let known = self.received.get(&agent);
        if known.is_none_or(|r| r.version < version) {
            let at = now;
            let received = Received {
                engine,
                version,
                at,
            };
            self.received.insert(agent, received);
        }
    }

    /// Returns the engines that are slow now, in the order of their agents.
    pub fn engines(&self, now: Time) -> Vec<SlowEngine> {
        let listed = self.received.values().filter(|r| r.is_listed(now));
        listed.map(|r| r.engine).collect()
    }

    /// Returns the time until the next engine leaves the list; `None` if the list is empty.
    pub fn next_expiry(&self, now: Time) -> Option<Duration> {
        let listed = self.received.values().filter(|r| r.is_listed(now));
        listed.map(|r| (r.at + LIST_TIMEOUT).since(now)).min()
    }
}
