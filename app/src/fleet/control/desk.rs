//! Orders, announcements and queries served by one replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pimentotide_fleet::{
    Announcement, Command, Condition, CrashReport, Declaration, Declared, FleetState, LimitReport,
    LimitView, Record, Reply, SuspectView, UpstreamDelta, UpstreamHistory,
};
use pimentotide_instance::Pauses;
use pimentotide_instance::replica::ReplicaHandle;
use pimentotide_model::{ErrorKind, Failure, Time, UpstreamName, ZoneName};
use pimentotide_observe::Metrics;
use pimentotide_platform::{Control, StoredConfiguration, read_configuration};
use tokio::time::Instant as Deadline;

use super::super::compact;
use super::super::rpc::{
    EncodedUpdate, EntryReports, FleetView, Processes, RankCapacity, SeenRevisions,
};
use super::documents::Documents;
use super::roster::Roster;
use crate::lines::Ordered;

/// Maximum wait of a long poll for changes.
///
/// A fraction of the entries' lease, so that they can poll several replicas within it.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum wait for a leader; upstreams and operators try another replica after a second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(700);
/// Minimum time between two reads of the expert capacity; large configurations take long to parse.
const CAPACITY_INTERVAL: Duration = Duration::from_secs(2);
/// Most by which the clock of an upstream may be ahead; an hour covers clocks that jump.
const MAX_CLOCK_SKEW: Duration = Duration::from_hours(1);
/// Time after which an unchanged announcement is written to the log again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Service of one replica that its servers share.
#[derive(Clone)]
pub(super) struct ControlService {
    replica: ReplicaHandle<FleetState>,
    roster: Roster,
    metrics: Metrics,
    pauses: Pauses,
    /// Receipt time of each record, and when this replica first saw it.
    first_seen: Arc<Mutex<BTreeMap<UpstreamName, (Time, Instant)>>>,
    /// Expert capacity of the latest configuration read.
    capacity: Arc<Mutex<Option<CachedCapacity>>>,
    /// Configurations as entries receive them.
    documents: Arc<Mutex<Documents>>,
    /// Changes of upstreams that this replica has seen.
    upstreams: Arc<Mutex<UpstreamHistory>>,
}

/// Expert capacity of the configuration at a position of the log.
#[derive(Clone, Copy)]
struct CachedCapacity {
    index: u64,
    read_at: Instant,
    capacity: Option<RankCapacity>,
}

impl ControlService {
    pub(super) fn new(
        replica: ReplicaHandle<FleetState>,
        roster: Roster,
        metrics: Metrics,
        pauses: Pauses,
    ) -> Self {
        Self {
            replica,
            roster,
            metrics,
            pauses,
            first_seen: Arc::default(),
            capacity: Arc::default(),
            documents: Arc::default(),
            upstreams: Arc::default(),
        }
    }

    pub(super) fn replica(&self) -> &ReplicaHandle<FleetState> {
        &self.replica
    }

    /// Whether this process was paused within the last seconds.
    pub(super) fn was_paused(&self) -> bool {
        self.pauses.is_recent()
    }

    /// Replicates a command and logs the outcome.
    pub(super) async fn replicate(&self, command: &Command) -> Result<Reply, Failure> {
        self.propose(command, command.encode()).await
    }

    /// Replicates an order that has no version of its own, and logs the outcome.
    ///
    /// The condition has to be from before the call, so that a pause in between cannot renew it.
    ///
    /// # Errors
    ///
    /// Fails without replicating it if the order may have waited here during a pause.
    async fn replicate_if(
        &self,
        command: &Command,
        condition: Condition,
    ) -> Result<Reply, Failure> {
        if self.pauses.is_recent() {
            let (order, subject) = describe(command);
            log::warn!("{order} {subject} refused: it may have arrived before a pause");
            self.metrics
                .count("control.orders", ("outcome", "paused"), 1);
            let detail = "this replica was paused; the order may be old";
            return Err(Failure::new(ErrorKind::NotCurrent, detail));
        }
        self.propose(command, command.encode_if(condition)).await
    }

    async fn propose(&self, command: &Command, encoded: Vec<u8>) -> Result<Reply, Failure> {
        let start = Instant::now();
        let result = self.replica.propose_with_leader(encoded, LEADER_TIMEOUT);
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

    /// Waits for changes since `seen`, up to [`POLL_TIMEOUT`], and returns the confirmed state.
    pub(super) async fn next_update(&self, seen: SeenRevisions) -> Result<EncodedUpdate, Failure> {
        let until = Deadline::now() + POLL_TIMEOUT;
        let mut applied = self.replica.applied();
        let slow = self.roster.slow().engines();
        loop {
            applied.mark_unchanged();
            let changed = self
                .replica
                .query(move |s, _| position(s, seen) != seen)
                .await?;
            if changed || Deadline::now() >= until || self.roster.slow().engines() != slow {
                break;
            }
            // After a timeout the loop ends with one more query, which fails if the replica has stopped.
            tokio::select! {
                _ = tokio::time::timeout_at(until, applied.changed()) => {}
                () = self.roster.slow().changed(&slow) => {}
            }
        }
        self.replica.read_index().await?;
        let entries = self.roster.entries();
        let replicas = self.member_addresses().await?;
        let history = self.upstreams.clone();
        let queried = self
            .replica
            .query(move |s, _| (changes_since(s, seen, &history), s.entries()));
        let (changes, recorded) = queried.await?;
        let document = self
            .documents
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .change_since(seen, changes.declared.as_ref())?;
        if let Some(form) = document.form() {
            self.metrics.count("control.documents", ("form", form), 1);
        }
        Ok(EncodedUpdate {
            declared: document.whole,
            delta: document.delta,
            fleet: changes.fleet,
            upstreams: changes.upstreams,
            suspects: changes.suspects.as_ref().map(compact::encode).transpose()?,
            limits: changes.limits.as_ref().map(compact::encode).transpose()?,
            replicas,
            entries,
            recorded,
            slow: self.roster.slow().engines(),
        })
    }

    /// Records the reports of an entry; sound runs of contents that are no longer suspected are dropped.
    ///
    /// # Errors
    ///
    /// Fails if a report is not replicated; recording it again has no effect.
    pub(super) async fn record_reports(&self, reports: EntryReports) -> Result<(), Failure> {
        for CrashReport { crash, prompts } in reports.crashes {
            self.replicate(&Command::Crash { crash, prompts }).await?;
        }
        self.record_limits(reports.limits).await?;
        let mut sound = reports.sound;
        if sound.is_empty() {
            return Ok(());
        }
        let suspects = self.replica.query(|s, _| s.suspects().clone()).await?;
        sound.retain(|digest| suspects.is_suspected(digest));
        if !sound.is_empty() {
            self.replicate(&Command::Clear(sound)).await?;
        }
        Ok(())
    }

    /// Records limits of upstreams, apart from those that are recorded already.
    async fn record_limits(&self, mut reports: Vec<LimitReport>) -> Result<(), Failure> {
        if reports.is_empty() {
            return Ok(());
        }
        let limits = self.replica.query(|s, _| s.limits().clone()).await?;
        reports.retain(|r| limits.is_news(r));
        if !reports.is_empty() {
            self.replicate(&Command::Limits(reports)).await?;
        }
        Ok(())
    }

    /// Returns the number of live entries by beacons, and the recorded number.
    pub(super) async fn entry_counts(&self) -> Result<(usize, usize), Failure> {
        let recorded = self.replica.query(|s, _| s.entries()).await?;
        Ok((self.roster.entry_count(), recorded))
    }

    /// Returns the addresses of all members of the log.
    async fn member_addresses(&self) -> Result<Vec<SocketAddr>, Failure> {
        let status = self.replica.status().await?;
        let members = status.log.config.members();
        Ok(members.map(|(_, m)| m.address).collect())
    }

    /// Returns the members of the log and the live agents of `group`.
    pub(super) async fn processes(&self, group: Option<&str>) -> Result<Processes, Failure> {
        Ok(Processes {
            replicas: self.member_addresses().await?,
            agents: group.map_or_else(Vec::new, |g| self.roster.agents(g)),
            shape: self.rank_capacity().await?,
        })
    }

    /// Returns the expert capacity of each rank, as of the last [`CAPACITY_INTERVAL`].
    async fn rank_capacity(&self) -> Result<Option<RankCapacity>, Failure> {
        let cached = *self.capacity.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(recent) = cached.filter(|c| c.read_at.elapsed() < CAPACITY_INTERVAL) {
            return Ok(recent.capacity);
        }
        let declared = self.replica.query(move |s, _| {
            let newer = s
                .declared()
                .filter(|d| Some(d.index) != cached.map(|c| c.index));
            newer.map(|d| (d.index, d.document.clone()))
        });
        let Some((index, document)) = declared.await? else {
            return Ok(cached.and_then(|c| c.capacity));
        };
        let declaration = read_configuration(&document)
            .map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))?;
        let engines = declaration.services.values().filter_map(|s| s.engine);
        let mut capacities = engines.filter(|e| e.experts > 0).map(|e| RankCapacity {
            places: usize::from(e.places),
            spare: usize::from(e.spare),
            copy_time: e.copy_time,
        });
        let capacity = capacities.next_back();
        *self.capacity.lock().unwrap_or_else(PoisonError::into_inner) = Some(CachedCapacity {
            index,
            read_at: Instant::now(),
            capacity,
        });
        Ok(capacity)
    }

    /// Returns the records not refreshed for `age` since this replica first saw them.
    pub(super) async fn silent_upstreams(&self, age: Duration) -> Result<Vec<Record>, Failure> {
        let records = self
            .replica
            .query(|s, _| s.upstreams().values().cloned().collect::<Vec<_>>())
            .await?;
        let mut first_seen = self
            .first_seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        first_seen.retain(|name, _| records.iter().any(|r| r.announcement.upstream == *name));
        let silent = records
            .into_iter()
            .filter(|r| age_of(&mut first_seen, r) >= age);
        Ok(silent.collect())
    }

    /// Checks that an announcement may take the name and the address that it states.
    ///
    /// # Errors
    ///
    /// Fails if its start is in the future, so that none of the upstream itself would ever be newer, or if
    /// it takes over an upstream of another service and its own service is not configured.
    async fn check_origin(&self, announcement: &Announcement) -> Result<(), Failure> {
        let invalid = |detail: String| Failure::new(ErrorKind::InvalidRequest, detail);
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let latest = now.unwrap_or_default() + MAX_CLOCK_SKEW;
        if u128::from(announcement.born) > latest.as_millis() {
            let detail = format!("{} starts in the future", announcement.upstream);
            return Err(invalid(detail));
        }
        let queried = announcement.clone();
        let document = self.replica.query(move |s, _| {
            let declared = s.declared().filter(|_| s.takes_over(&queried));
            declared.map(|d| d.document.clone())
        });
        let Some(document) = document.await? else {
            return Ok(());
        };
        let declaration = read_configuration(&document)
            .map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))?;
        if declaration.services.contains_key(&announcement.service) {
            return Ok(());
        }
        let (name, service) = (&announcement.upstream, &announcement.service);
        Err(invalid(format!(
            "{name} names an unknown service: {service}"
        )))
    }

    /// Returns the start of a recorded upstream, ms since the Unix epoch.
    async fn recorded_start(&self, upstream: UpstreamName) -> Result<Option<u64>, Failure> {
        let queried = self.replica.query(move |s, _| {
            let record = s.upstreams().get(&upstream);
            record.map(|r| r.announcement.born)
        });
        queried.await
    }

    fn needs_refresh(&self, record: &Record) -> bool {
        let mut first_seen = self
            .first_seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        age_of(&mut first_seen, record) >= REFRESH_INTERVAL
    }
}

fn age_of(first_seen: &mut BTreeMap<UpstreamName, (Time, Instant)>, record: &Record) -> Duration {
    let now = Instant::now();
    let name = &record.announcement.upstream;
    match first_seen.get(name) {
        Some((received_at, since)) if *received_at == record.received_at => since.elapsed(),
        _ => {
            first_seen.insert(name.clone(), (record.received_at, now));
            Duration::ZERO
        }
    }
}

/// Configuration in force, and parts of the state that an entry does not have yet.
struct Changes {
    declared: Option<Declared>,
    fleet: Option<FleetView>,
    upstreams: Option<UpstreamDelta>,
    suspects: Option<SuspectView>,
    limits: Option<LimitView>,
}

/// Returns the position of the state, limited to what the entry with `seen` follows.
fn position(state: &FleetState, seen: SeenRevisions) -> SeenRevisions {
    SeenRevisions {
        declared: state.declared().map_or(0, |d| d.index),
        revision: state.revision(),
        suspects: seen.suspects.map(|_| state.suspects().revision),
        limits: seen.limits.map(|_| state.limits().revision),
        changes: seen.changes,
    }
}

fn changes_since(
    state: &FleetState,
    seen: SeenRevisions,
    history: &Mutex<UpstreamHistory>,
) -> Changes {
    let now = position(state, seen);
    let mut history = history.lock().unwrap_or_else(PoisonError::into_inner);
    history.record(state);
    let upstreams = seen.changes.then(|| history.delta(state, seen.revision));
    let upstreams = upstreams.flatten();
    let is_whole = now.revision != seen.revision && upstreams.is_none();
    let fleet = is_whole.then(|| FleetView {
        revision: now.revision,
        closed: state.closed().clone(),
        upstreams: state.upstreams().values().cloned().collect(),
    });
    Changes {
        declared: state.declared().cloned(),
        fleet,
        upstreams,
        suspects: (now.suspects != seen.suspects).then(|| state.suspects().clone()),
        limits: (now.limits != seen.limits).then(|| state.limits().clone()),
    }
}

fn describe(command: &Command) -> (&'static str, String) {
    match command {
        Command::Declare { version, .. } => ("declare", version.to_string()),
        Command::Zone { zone, serving } if *serving => ("open_zone", zone.to_string()),
        Command::Zone { zone, .. } => ("close_zone", zone.to_string()),
        Command::Announce(announcement) => (
            "announce",
            format!(
                "{} {} cold {} ms",
                announcement.upstream, announcement.stage, announcement.cold_ms
            ),
        ),
        Command::Withdraw(upstream) => ("withdraw", upstream.to_string()),
        Command::Expire { upstream, .. } => ("expire", upstream.to_string()),
        Command::Entries(entries) => ("record_entries", entries.to_string()),
        Command::Crash { crash, .. } => ("record_crash", crash.upstream.to_string()),
        Command::Clear(contents) => ("clear_suspects", contents.len().to_string()),
        Command::Limits(reports) => ("record_limits", reports.len().to_string()),
    }
}

impl Control for ControlService {
    async fn declare(&self, declaration: Declaration, document: Vec<u8>) -> Result<Reply, Failure> {
        let command = Command::Declare {
            version: declaration.version,
            document: document.into(),
        };
        self.replicate(&command).await
    }

    async fn configuration(&self) -> Result<StoredConfiguration, Failure> {
        self.replica.read_index().await?;
        self.replica
            .query(|s, _| s.declared().map(|d| d.document.clone()))
            .await
    }

    async fn set_zone(&self, zone: ZoneName, serving: bool) -> Result<Reply, Failure> {
        let queried = zone.clone();
        let last_order = self.replica.query(move |s, _| s.zone_order(&queried));
        let condition = Condition::ZoneAsOf(last_order.await?);
        self.replicate_if(&Command::Zone { zone, serving }, condition)
            .await
    }

    async fn announce(&self, announcement: Announcement) -> Result<(), Failure> {
        let queried = announcement.clone();
        let is_known = self.replica.query(move |s, _| s.is_known(&queried));
        if !is_known.await? {
            // A replica that lags does not see by whom the name or the address is taken.
            let current = self.replica.read_index_with_leader(LEADER_TIMEOUT);
            current.await?;
        }
        self.check_origin(&announcement).await?;
        let queried = announcement.clone();
        let recorded = self
            .replica
            .query(move |s, _| {
                let record = s.upstreams().get(&queried.upstream).cloned();
                (s.is_stale(&queried), s.is_update(&queried), record)
            })
            .await?;
        let must_record = match recorded {
            (true, _, _) => {
                log::info!(
                    "stale announcement of {} ignored: a newer one is recorded",
                    announcement.upstream
                );
                false
            }
            (_, update, record) => update || record.is_none_or(|r| self.needs_refresh(&r)),
        };
        if !must_record {
            return Ok(());
        }
        match self.replicate(&Command::Announce(announcement)).await? {
            Reply::Done | Reply::NotNewer => Ok(()),
            reply => Err(Failure::new(ErrorKind::Internal, reply.to_string())),
        }
    }

    async fn withdraw(&self, upstream: UpstreamName) -> Result<(), Failure> {
        let mut born = self.recorded_start(upstream.clone()).await?;
        if born.is_none() {
            self.replica.read_index().await?;
            born = self.recorded_start(upstream.clone()).await?;
        }
        let Some(born) = born else {
            return Ok(());
        };
        let condition = Condition::StartedAt(born);
        // An upstream that has started again has superseded the start that withdraws.
        self.replicate_if(&Command::Withdraw(upstream), condition)
            .await
            .map(|_| ())
    }
}
