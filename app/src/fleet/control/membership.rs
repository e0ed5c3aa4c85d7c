//! Members of the log: joins when this replica is none, repairs when it leads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use pimentotide_consensus::{DiskId, RoleKind};
use pimentotide_fleet::{FleetState, MemberView, Repair, RepairOptions, repair};
use pimentotide_instance::replica::{DiskHealth, ReplicaHandle, ReplicaStatus};
use pimentotide_instance::{PeerClient, PeerTimeouts, Token};
use pimentotide_model::{ErrorKind, Failure, InstanceName};
use pimentotide_observe::Metrics;

use super::super::FleetSettings;
use super::super::news::{JOIN, Joining};
use crate::lines::{MemberChanged, RoleChanged};

/// Pause between looks.
const PAUSE: Duration = Duration::from_millis(500);
/// Silence after which a voter that is not needed is removed; longer than an ordinary restart.
const SILENCE: Duration = Duration::from_secs(6);
/// File that is written to see whether the disk takes writes.
const PROBE_FILE: &str = "probe";
/// Size of that file; more than one record of the log.
const PROBE_BYTES: usize = 64 << 10;
/// Exit code after a failure of the disk.
const EXIT_DISK: i32 = 5;
/// How long a replica that joins waits for another one.
const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(300),
    call: Duration::from_millis(1_500),
    retry_delay: Duration::from_millis(200),
    idle: Duration::from_millis(1_500),
};

/// Role, term and leader of a replica.
type Standing = (RoleKind, u64, Option<String>);

/// Members of the log as one replica sees and changes them.
#[derive(Clone)]
pub(super) struct Members {
    replica: ReplicaHandle<FleetState>,
    own: SocketAddr,
    data: PathBuf,
    token: Token,
    repairs: RepairOptions,
    metrics: Metrics,
    /// Role, term and leader that were logged last.
    told: Arc<Mutex<Option<Standing>>>,
    /// When each member was last heard of, while this replica leads.
    heard: Arc<Mutex<BTreeMap<InstanceName, Instant>>>,
}

impl Members {
    pub(super) fn new(
        replica: ReplicaHandle<FleetState>,
        settings: &FleetSettings,
        token: Token,
        metrics: Metrics,
    ) -> Self {
        Self {
            replica,
            own: settings.calls(),
            data: settings.data.clone().unwrap_or_default(),
            token,
            repairs: RepairOptions {
                max_silence: SILENCE,
                min_voters: 2 * settings.loss + 1,
            },
            metrics,
            told: Arc::default(),
            heard: Arc::default(),
        }
    }

    /// Makes a replica that asks for it a member, if this one leads.
    pub(super) async fn admit(&self, joining: Joining) -> Result<(), Failure> {
        let status = self.replica.status().await?;
        if status.log.role != RoleKind::Leader {
            return Err(Failure::new(ErrorKind::NotLeader, "ask the leader"));
        }
        let asked = Some((&joining.name, joining.disk));
        match repair(&self.views(&status), asked, &self.repairs) {
            Some(Repair::Remove(name)) => {
                note_member(&name, "remove", "its disk was lost");
                self.replica.remove(name).await?;
            }
            Some(Repair::Add(_)) | None => {}
        }
        let held = self.replica.status().await?;
        if held.log.config.member(&joining.name).is_none() {
            note_member(&joining.name, "add", "it asked to join");
            self.replica.add(joining.name, joining.address).await?;
        }
        Ok(())
    }

    fn views(&self, status: &ReplicaStatus) -> Vec<MemberView> {
        let now = Instant::now();
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let leads = status.log.role == RoleKind::Leader;
        if !leads {
            heard.clear();
        }
        let mut view = |name: &InstanceName, disk: DiskId, voter| {
            let peer = status.log.peers.iter().find(|p| p.name == *name);
            let last = heard.entry(name.clone()).or_insert(now);
            if peer.is_none_or(|p| p.reachable) {
                *last = now;
            }
            MemberView {
                name: name.clone(),
                disk,
                voter,
                silent_for: now.duration_since(*last),
            }
        };
        let config = &status.log.config;
        let mut views: Vec<MemberView> = config
            .voters
            .iter()
            .map(|(n, m)| view(n, m.disk, true))
            .collect();
        views.extend(config.learners.iter().map(|(n, m)| view(n, m.disk, false)));
        views
    }

    async fn look(&self, others: &[SocketAddr]) -> Result<(), Failure> {
        let status = self.replica.status().await?;
        self.note_role(&status);
        if let DiskHealth::Failed(detail) = &status.disk {
            return self.end_if_writable(detail).await;
        }
        let me = &status.log.identity;
        if status.log.role == RoleKind::Leader {
            if let Some(Repair::Remove(name)) = repair(&self.views(&status), None, &self.repairs) {
                note_member(&name, "remove", "it has been silent");
                self.replica.remove(name).await?;
            }
            return Ok(());
        }
        let led = status.log.leader.is_some();
        if led && status.log.config.is_member(me) {
            return Ok(());
        }
        let known = status.log.config.members().map(|(_, m)| m.address);
        let mut asked: Vec<SocketAddr> = known.chain(others.iter().copied()).collect();
        asked.retain(|a| *a != self.own);
        asked.sort_unstable();
        asked.dedup();
        let joining = Joining {
            name: me.name.clone(),
            address: self.own,
            disk: me.disk,
        };
        self.ask_to_join(&asked, &joining).await;
        Ok(())
    }

    /// Logs a change of role or leader, and measures the log.
    fn note_role(&self, status: &ReplicaStatus) {
        let log = &status.log;
        let leader = log.leader.as_ref().map(|l| l.name.to_string());
        let now = Some((log.role, log.term.0, leader.clone()));
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        if *told != now {
            *told = now;
            pimentotide_observe::event(&RoleChanged {
                role: log.role.to_string(),
                term: log.term.0,
                leader,
                commit: log.commit.0,
            });
        }
        let gauges = [
            ("leads", u64::from(log.role == RoleKind::Leader)),
            ("led", u64::from(log.leader.is_some())),
            ("term", log.term.0),
            ("committed", log.commit.0),
            ("unsynced", log.last.index.0.saturating_sub(log.durable.0)),
            ("unapplied", log.commit.0.saturating_sub(status.applied.0)),
            ("members", log.config.members().count() as u64),
        ];
        for (name, value) in gauges {
            self.metrics.gauge("control.log", ("figure", name), value);
        }
    }

    /// Ends the process, to be started anew, once the disk takes writes again.
    async fn end_if_writable(&self, detail: &str) -> Result<(), Failure> {
        let probe = self.data.join(PROBE_FILE);
        let written =
            std::fs::write(&probe, [0; PROBE_BYTES]).and_then(|()| std::fs::remove_file(&probe));
        match written {
            Ok(()) => {
                log::error!("ending to recover from a failure of the disk: {detail}");
                std::process::exit(EXIT_DISK);
            }
            Err(e) => Err(Failure::new(ErrorKind::DiskFailed, e.to_string())),
        }
    }

    /// Asks the leader, whichever it is, to make this replica a member.
    async fn ask_to_join(&self, replicas: &[SocketAddr], joining: &Joining) {
        for address in replicas {
            let client = PeerClient::with_timeouts(*address, self.token.clone(), TIMEOUTS);
            match client.call::<_, ()>(JOIN, [joining]).await {
                Ok(()) => {
                    log::info!("{address} admits this replica");
                    return;
                }
                Err(failure) => log::debug!("{address} does not admit this replica: {failure}"),
            }
        }
    }
}

fn note_member(member: &InstanceName, change: &'static str, reason: &'static str) {
    pimentotide_observe::event(&MemberChanged {
        member: member.to_string(),
        change,
        reason,
    });
}

/// Looks after the members until it is aborted.
pub(super) async fn keep(members: Members, path: PathBuf) {
    loop {
        tokio::time::sleep(PAUSE).await;
        // Seeds may change while the process runs.
        let others: Vec<SocketAddr> = match FleetSettings::open(&path) {
            Ok(settings) => settings.seed_calls().into_values().collect(),
            Err(e) => {
                log::warn!("{}: {e}", path.display());
                Vec::new()
            }
        };
        if let Err(failure) = members.look(&others).await {
            log::info!("members stay as they are: {failure}");
        }
    }
}
