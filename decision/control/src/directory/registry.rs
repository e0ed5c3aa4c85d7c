//! Replica side of the directory: reports, expiry and versions.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use pimentotide_model::{Incarnation, InstanceName, Time, UpstreamName, Warmth, ZoneName};

use super::message::{
    Departure, Heartbeat, Mark, Notice, Presence, RegistryUpdate, Report, ReportAnswer,
};
use super::{EXPIRY_TIMEOUT, MAX_DEPARTURES, MAX_ENTRIES, MAX_MEMBERS, MAX_NAMES};

/// Longest address of an agent, bytes.
const MAX_ADDRESS_BYTES: usize = 64;

/// Interval between two calls of `expire` from which on the replica counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// One upstream in the directory.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Latest announcement of its agent.
    pub notice: Notice,
    /// Warm-up state in the latest report.
    pub warmth: Warmth,
    received_at: Time,
    version: u64,
}

/// Directory that one replica keeps in memory.
#[derive(Clone, Debug)]
pub struct Registry {
    epoch: u64,
    started: Time,
    last_tick: Time,
    version: u64,
    members: BTreeMap<UpstreamName, Member>,
    departures: VecDeque<(u64, Departure)>,
    /// Version of the latest departure that was evicted.
    evicted_version: u64,
    entries: BTreeMap<InstanceName, (Presence, Time)>,
}

impl Registry {
    /// Creates an empty registry; `epoch` differs for each start of any replica.
    pub fn new(epoch: u64, now: Time) -> Self {
        Self {
            epoch,
            started: now,
            last_tick: now,
            version: 0,
            members: BTreeMap::new(),
            departures: VecDeque::new(),
            evicted_version: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Applies a report of an agent or an entry.
    pub fn receive(&mut self, report: Report, now: Time) -> ReportAnswer {
        match report {
            Report::Whole { notice, warmth } => self.receive_notice(notice, warmth, now),
            Report::Beat(beat) => self.receive_heartbeat(&beat, now),
            Report::Entry(presence) => self.receive_presence(presence, now),
        }
    }

    /// Removes what has not reported in time; returns whether upstreams were removed.
    ///
    /// A replica that was itself stalled could not receive reports; it removes
    /// nothing and counts as just started.
    pub fn expire(&mut self, now: Time) -> bool {
        let stalled = now.since(self.last_tick) >= STALL_THRESHOLD;
        self.last_tick = now;
        if stalled {
            self.restart_timers(now);
            return false;
        }
        self.entries
            .retain(|_, (_, received_at)| now.since(*received_at) < EXPIRY_TIMEOUT);
        let expired = |member: &Member| now.since(member.received_at) >= EXPIRY_TIMEOUT;
        let gone: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| expired(member))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.remove(name);
        }
        !gone.is_empty()
    }

    /// Increases with each change that followers receive.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a follower at `mark` lacks an update.
    pub fn has_update(&self, mark: Option<Mark>, now: Time) -> bool {
        mark != Some(self.mark(now))
    }

    /// Collects the changes since `mark`, or all upstreams if they are not retained.
    pub fn update_since(&self, mark: Option<Mark>, now: Time) -> RegistryUpdate {
        let current = self.mark(now);
        let base = mark.filter(|m| self.can_follow(*m, current));
        let after = base.map_or(0, |m| m.version);
        let present = self.members.values().filter(|m| m.version > after);
        let departures = self.departures.iter().filter(|(v, _)| *v > after);
        RegistryUpdate {
            mark: current,
            whole: base.is_none(),
            present: present.map(|m| m.notice.clone()).collect(),
            gone: if base.is_some() {
                departures.map(|(_, d)| d.clone()).collect()
            } else {
                Vec::new()
            },
        }
    }

    /// Upstreams in the directory.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Entries that have reported in time.
    pub fn entries(&self) -> impl Iterator<Item = &Presence> {
        self.entries.values().map(|(presence, _)| presence)
    }

    fn restart_timers(&mut self, now: Time) {
        self.started = now;
        for member in self.members.values_mut() {
            member.received_at = now;
        }
        for (_, received_at) in self.entries.values_mut() {
            *received_at = now;
        }
    }

    fn mark(&self, now: Time) -> Mark {
        Mark {
            epoch: self.epoch,
            version: self.version,
            settled: now.since(self.started) >= EXPIRY_TIMEOUT,
        }
    }

    fn can_follow(&self, mark: Mark, current: Mark) -> bool {
        mark.epoch == self.epoch
            && mark.settled == current.settled
            && mark.version >= self.evicted_version
            && mark.version <= self.version
    }

    fn receive_notice(&mut self, notice: Notice, warmth: Warmth, now: Time) -> ReportAnswer {
        if !is_well_formed(&notice) {
            return ReportAnswer::Refused;
        }
        let name = notice.announcement.upstream.clone();
        let stored = self.members.get(&name).map(|m| m.notice.rank());
        let highest = self.highest_incarnation(&name);
        if notice.announcement.incarnation < highest {
            return ReportAnswer::Outdated { highest };
        }
        if stored.is_none() && self.members.len() >= MAX_MEMBERS {
            return ReportAnswer::Refused;
        }
        if stored.is_some_and(|rank| notice.rank() < rank) {
            return ReportAnswer::Kept;
        }
        if stored.is_none() {
            self.departures.retain(|(_, d)| d.upstream != name);
        }
        if stored != Some(notice.rank()) {
            self.version += 1;
        }
        let version = self.members.get(&name).map(|m| m.version);
        let unchanged = stored == Some(notice.rank());
        let member = Member {
            version: version.filter(|_| unchanged).unwrap_or(self.version),
            notice,
            warmth,
            received_at: now,
        };
        self.members.insert(name, member);
        ReportAnswer::Kept
    }

    fn receive_heartbeat(&mut self, beat: &Heartbeat, now: Time) -> ReportAnswer {
        let highest = self.highest_incarnation(&beat.upstream);
        if beat.incarnation < highest {
            return ReportAnswer::Outdated { highest };
        }
        let Some(member) = self.members.get_mut(&beat.upstream) else {
            return ReportAnswer::Unknown;
        };
        if member.notice.rank() != (beat.incarnation, beat.sequence) {
            return ReportAnswer::Unknown;
        }
        member.received_at = now;
        member.warmth = beat.warmth;
        member.notice.announcement.revision = beat.revision;
        member.notice.announcement.fence = beat.fence;
        ReportAnswer::Kept
    }

    fn receive_presence(&mut self, presence: Presence, now: Time) -> ReportAnswer {
        let full = self.entries.len() >= MAX_ENTRIES;
        let registered = self.entries.contains_key(&presence.instance);
        let valid_names =
            InstanceName::is_valid(&presence.instance) && ZoneName::is_valid(&presence.zone);
        if !valid_names || (full && !registered) {
            return ReportAnswer::Refused;
        }
        self.entries
            .insert(presence.instance.clone(), (presence, now));
        ReportAnswer::Kept
    }

    /// Highest known incarnation of an upstream, including a departed one.
    fn highest_incarnation(&self, name: &UpstreamName) -> Incarnation {
        if let Some(member) = self.members.get(name) {
            return member.notice.announcement.incarnation;
        }
        let gone = self.departures.iter().filter(|(_, d)| d.upstream == *name);
        gone.map(|(_, d)| d.rank.0).max().unwrap_or_default()
    }

    fn remove(&mut self, name: &UpstreamName) {
        let Some(member) = self.members.remove(name) else {
            return;
        };
        self.version += 1;
        let departure = Departure {
            upstream: name.clone(),
            rank: member.notice.rank(),
        };
        self.departures.push_back((self.version, departure));
        if self.departures.len() > MAX_DEPARTURES
            && let Some((version, _)) = self.departures.pop_front()
        {
            self.evicted_version = version;
        }
    }
}

fn is_well_formed(notice: &Notice) -> bool {
    let announcement = &notice.announcement;
    let lists = [
        announcement.services.len(),
        announcement.models.len(),
        announcement.adapters.len(),
    ];
    UpstreamName::is_valid(&announcement.upstream)
        && ZoneName::is_valid(&announcement.zone)
        && announcement.address.len() <= MAX_ADDRESS_BYTES
        && lists.iter().all(|n| *n <= MAX_NAMES)
        && names_of(notice).all(ZoneName::is_valid)
}

fn names_of(notice: &Notice) -> impl Iterator<Item = &str> {
    let announcement = &notice.announcement;
    let services = announcement.services.iter().map(|s| s.as_str());
    let adapters = announcement.adapters.iter().map(|a| a.as_str());
    let models = announcement.models.iter();
    let models = models.flat_map(|(model, version)| [model.as_str(), version.as_str()]);
    let group = announcement.group.iter().map(|g| g.as_str());
    services.chain(adapters).chain(models).chain(group)
}
