//! Orders, announcements and questions at one replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use pimentotide_fleet::{Announcement, Command, Declaration, FleetState, Record, Reply};
use pimentotide_instance::replica::ReplicaHandle;
use pimentotide_model::{ErrorKind, Failure, Time, UpstreamName, ZoneName};
use pimentotide_observe::Metrics;
use pimentotide_platform::{Control, Held, read_configuration};
use tokio::time::Instant as Deadline;

use super::super::news::{Document, Fleet, News, Processes, Seen, Shape};
use super::roster::Roster;
use crate::lines::Ordered;

/// Longest time for which a question waits for something new.
///
/// A fraction of the entries' lease, so that they can ask several replicas in time.
const HOLD: Duration = Duration::from_millis(400);
/// Longest wait for a leader; upstreams and operators turn to another replica after a second.
const LEADER_WAIT: Duration = Duration::from_millis(700);
/// Age at which an upstream's record is refreshed in the log.
const REFRESH: Duration = Duration::from_secs(5);

/// One replica as its servers use it.
#[derive(Clone)]
pub(super) struct Desk {
    replica: ReplicaHandle<FleetState>,
    roster: Roster,
    metrics: Metrics,
    /// When this replica first saw each record with its present time.
    seen: Arc<Mutex<BTreeMap<UpstreamName, (Time, Instant)>>>,
    /// Room of ranks for experts by the configuration at this position.
    shape: Arc<Mutex<Option<KnownShape>>>,
}

/// Room for experts by the configuration at a position in the log.
type KnownShape = (u64, Option<Shape>);

impl Desk {
    pub(super) fn new(
        replica: ReplicaHandle<FleetState>,
        roster: Roster,
        metrics: Metrics,
    ) -> Self {
        Self {
            replica,
            roster,
            metrics,
            seen: Arc::default(),
            shape: Arc::default(),
        }
    }

    pub(super) fn replica(&self) -> &ReplicaHandle<FleetState> {
        &self.replica
    }

    /// Replicates a command and logs what became of it.
    pub(super) async fn order(&self, command: &Command) -> Result<Reply, Failure> {
        let start = Instant::now();
        let result = self
            .replica
            .propose_with_leader(command.encode(), LEADER_WAIT);
        let result = result.await;
        let result = result.map(|(_, reply)| Reply::decode(&reply));
        let reply = match &result {
            Ok(reply) => reply.to_string(),
            Err(failure) => failure.to_string(),
        };
        let (order, subject) = describe(command);
        let outcome = if result.is_ok() {
            "replicated"
        } else {
            "failed"
        };
        self.metrics
            .count("control.orders", ("outcome", outcome), 1);
        self.metrics
            .time("control.order", ("order", order), start.elapsed());
        let waited_ms = start.elapsed().as_millis();
        let ordered = Ordered {
            order,
            subject,
            reply,
            waited_ms,
        };
        pimentotide_observe::event(&ordered);
        result
    }

    /// Waits for something that `seen` lacks and returns the state, confirmed as current.
    pub(super) async fn news(&self, seen: Seen) -> Result<News, Failure> {
        let until = Deadline::now() + HOLD;
        let mut applied = self.replica.applied();
        loop {
            applied.mark_unchanged();
            let changed = self.replica.query(move |s, _| position(s) != seen).await?;
            if changed || Deadline::now() >= until {
                break;
            }
            // The end of the wait and the end of the replica both show below.
            let _ = tokio::time::timeout_at(until, applied.changed()).await;
        }
        self.replica.read_index().await?;
        let entries = self.roster.entries();
        let replicas = self.members().await?;
        let told = self
            .replica
            .query(move |s, _| (excerpt(s, seen), s.entries()));
        let ((declared, fleet), recorded) = told.await?;
        Ok(News {
            declared,
            fleet,
            replicas,
            entries,
            recorded,
        })
    }

    /// Entries that this replica hears of, and those on record.
    pub(super) async fn entry_counts(&self) -> Result<(usize, usize), Failure> {
        let recorded = self.replica.query(|s, _| s.entries()).await?;
        Ok((self.roster.entry_count(), recorded))
    }

    /// Addresses of all members of the log.
    async fn members(&self) -> Result<Vec<SocketAddr>, Failure> {
        let status = self.replica.status().await?;
        let members = status.log.config.members();
        Ok(members.map(|(_, m)| m.address).collect())
    }

    /// Processes that are alive, as this replica knows them.
    pub(super) async fn processes(&self) -> Result<Processes, Failure> {
        Ok(Processes {
            replicas: self.members().await?,
            entries: self.roster.entries(),
            agents: self.roster.agents(),
            shape: self.shape().await?,
        })
    }

    /// Room of each rank for experts, read from the configuration once for each version.
    async fn shape(&self) -> Result<Option<Shape>, Failure> {
        let known = *self.shape.lock().unwrap_or_else(PoisonError::into_inner);
        let declared = self.replica.query(move |s, _| {
            let newer = s
                .declared()
                .filter(|d| Some(d.index) != known.map(|(index, _)| index));
            newer.map(|d| (d.index, d.document.clone()))
        });
        let Some((index, document)) = declared.await? else {
            return Ok(known.and_then(|(_, shape)| shape));
        };
        let declaration = read_configuration(&document)
            .map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))?;
        let engines = declaration.services.values().filter_map(|s| s.engine);
        let mut shape = engines.filter(|e| e.experts > 0).map(|e| Shape {
            places: usize::from(e.places),
            spare: usize::from(e.spare),
        });
        let shape = shape.next_back();
        *self.shape.lock().unwrap_or_else(PoisonError::into_inner) = Some((index, shape));
        Ok(shape)
    }

    /// Records that have not been refreshed for `age` since this replica first saw them.
    pub(super) async fn silent(&self, age: Duration) -> Result<Vec<Record>, Failure> {
        let records = self
            .replica
            .query(|s, _| s.upstreams().values().cloned().collect::<Vec<_>>())
            .await?;
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.retain(|name, _| records.iter().any(|r| r.announcement.upstream == *name));
        let silent = records.into_iter().filter(|r| age_of(&mut seen, r) >= age);
        Ok(silent.collect())
    }

    fn needs_refresh(&self, record: &Record) -> bool {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        age_of(&mut seen, record) >= REFRESH
    }
}

fn age_of(seen: &mut BTreeMap<UpstreamName, (Time, Instant)>, record: &Record) -> Duration {
    let now = Instant::now();
    let name = &record.announcement.upstream;
    match seen.get(name) {
        Some((heard, since)) if *heard == record.received_at => since.elapsed(),
        _ => {
            seen.insert(name.clone(), (record.received_at, now));
            Duration::ZERO
        }
    }
}

fn position(state: &FleetState) -> Seen {
    Seen {
        declared: state.declared().map_or(0, |d| d.index),
        revision: state.revision(),
    }
}

fn excerpt(state: &FleetState, seen: Seen) -> (Option<Document>, Option<Fleet>) {
    let now = position(state);
    let declared = state.declared().filter(|d| d.index != seen.declared);
    let declared = declared.map(|d| Document {
        index: d.index,
        text: String::from_utf8_lossy(&d.document).into_owned(),
    });
    let fleet = (now.revision != seen.revision).then(|| Fleet {
        revision: now.revision,
        closed: state.closed().clone(),
        upstreams: state.upstreams().values().cloned().collect(),
    });
    (declared, fleet)
}

fn describe(command: &Command) -> (&'static str, String) {
    match command {
        Command::Declare { version, .. } => ("declare", version.to_string()),
        Command::Zone { zone, serving } if *serving => ("open_zone", zone.to_string()),
        Command::Zone { zone, .. } => ("close_zone", zone.to_string()),
        Command::Announce(said) => (
            "announce",
            format!("{} {} cold {} ms", said.upstream, said.stage, said.cold_ms),
        ),
        Command::Withdraw(upstream) => ("withdraw", upstream.to_string()),
        Command::Expire { upstream, .. } => ("expire", upstream.to_string()),
        Command::Entries(entries) => ("record_entries", entries.to_string()),
    }
}

impl Control for Desk {
    async fn declare(&self, declaration: Declaration, document: Vec<u8>) -> Result<Reply, Failure> {
        let command = Command::Declare {
            version: declaration.version,
            document: document.into(),
        };
        self.order(&command).await
    }

    async fn held(&self) -> Result<Held, Failure> {
        self.replica.read_index().await?;
        self.replica
            .query(|s, _| s.declared().map(|d| d.document.clone()))
            .await
    }

    async fn set_zone(&self, zone: ZoneName, serving: bool) -> Result<Reply, Failure> {
        self.order(&Command::Zone { zone, serving }).await
    }

    async fn announce(&self, said: Announcement) -> Result<(), Failure> {
        let asked = said.clone();
        let known = self
            .replica
            .query(move |s, _| {
                let record = s.upstreams().get(&asked.upstream).cloned();
                (s.is_stale(&asked), s.is_update(&asked), record)
            })
            .await?;
        let due = match known {
            (true, _, _) => {
                log::info!(
                    "announcement of {} ignored: something newer is known",
                    said.upstream
                );
                false
            }
            (_, news, record) => news || record.is_none_or(|r| self.needs_refresh(&r)),
        };
        if !due {
            return Ok(());
        }
        match self.order(&Command::Announce(said)).await? {
            Reply::Done | Reply::NotNewer => Ok(()),
            reply => Err(Failure::new(ErrorKind::Internal, reply.to_string())),
        }
    }

    async fn withdraw(&self, upstream: UpstreamName) -> Result<(), Failure> {
        self.order(&Command::Withdraw(upstream)).await.map(|_| ())
    }
}
