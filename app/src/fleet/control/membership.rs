//! Membership of the log.
//!
//! A replica that is not a member or has no leader requests to join. The leader
//! removes members that lost their disk or stay silent.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use pimentotide_consensus::{Member, PeerStatus, RoleKind};
use pimentotide_fleet::{FleetState, MemberView, Repair, RepairOptions, repair};
use pimentotide_instance::replica::{DiskHealth, Release, ReplicaHandle, ReplicaStatus};
use pimentotide_instance::{PeerClient, PeerTimeouts, Token};
use pimentotide_model::{ErrorKind, Failure, InstanceName};
use pimentotide_observe::Metrics;

use super::super::FleetSettings;
use super::super::rpc::{JOIN, JoinRequest};
use super::arbiters::Arbiters;
use crate::lines::{LearnerLags, MemberChanged, RoleChanged, VoteReleased};

/// Time between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a learner is removed; longer than an ordinary restart.
const MAX_SILENCE: Duration = Duration::from_secs(6);
/// Part of the settling time after which a surplus voter counts as silent; the rest is for the
/// election of a leader and the commit of the removal.
const SURPLUS_SILENCE_RATIO: f64 = 1.0 / 3.0;
/// Part of the grace period for which a replica that stops waits for the release of its vote; the rest is
/// for its last requests.
const RELEASE_RATIO: f64 = 0.5;
/// File written to check whether the disk accepts writes.
const PROBE_FILE: &str = "probe";
/// Size of the probe file; more than one record of the log.
const PROBE_BYTES: usize = 64 << 10;
/// Time for which the folder may fail to open though the disk accepts writes; it may be full again, or the
/// last write may still hang.
const REOPEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Exit code after a disk failure, for a restart.
const EXIT_DISK_FAILURE: i32 = 5;
/// Timeouts of calls of a joining replica.
const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(300),
    call: Duration::from_millis(1_500),
    retry_delay: Duration::from_millis(200),
    idle: Duration::from_millis(1_500),
};

/// Role of a replica, and what it knows of the log's leader and voters.
#[derive(PartialEq, Eq)]
struct RoleState {
    role: RoleKind,
    term: u64,
    leader: Option<String>,
    voters: Vec<String>,
    lost: Vec<String>,
    arbiters: Vec<String>,
    granted: Vec<String>,
}

/// Membership of the log as one replica observes and changes it.
#[derive(Clone)]
pub(super) struct Members {
    replica: ReplicaHandle<FleetState>,
    own_address: SocketAddr,
    data: PathBuf,
    token: Token,
    repairs: RepairOptions,
    /// Time for which a replica that stops waits for the release of its vote.
    release_limit: Duration,
    arbiters: Arbiters,
    metrics: Metrics,
    /// Last logged role, term and leader.
    logged_role: Arc<Mutex<Option<RoleState>>>,
    /// Time since which the folder cannot be opened though the disk accepts writes.
    reopen_since: Arc<Mutex<Option<Instant>>>,
}

impl Members {
    pub(super) fn new(
        replica: ReplicaHandle<FleetState>,
        settings: &FleetSettings,
        token: Token,
        arbiters: Arbiters,
        metrics: Metrics,
    ) -> Self {
        Self {
            replica,
            own_address: settings.calls(),
            data: settings.data.clone().unwrap_or_default(),
            token,
            repairs: RepairOptions {
                max_silence: MAX_SILENCE,
                surplus_silence: settings.settle_time().mul_f64(SURPLUS_SILENCE_RATIO),
                max_losses: settings.loss,
            },
            release_limit: settings.grace_time().mul_f64(RELEASE_RATIO),
            arbiters,
            metrics,
            logged_role: Arc::default(),
            reopen_since: Arc::default(),
        }
    }

    /// Adds the requesting replica to the log.
    ///
    /// A replica that is not the leader forwards the request, by at most one hop: a replica that has lost
    /// its disk may know no other than some that do not lead.
    ///
    /// # Errors
    ///
    /// Fails if there is no leader or the change is not committed.
    pub(super) async fn admit(&self, joining: JoinRequest) -> Result<(), Failure> {
        let status = self.replica.status().await?;
        if status.log.role != RoleKind::Leader {
            return self.forward_join(&status, joining).await;
        }
        let requester = Some((&joining.name, joining.disk));
        match repair(&member_views(&status), requester, &self.repairs) {
            Some(Repair::Remove(name)) => {
                log_member_change(&name, "remove", "its disk was lost");
                self.replica.remove(name).await?;
            }
            Some(Repair::Add(_)) | None => {}
        }
        let status = self.replica.status().await?;
        if status.log.config.member(&joining.name).is_none() {
            log_member_change(&joining.name, "add", "it asked to join");
            self.replica.add(joining.name, joining.address).await?;
        }
        Ok(())
    }

    async fn forward_join(
        &self,
        status: &ReplicaStatus,
        joining: JoinRequest,
    ) -> Result<(), Failure> {
        let leader = status.log.leader.as_ref();
        let leader = leader.and_then(|l| status.log.config.member(&l.name));
        let Some(leader) = leader.filter(|_| !joining.forwarded) else {
            return Err(Failure::new(ErrorKind::NotLeader, "ask the leader"));
        };
        let forwarded = JoinRequest {
            forwarded: true,
            ..joining
        };
        let client = PeerClient::with_timeouts(leader.address, self.token.clone(), TIMEOUTS);
        client.call(JOIN, [&forwarded]).await
    }

    /// Gives up the vote of this replica, which is about to stop, if the log does not need it.
    pub(super) async fn release_vote(&self) {
        let since = Instant::now();
        let min_voters = self.repairs.min_voters();
        let result = self.replica.release(min_voters, self.release_limit).await;
        if result != Release::Kept {
            pimentotide_observe::event(&VoteReleased {
                result: result.to_string(),
                waited_ms: since.elapsed().as_millis() as u64,
            });
        }
    }

    async fn check(&self, others: &[SocketAddr]) -> Result<(), Failure> {
        let status = self.replica.status().await?;
        self.report_role(&status);
        if let DiskHealth::Failed(detail) = &status.disk {
            return self.recover_disk(detail).await;
        }
        let me = &status.log.identity;
        if status.log.role == RoleKind::Leader {
            report_learners(&status);
            if let Some(Repair::Remove(name)) = repair(&member_views(&status), None, &self.repairs)
            {
                log_member_change(&name, "remove", "it has been silent");
                self.replica.remove(name).await?;
            }
            self.arbiters
                .renew(&status, self.repairs.min_voters())
                .await;
            return Ok(());
        }
        let led = status.log.leader.is_some();
        if led && status.log.config.is_member(me) {
            return Ok(());
        }
        let addresses = status.log.config.members().map(|(_, m)| m.address);
        let addresses = addresses.chain(others.iter().copied());
        // A leader contacts a member whose disk was lost, also where the seeds were all replaced.
        let addresses = addresses.chain(status.senders.iter().copied());
        let mut candidates: Vec<SocketAddr> = addresses.collect();
        candidates.retain(|a| *a != self.own_address);
        candidates.sort_unstable();
        candidates.dedup();
        let joining = JoinRequest {
            name: me.name.clone(),
            address: self.own_address,
            disk: me.disk,
            forwarded: false,
        };
        self.request_join(&candidates, &joining).await;
        Ok(())
    }

    /// Logs a change of role or leader, and updates the gauges of the log.
    fn report_role(&self, status: &ReplicaStatus) {
        let log = &status.log;
        let leader = log.leader.as_ref().map(|l| l.name.to_string());
        let voters: Vec<String> = log.config.voters.keys().map(ToString::to_string).collect();
        let lost: Vec<String> = log.lost.iter().map(|l| l.name.to_string()).collect();
        let arbiters = log.config.arbiters.iter().flat_map(|a| a.members.keys());
        let arbiters: Vec<String> = arbiters.map(ToString::to_string).collect();
        let granted = log.grants.iter().flatten();
        let granted: Vec<String> = granted.map(|v| v.name.to_string()).collect();
        let now = Some(RoleState {
            role: log.role,
            term: log.term.0,
            leader: leader.clone(),
            voters: voters.clone(),
            lost: lost.clone(),
            arbiters: arbiters.clone(),
            granted: granted.clone(),
        });
        let mut logged = self
            .logged_role
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if *logged != now {
            *logged = now;
            pimentotide_observe::event(&RoleChanged {
                role: log.role.to_string(),
                term: log.term.0,
                leader,
                commit: log.commit.0,
                voters,
                lost,
                arbiters,
                granted,
            });
        }
        let arbiters = log.config.arbiters.as_ref();
        let arbiter_count = arbiters.map_or(0, |a| a.members.len() as u64);
        let gauges = [
            ("leads", u64::from(log.role == RoleKind::Leader)),
            ("led", u64::from(log.leader.is_some())),
            ("term", log.term.0),
            ("committed", log.commit.0),
            ("unsynced", log.last.index.0.saturating_sub(log.durable.0)),
            ("unapplied", log.commit.0.saturating_sub(status.applied.0)),
            (
                "disk_failed",
                u64::from(matches!(status.disk, DiskHealth::Failed(_))),
            ),
            ("members", log.config.members().count() as u64),
            ("learners", log.config.learners.len() as u64),
            ("arbiters", arbiter_count),
            ("granted", u64::from(!log.grants.is_empty())),
            ("asking", u64::from(log.asking)),
            ("log_bytes", log.log_bytes),
            ("snapshot_bytes", log.snapshot_bytes),
            ("learner_lag", learner_lag(status, |p| p.lag)),
            ("learner_lag_bytes", learner_lag(status, |p| p.lag_bytes)),
        ];
        for (name, value) in gauges {
            self.metrics.gauge("control.log", ("figure", name), value);
        }
    }

    /// Takes part in the log again once the disk accepts writes.
    ///
    /// Exits the process for a restart if the folder cannot be opened for longer than
    /// [`REOPEN_TIMEOUT`] though the disk accepts writes, as after a write that never ends.
    async fn recover_disk(&self, detail: &str) -> Result<(), Failure> {
        let path = self.data.join(PROBE_FILE);
        // The disk may hang, and the thread of this task serves requests.
        let probed = tokio::task::spawn_blocking(move || probe(&path)).await;
        let writable = probed
            .map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))
            .and_then(|r| r.map_err(|e| Failure::new(ErrorKind::DiskFailed, e.to_string())));
        let reopened = match writable {
            Ok(()) => self.replica.reopen().await,
            Err(failure) => {
                self.reopen_since().take();
                return Err(failure);
            }
        };
        let Err(failure) = reopened else {
            self.reopen_since().take();
            return Ok(());
        };
        let since = *self.reopen_since().get_or_insert_with(Instant::now);
        if since.elapsed() >= REOPEN_TIMEOUT {
            log::error!("exiting for a restart after a disk failure: {detail}; {failure}");
            std::process::exit(EXIT_DISK_FAILURE);
        }
        Err(failure)
    }

    fn reopen_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.reopen_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests membership from each replica in turn until the leader grants it.
    async fn request_join(&self, replicas: &[SocketAddr], joining: &JoinRequest) {
        for address in replicas {
            let client = PeerClient::with_timeouts(*address, self.token.clone(), TIMEOUTS);
            match client.call::<_, ()>(JOIN, [joining]).await {
                Ok(()) => {
                    log::info!("{address} admitted this replica");
                    return;
                }
                Err(failure) => log::debug!("{address} did not admit this replica: {failure}"),
            }
        }
    }
}

/// Returns the number of voters that bear this many losses.
pub(super) fn min_voters(loss: usize) -> usize {
    2 * loss + 1
}

/// Writes and removes the probe file.
fn probe(path: &Path) -> std::io::Result<()> {
    std::fs::write(path, [0; PROBE_BYTES])?;
    std::fs::remove_file(path)
}

/// Returns the leader's view of all members; its own silence is zero.
fn member_views(status: &ReplicaStatus) -> Vec<MemberView> {
    let config = &status.log.config;
    let view = |(name, member): (&InstanceName, &Member)| {
        let peer = status.log.peers.iter().find(|p| p.name == *name);
        MemberView {
            name: name.clone(),
            disk: member.disk,
            voter: config.voters.contains_key(name),
            silent_for: peer.map_or(Duration::ZERO, |p| p.silent_for),
        }
    };
    config.members().map(view).collect()
}

/// Iterates over the learners as the leader tracks them.
fn learners(status: &ReplicaStatus) -> impl Iterator<Item = &PeerStatus> {
    let learners = &status.log.config.learners;
    let peers = status.log.peers.iter();
    peers.filter(|p| learners.contains_key(&p.name))
}

/// Returns the largest lag of a learner; 0 without learners.
fn learner_lag(status: &ReplicaStatus, lag: fn(&PeerStatus) -> u64) -> u64 {
    learners(status).map(lag).max().unwrap_or(0)
}

/// Logs how far each learner is.
fn report_learners(status: &ReplicaStatus) {
    for learner in learners(status) {
        pimentotide_observe::event(&LearnerLags {
            member: learner.name.to_string(),
            flow: learner.flow.to_string(),
            lag: learner.lag,
            lag_bytes: learner.lag_bytes,
            silent_ms: learner.silent_for.as_millis() as u64,
        });
    }
}

fn log_member_change(member: &InstanceName, change: &'static str, reason: &'static str) {
    pimentotide_observe::event(&MemberChanged {
        member: member.to_string(),
        change,
        reason,
    });
}

/// Checks the membership periodically until the task is aborted.
pub(super) async fn maintain(members: Members, path: PathBuf) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        // Seeds may change while the process runs.
        let others: Vec<SocketAddr> = match FleetSettings::open(&path) {
            Ok(settings) => settings.seed_calls().into_values().collect(),
            Err(e) => {
                log::warn!("{}: {e}", path.display());
                Vec::new()
            }
        };
        if let Err(failure) = members.check(&others).await {
            log::info!("membership check failed: {failure}");
        }
    }
}
