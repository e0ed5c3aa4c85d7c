//! Reports of agents and entries to every replica.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pimentotide_control::directory::{
    Announcer, HEARTBEAT_INTERVAL, IncarnationState, Presence, Report, ReportAnswer,
};
use pimentotide_model::{
    Announcement, Failure, Fence, Incarnation, InstanceName, Revision, Warmth, ZoneName,
};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::REPORT;
use crate::{Clock, PeerClient, View};

/// Time that a replica has to take a report.
const REPORT_TIMEOUT: Duration = HEARTBEAT_INTERVAL;

/// What an agent reports.
pub struct AgentOptions {
    /// Control replicas, all of which get every report.
    pub replicas: Vec<PeerClient>,
    /// What the agent announces; none before the upstream has started.
    pub announcement: watch::Receiver<Option<Announcement>>,
    /// How far the upstream has warmed up.
    pub warmth: watch::Receiver<Warmth>,
    /// Highest fencing number seen.
    pub fence: watch::Receiver<Fence>,
    /// View in force, for its revision.
    pub view: watch::Receiver<View>,
}

/// Running reports of an agent; stop when dropped.
pub struct AgentReporter {
    shared: Arc<Agent>,
    _tasks: JoinSet<()>,
}

struct Agent {
    options: AgentOptions,
    clock: Clock,
    announcer: Mutex<Option<Announcer>>,
    incarnation: watch::Sender<Incarnation>,
    standby: watch::Sender<IncarnationState>,
}

impl AgentReporter {
    /// Starts to report. Must be called within a runtime.
    pub fn spawn(options: AgentOptions) -> Self {
        let replicas = options.replicas.len();
        let shared = Arc::new(Agent {
            options,
            clock: Clock::start(),
            announcer: Mutex::default(),
            incarnation: watch::Sender::new(Incarnation(0)),
            standby: watch::Sender::new(IncarnationState::Newest),
        });
        let mut tasks = JoinSet::new();
        for replica in 0..replicas {
            tasks.spawn(Arc::clone(&shared).run(replica));
        }
        Self {
            shared,
            _tasks: tasks,
        }
    }

    /// Incarnation announced, which orders to the agent must name.
    ///
    /// It is the one of the announcement, raised where a replica knew a higher one.
    pub fn incarnation(&self) -> watch::Receiver<Incarnation> {
        self.shared.incarnation.subscribe()
    }

    /// Whether the agent may take new work, or another process has its name.
    pub fn standby(&self) -> watch::Receiver<IncarnationState> {
        self.shared.standby.subscribe()
    }
}

impl Agent {
    async fn run(self: Arc<Self>, replica: usize) {
        let mut announcement = self.options.announcement.clone();
        loop {
            self.exchange(replica).await;
            tokio::select! {
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
                changed = announcement.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Reports once, and once more if the replica asks for the whole.
    async fn exchange(&self, replica: usize) {
        for _ in 0..2 {
            let Some((report, rank)) = self.report(replica) else {
                return;
            };
            let client = &self.options.replicas[replica];
            let Ok(heard) = send(client, report).await else {
                return;
            };
            self.take(replica, rank, heard);
            if heard == ReportAnswer::Kept || heard == ReportAnswer::Refused {
                return;
            }
        }
    }

    fn report(&self, replica: usize) -> Option<(Report, (Incarnation, u64))> {
        let announcement = self.options.announcement.borrow().clone()?;
        let replicas = self.options.replicas.len();
        let now = self.clock.now();
        let mut announcer = self.lock();
        let announcer =
            announcer.get_or_insert_with(|| Announcer::new(announcement.clone(), replicas, now));
        announcer.set_announcement(announcement, now);
        let revision = self.options.view.borrow().declarations.revision;
        let fence = *self.options.fence.borrow();
        announcer.set_status(revision, fence, *self.options.warmth.borrow());
        self.incarnation.send_replace(announcer.incarnation());
        Some((announcer.report(replica), announcer.rank()))
    }

    fn take(&self, replica: usize, rank: (Incarnation, u64), heard: ReportAnswer) {
        let mut announcer = self.lock();
        let Some(announcer) = announcer.as_mut() else {
            return;
        };
        let standby = announcer.receive(replica, rank, heard, self.clock.now());
        self.incarnation.send_replace(announcer.incarnation());
        if self.standby.send_replace(standby) != standby {
            log::warn!("another process has taken over the name of this upstream");
        }
        if heard == ReportAnswer::Refused {
            log::warn!("replica {replica} refuses the announcement of this upstream");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Announcer>> {
        self.announcer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// What an entry reports.
#[derive(Clone)]
pub struct EntryOptions {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Control replicas, all of which get every report.
    pub replicas: Vec<PeerClient>,
    /// View in force.
    pub view: watch::Receiver<View>,
}

/// Running reports of an entry; stop when dropped.
pub struct EntryReporter {
    _tasks: JoinSet<()>,
}

impl EntryReporter {
    /// Starts to report. Must be called within a runtime.
    pub fn spawn(options: &EntryOptions) -> Self {
        let mut tasks = JoinSet::new();
        for replica in options.replicas.clone() {
            tasks.spawn(report_entry(options.clone(), replica));
        }
        Self { _tasks: tasks }
    }
}

async fn report_entry(options: EntryOptions, replica: PeerClient) {
    loop {
        let (revision, current) = {
            let view = options.view.borrow();
            (view.declarations.revision, view.is_current())
        };
        let presence = presence(&options, revision, current);
        // A report that is lost is followed by the next.
        let _ = send(&replica, Report::Entry(presence)).await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn presence(options: &EntryOptions, revision: Revision, current: bool) -> Presence {
    Presence {
        instance: options.instance.clone(),
        zone: options.zone.clone(),
        revision,
        current,
    }
}

async fn send(replica: &PeerClient, report: Report) -> Result<ReportAnswer, Failure> {
    let call = replica.call_within(REPORT_TIMEOUT, REPORT, [report]);
    match timeout(REPORT_TIMEOUT, call).await {
        Ok(heard) => heard,
        Err(_) => Err(Failure::new(
            pimentotide_model::ErrorKind::DeadlineExceeded,
            "no answer in time",
        )),
    }
}
