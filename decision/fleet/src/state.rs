//! Replicated state machine of the fleet: configuration, closed zones, upstreams.
//!
//! The operator's document is stored byte for byte, so that it reads back
//! unchanged. An upstream is identified by its name and start time; announcements
//! of an earlier start or with a lower sequence number are ignored.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use pimentotide_consensus::{Index, Machine, RestoreError};
use pimentotide_model::{Fingerprint, ServiceName, Time, UpstreamName, ZoneName};
use pimentotide_outcome::Crash;
use serde::{Deserialize, Serialize};

use crate::condition::Condition;
use crate::limit::{LimitReport, LimitView};
use crate::prompts::Prompt;
use crate::suspects::{SuspectView, Suspects};

/// Maximum number of departed upstreams kept; their late announcements are recognised as stale.
const MAX_DEPARTED: usize = 1_024;
/// Used in place of a command or reply that fails to encode; leads to [`Reply::Malformed`].
const EMPTY_ENCODING: Vec<u8> = Vec::new();

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Accepts new work.
    #[display("ready")]
    Ready,
    /// Finishes its running requests and accepts no others.
    #[display("draining")]
    Draining,
}

/// State that an upstream reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name; a restarted upstream may reuse it.
    pub upstream: UpstreamName,
    /// Service that the upstream runs.
    pub service: ServiceName,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Whether the upstream accepts new work.
    pub stage: Stage,
    /// Concurrent requests that the upstream runs.
    pub slots: u32,
    /// Remaining cold time, ms; 0 once warm.
    pub cold_ms: u32,
    /// Start of the upstream, ms since the Unix epoch.
    pub born: u64,
    /// Sequence number of the announcement, counted from the start of the upstream.
    pub sequence: u64,
}

/// Replicated record of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Last announcement applied.
    #[serde(rename = "said")]
    pub announcement: Announcement,
    /// Log time at which it was applied.
    #[serde(rename = "heard")]
    pub received_at: Time,
    /// Log index at which the upstream last became cold.
    #[serde(rename = "chilled")]
    pub cold_index: u64,
}

/// Configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declared {
    /// Version given by the operator.
    pub version: u64,
    /// Document as the operator sent it.
    pub document: Arc<[u8]>,
    /// Log index of the declaration.
    pub index: u64,
}

/// Command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a validated configuration in force if its version is the highest.
    Declare {
        /// Version given by the operator.
        version: u64,
        /// Document as the operator sent it.
        document: Arc<[u8]>,
    },
    /// Closes or reopens an availability zone.
    Zone {
        /// Zone to close or reopen.
        zone: ZoneName,
        /// Whether the zone accepts work.
        serving: bool,
    },
    /// Records the announcement of an upstream.
    Announce(Announcement),
    /// Removes an upstream that reports its stop.
    Withdraw(UpstreamName),
    /// Removes an upstream unless it has announced itself since `received_at`.
    Expire {
        /// Upstream that timed out.
        upstream: UpstreamName,
        /// Log time of its last known announcement.
        received_at: Time,
    },
    /// Records the number of entries that share the limits.
    Entries(u32),
    /// Records the crash of an upstream and what ran there.
    Crash {
        /// Upstream that crashed, and the contents that ran there.
        crash: Crash,
        /// Prompts of these contents.
        prompts: Vec<Prompt>,
    },
    /// Clears suspected contents and parts of prompts that ran soundly.
    Clear(Vec<Fingerprint>),
    /// Records limits that upstreams name or no longer name.
    Limits(Vec<LimitReport>),
}

/// Result of a command.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command changed the state.
    #[display("done")]
    Done,
    /// The state already holds the change or a newer one.
    #[display("not newer")]
    NotNewer,
    /// Another document has the same version.
    #[display("another configuration holds this version")]
    Conflict,
    /// The command cannot be decoded.
    #[display("malformed")]
    Malformed,
    /// A newer order for the same subject has been applied.
    #[display("superseded by a newer order")]
    Superseded,
}

impl Reply {
    /// Decodes a reply; [`Reply::Malformed`] if that fails.
    pub fn decode(bytes: &[u8]) -> Self {
        postcard::from_bytes(bytes).unwrap_or(Self::Malformed)
    }
}

impl Command {
    /// Encodes the command for the log; empty if that fails, which applies as [`Reply::Malformed`].
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or(EMPTY_ENCODING)
    }

    /// Encodes the command with a condition under which it applies.
    pub fn encode_if(&self, condition: Condition) -> Vec<u8> {
        postcard::to_stdvec(&(self, condition)).unwrap_or(EMPTY_ENCODING)
    }
}

/// State shared by all processes of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    declared: Option<Declared>,
    closed: BTreeSet<ZoneName>,
    upstreams: BTreeMap<UpstreamName, Record>,
    /// Start time and log index of the departure, by upstream.
    departed: BTreeMap<UpstreamName, (u64, u64)>,
    /// Log index of the last change to zones or upstreams.
    revision: u64,
    /// Log time of the last command applied.
    now: Time,
    /// Entries that share the limits; 0 until the first record.
    entries: u32,
    /// Follows the other fields in a snapshot, which may end before it.
    #[serde(skip)]
    suspects: Suspects,
    /// Follows the suspects in a snapshot, which may end before it.
    #[serde(skip)]
    limits: LimitView,
    /// Log index of the last order for each zone.
    ///
    /// Follows the limits in a snapshot, which may end before it.
    #[serde(skip)]
    zone_orders: BTreeMap<ZoneName, u64>,
}

impl FleetState {
    /// Configuration in force; `None` until the first declaration.
    pub fn declared(&self) -> Option<&Declared> {
        self.declared.as_ref()
    }

    /// Closed availability zones.
    pub fn closed(&self) -> &BTreeSet<ZoneName> {
        &self.closed
    }

    /// Log index of the last order that closed or opened a zone, also without effect; 0 without one.
    pub fn zone_order(&self, zone: &ZoneName) -> u64 {
        self.zone_orders.get(zone).copied().unwrap_or(0)
    }

    /// Announced upstreams by name.
    pub fn upstreams(&self) -> &BTreeMap<UpstreamName, Record> {
        &self.upstreams
    }

    /// Log index of the last change to zones or upstreams.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Entries that share the limits; 0 until the first record.
    pub fn entries(&self) -> usize {
        self.entries as usize
    }

    /// Suspected and refused contents.
    pub fn suspects(&self) -> &SuspectView {
        self.suspects.view()
    }

    /// Limits that upstreams name.
    pub fn limits(&self) -> &LimitView {
        &self.limits
    }

    /// Whether an announcement would change anything that entries act on.
    pub fn is_update(&self, announcement: &Announcement) -> bool {
        if self.is_stale(announcement) {
            return false;
        }
        self.upstreams
            .get(&announcement.upstream)
            .is_none_or(|record| differs(&record.announcement, announcement))
    }

    /// Whether a newer announcement, a departure or a later start at the address supersedes it.
    pub fn is_stale(&self, announcement: &Announcement) -> bool {
        if let Some(record) = self.upstreams.get(&announcement.upstream) {
            let latest = (record.announcement.born, record.announcement.sequence);
            return (announcement.born, announcement.sequence) < latest;
        }
        let departure = self.departed.get(&announcement.upstream);
        departure.is_some_and(|(born, _)| announcement.born <= *born)
            || self
                .address_owner(announcement)
                .is_some_and(|r| r.announcement.born > announcement.born)
    }

    /// Whether the upstream is recorded with the service and the address that an announcement states.
    pub fn is_known(&self, announcement: &Announcement) -> bool {
        let record = self.upstreams.get(&announcement.upstream);
        record.is_some_and(|r| {
            (&r.announcement.service, r.announcement.address)
                == (&announcement.service, announcement.address)
        })
    }

    /// Whether an announcement would take a name or an address from an upstream of another service.
    pub fn takes_over(&self, announcement: &Announcement) -> bool {
        let same_name = self.upstreams.get(&announcement.upstream);
        let mut taken = same_name
            .into_iter()
            .chain(self.address_owner(announcement));
        !self.is_stale(announcement)
            && taken.any(|r| r.announcement.service != announcement.service)
    }

    /// Returns another upstream that was announced at the same address.
    fn address_owner(&self, announcement: &Announcement) -> Option<&Record> {
        let mut records = self.upstreams.values();
        records.find(|r| {
            r.announcement.address == announcement.address
                && r.announcement.upstream != announcement.upstream
        })
    }

    fn execute(&mut self, index: u64, command: Command) -> Reply {
        match command {
            Command::Declare { version, document } => self.declare(index, version, document),
            Command::Zone { zone, serving } => self.set_zone(index, zone, serving),
            Command::Announce(announcement) => self.announce(index, announcement),
            Command::Withdraw(upstream) => self.remove(index, &upstream),
            Command::Expire {
                upstream,
                received_at,
            } => self.expire(index, &upstream, received_at),
            Command::Entries(entries) => self.record_entries(entries),
            Command::Crash { crash, prompts } => self.record_crash(index, crash, prompts),
            Command::Clear(contents) => self.clear(index, &contents),
            Command::Limits(reports) => self.record_limits(index, reports),
        }
    }

    fn declare(&mut self, index: u64, version: u64, document: Arc<[u8]>) -> Reply {
        match &self.declared {
            Some(old) if version < old.version => Reply::NotNewer,
            Some(old) if version == old.version && document == old.document => Reply::NotNewer,
            Some(old) if version == old.version => Reply::Conflict,
            _ => {
                self.declared = Some(Declared {
                    version,
                    document,
                    index,
                });
                Reply::Done
            }
        }
    }

    /// Whether a command comes too late by its condition; one that would change nothing does not.
    fn is_superseded(&self, command: &Command, condition: Condition) -> bool {
        match (command, condition) {
            (Command::Zone { zone, serving }, Condition::ZoneAsOf(index)) => {
                self.closed.contains(zone) == *serving && self.zone_order(zone) > index
            }
            (Command::Withdraw(upstream), Condition::StartedAt(born)) => {
                let record = self.upstreams.get(upstream);
                record.is_some_and(|r| r.announcement.born != born)
            }
            _ => false,
        }
    }

    fn set_zone(&mut self, index: u64, zone: ZoneName, serving: bool) -> Reply {
        self.zone_orders.insert(zone.clone(), index);
        let changed = if serving {
            self.closed.remove(&zone)
        } else {
            self.closed.insert(zone)
        };
        if !changed {
            return Reply::NotNewer;
        }
        self.revision = index;
        Reply::Done
    }

    fn announce(&mut self, index: u64, announcement: Announcement) -> Reply {
        if self.is_stale(&announcement) {
            return Reply::NotNewer;
        }
        let is_update = self.is_update(&announcement);
        if let Some(replaced) = self
            .address_owner(&announcement)
            .map(|r| r.announcement.upstream.clone())
        {
            self.remove(index, &replaced);
        }
        let old = self.upstreams.get(&announcement.upstream);
        let cold_index = match old {
            Some(record) if !is_update || announcement.cold_ms == 0 => record.cold_index,
            _ => index,
        };
        let record = Record {
            received_at: self.now,
            cold_index,
            announcement,
        };
        let restarted = old.is_some_and(|o| o.announcement.born != record.announcement.born);
        if restarted {
            self.limits.remove(index, &record.announcement.upstream);
        }
        self.departed.remove(&record.announcement.upstream);
        self.upstreams
            .insert(record.announcement.upstream.clone(), record);
        if is_update {
            self.revision = index;
        }
        Reply::Done
    }

    fn record_entries(&mut self, entries: u32) -> Reply {
        if self.entries == entries {
            return Reply::NotNewer;
        }
        self.entries = entries;
        Reply::Done
    }

    /// Records a crash, whose zone is that of the upstream's record.
    fn record_crash(&mut self, index: u64, mut crash: Crash, prompts: Vec<Prompt>) -> Reply {
        let record = self.upstreams.get(&crash.upstream);
        crash.zone = record
            .map(|r| r.announcement.zone.clone())
            .or(crash.zone.take());
        if self.suspects.report(index, &crash, prompts, self.now) {
            Reply::Done
        } else {
            Reply::NotNewer
        }
    }

    /// Records limits; those of upstreams that have stopped or started again are dropped.
    fn record_limits(&mut self, index: u64, reports: Vec<LimitReport>) -> Reply {
        let mut changed = false;
        for report in reports {
            let record = self.upstreams.get(&report.upstream);
            if record.is_some_and(|r| r.announcement.born == report.born) {
                changed |= self.limits.apply(index, report);
            }
        }
        if changed {
            Reply::Done
        } else {
            Reply::NotNewer
        }
    }

    fn clear(&mut self, index: u64, contents: &[Fingerprint]) -> Reply {
        if self.suspects.clear(index, contents, self.now) {
            Reply::Done
        } else {
            Reply::NotNewer
        }
    }

    fn expire(&mut self, index: u64, upstream: &UpstreamName, received_at: Time) -> Reply {
        match self.upstreams.get(upstream) {
            Some(record) if record.received_at == received_at => {
                self.take_record(index, upstream);
                Reply::Done
            }
            _ => Reply::NotNewer,
        }
    }

    /// Removes a record; the same start of the upstream may announce itself again.
    fn take_record(&mut self, index: u64, upstream: &UpstreamName) -> Option<Record> {
        let record = self.upstreams.remove(upstream)?;
        self.revision = index;
        self.limits.remove(index, upstream);
        Some(record)
    }

    /// Removes the record of an upstream that has stopped or lost its address.
    fn remove(&mut self, index: u64, upstream: &UpstreamName) -> Reply {
        let Some(record) = self.take_record(index, upstream) else {
            return Reply::NotNewer;
        };
        self.departed
            .insert(upstream.clone(), (record.announcement.born, index));
        if self.departed.len() > MAX_DEPARTED {
            let oldest = self.departed.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.departed.remove(&name);
            }
        }
        Reply::Done
    }
}

/// Whether a later announcement of the same upstream changes anything that entries act on.
///
/// A cold time that only decreases has no effect until it reaches 0.
pub(crate) fn differs(old: &Announcement, new: &Announcement) -> bool {
    let became_cold = new.cold_ms > old.cold_ms;
    let became_warm = old.cold_ms > 0 && new.cold_ms == 0;
    let same = (old.born, old.stage, &old.service, old.address, &old.zone)
        == (new.born, new.stage, &new.service, new.address, &new.zone);
    !same || old.slots != new.slots || became_cold || became_warm
}

impl Machine for FleetState {
    fn apply(&mut self, index: Index, time: Time, command: &[u8]) -> Vec<u8> {
        self.now = time;
        self.suspects.expire(index.0, time);
        let reply = match postcard::take_from_bytes::<Command>(command) {
            Ok((command, rest)) => {
                let condition = Condition::decode(rest);
                if condition.is_some_and(|c| self.is_superseded(&command, c)) {
                    Reply::Superseded
                } else {
                    self.execute(index.0, command)
                }
            }
            Err(_) => Reply::Malformed,
        };
        postcard::to_stdvec(&reply).unwrap_or(EMPTY_ENCODING)
    }

    fn snapshot(&self) -> Vec<u8> {
        // Serialising plain maps into memory does not fail.
        let parts = (self, &self.suspects, &self.limits, &self.zone_orders);
        postcard::to_stdvec(&parts).unwrap_or_default()
    }

    fn restore(&mut self, state: &[u8]) -> Result<(), RestoreError> {
        let failed = |e: postcard::Error| RestoreError {
            detail: e.to_string(),
        };
        let (restored, rest) = postcard::take_from_bytes::<Self>(state).map_err(failed)?;
        *self = restored;
        if rest.is_empty() {
            return Ok(());
        }
        let (suspects, rest) = postcard::take_from_bytes(rest).map_err(failed)?;
        self.suspects = suspects;
        if rest.is_empty() {
            return Ok(());
        }
        let (limits, rest) = postcard::take_from_bytes(rest).map_err(failed)?;
        self.limits = limits;
        if !rest.is_empty() {
            self.zone_orders = postcard::from_bytes(rest).map_err(failed)?;
        }
        Ok(())
    }
}
