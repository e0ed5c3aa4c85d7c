//! State that all processes share, as a machine in the replicated log.
//!
//! The operator's document is kept as it came, so that it reads back unchanged.
//! An upstream is known by its name and the time of its start: what an earlier
//! start or an earlier announcement says changes nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use pimentotide_consensus::{Index, Machine, RestoreError};
use pimentotide_model::{ServiceName, Time, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};

/// Most upstreams remembered after they left, so that late announcements are recognised.
const MAX_DEPARTED: usize = 1_024;
/// Encoding of a reply that cannot be encoded; read as [`Reply::Malformed`].
const NO_REPLY: Vec<u8> = Vec::new();

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Takes new work.
    #[display("ready")]
    Ready,
    /// Finishes what it has.
    #[display("draining")]
    Draining,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of this start of the upstream.
    pub upstream: UpstreamName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether it takes new work.
    pub stage: Stage,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time for which it stays cold, ms.
    pub cold_ms: u32,
    /// Start, ms of the Unix epoch.
    pub born: u64,
    /// Number of the announcement since the start.
    pub sequence: u64,
}

/// An upstream as the log has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Last announcement that changed anything.
    #[serde(rename = "said")]
    pub announcement: Announcement,
    /// Time of the last announcement in the log.
    #[serde(rename = "heard")]
    pub received_at: Time,
    /// Position in the log at which it last became cold.
    #[serde(rename = "chilled")]
    pub cold_index: u64,
}

/// Configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declared {
    /// Version.
    pub version: u64,
    /// Document as the operator sent it.
    pub document: Arc<[u8]>,
    /// Position in the log.
    pub index: u64,
}

/// Change of the shared state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a checked configuration in force if its version is the highest.
    Declare {
        /// Version.
        version: u64,
        /// Document as the operator sent it.
        document: Arc<[u8]>,
    },
    /// Takes an availability zone out of service or back.
    Zone {
        /// Zone.
        zone: ZoneName,
        /// Whether it takes work.
        serving: bool,
    },
    /// Takes in what an upstream says of itself.
    Announce(Announcement),
    /// Removes an upstream that says that it leaves.
    Withdraw(UpstreamName),
    /// Removes an upstream that has been silent since `received_at`.
    Expire {
        /// Upstream.
        upstream: UpstreamName,
        /// Its last announcement in the log.
        #[serde(rename = "heard")]
        received_at: Time,
    },
    /// Records the number of entries among which limits are divided.
    Entries(u32),
}

/// Answer to a command.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is in force.
    #[display("done")]
    Done,
    /// The change was in force, or something newer is.
    #[display("not newer")]
    NotNewer,
    /// Another document holds the version.
    #[display("another configuration holds this version")]
    Conflict,
    /// The command cannot be read.
    #[display("malformed")]
    Malformed,
}

impl Reply {
    /// Reads an encoded reply.
    pub fn decode(bytes: &[u8]) -> Self {
        postcard::from_bytes(bytes).unwrap_or(Self::Malformed)
    }
}

impl Command {
    /// Encodes the command for the log; empty, and so malformed, if that fails.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or(NO_REPLY)
    }
}

/// Shared state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    declared: Option<Declared>,
    closed: BTreeSet<ZoneName>,
    upstreams: BTreeMap<UpstreamName, Record>,
    /// Start of upstreams that left, oldest departure first by position.
    departed: BTreeMap<UpstreamName, (u64, u64)>,
    /// Position of the last change to zones or upstreams.
    revision: u64,
    now: Time,
    /// Entries among which limits are divided; zero before any was recorded.
    entries: u32,
}

impl FleetState {
    /// Configuration in force.
    pub fn declared(&self) -> Option<&Declared> {
        self.declared.as_ref()
    }

    /// Availability zones out of service.
    pub fn closed(&self) -> &BTreeSet<ZoneName> {
        &self.closed
    }

    /// Upstreams by name.
    pub fn upstreams(&self) -> &BTreeMap<UpstreamName, Record> {
        &self.upstreams
    }

    /// Position of the last change to zones or upstreams.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Entries among which limits are divided; zero before any was recorded.
    pub fn entries(&self) -> usize {
        self.entries as usize
    }

    /// Whether an announcement would change what entries know.
    pub fn is_update(&self, said: &Announcement) -> bool {
        if self.is_stale(said) {
            return false;
        }
        self.upstreams
            .get(&said.upstream)
            .is_none_or(|record| differs(&record.announcement, said))
    }

    /// Whether something newer is known than the announcement.
    pub fn is_stale(&self, said: &Announcement) -> bool {
        if let Some(record) = self.upstreams.get(&said.upstream) {
            let known = (record.announcement.born, record.announcement.sequence);
            return (said.born, said.sequence) < known;
        }
        let left = self.departed.get(&said.upstream);
        left.is_some_and(|(born, _)| said.born <= *born)
            || self
                .holder(said)
                .is_some_and(|r| r.announcement.born > said.born)
    }

    /// Another upstream that was announced at the same address.
    fn holder(&self, said: &Announcement) -> Option<&Record> {
        let mut records = self.upstreams.values();
        records.find(|r| {
            r.announcement.address == said.address && r.announcement.upstream != said.upstream
        })
    }

    fn declare(&mut self, index: u64, version: u64, document: Arc<[u8]>) -> Reply {
        match &self.declared {
            Some(held) if version < held.version => Reply::NotNewer,
            Some(held) if version == held.version && document == held.document => Reply::NotNewer,
            Some(held) if version == held.version => Reply::Conflict,
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

    fn set_zone(&mut self, index: u64, zone: ZoneName, serving: bool) -> Reply {
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

    fn announce(&mut self, index: u64, said: Announcement) -> Reply {
        if self.is_stale(&said) {
            return Reply::NotNewer;
        }
        let news = self.is_update(&said);
        if let Some(replaced) = self.holder(&said).map(|r| r.announcement.upstream.clone()) {
            self.depart(index, &replaced);
        }
        let old = self.upstreams.get(&said.upstream);
        let chilled = match old {
            Some(record) if !news || said.cold_ms == 0 => record.cold_index,
            _ => index,
        };
        let record = Record {
            received_at: self.now,
            cold_index: chilled,
            announcement: said,
        };
        self.departed.remove(&record.announcement.upstream);
        self.upstreams
            .insert(record.announcement.upstream.clone(), record);
        if news {
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

    fn expire(&mut self, index: u64, upstream: &UpstreamName, heard: Time) -> Reply {
        match self.upstreams.get(upstream) {
            Some(record) if record.received_at == heard => self.depart(index, upstream),
            _ => Reply::NotNewer,
        }
    }

    fn depart(&mut self, index: u64, upstream: &UpstreamName) -> Reply {
        let Some(record) = self.upstreams.remove(upstream) else {
            return Reply::NotNewer;
        };
        self.revision = index;
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

/// Whether a later announcement of the same upstream says anything new.
fn differs(old: &Announcement, new: &Announcement) -> bool {
    let chilled = new.cold_ms > old.cold_ms;
    let warmed = old.cold_ms > 0 && new.cold_ms == 0;
    let same = (old.born, old.stage, &old.service, old.address, &old.zone)
        == (new.born, new.stage, &new.service, new.address, &new.zone);
    !same || old.slots != new.slots || chilled || warmed
}

impl Machine for FleetState {
    fn apply(&mut self, index: Index, time: Time, command: &[u8]) -> Vec<u8> {
        self.now = time;
        let reply = match postcard::from_bytes(command) {
            Ok(Command::Declare { version, document }) => self.declare(index.0, version, document),
            Ok(Command::Zone { zone, serving }) => self.set_zone(index.0, zone, serving),
            Ok(Command::Announce(said)) => self.announce(index.0, said),
            Ok(Command::Withdraw(upstream)) => self.depart(index.0, &upstream),
            Ok(Command::Expire {
                upstream,
                received_at,
            }) => self.expire(index.0, &upstream, received_at),
            Ok(Command::Entries(entries)) => self.record_entries(entries),
            Err(_) => Reply::Malformed,
        };
        postcard::to_stdvec(&reply).unwrap_or(NO_REPLY)
    }

    fn snapshot(&self) -> Vec<u8> {
        // Serialising plain maps into memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    fn restore(&mut self, state: &[u8]) -> Result<(), RestoreError> {
        *self = postcard::from_bytes(state).map_err(|e| RestoreError {
            detail: e.to_string(),
        })?;
        Ok(())
    }
}
