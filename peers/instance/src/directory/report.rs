//! Heartbeats and announcements that agents and entries send to every replica.

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

/// Limit for a replica to answer a report.
const REPORT_TIMEOUT: Duration = HEARTBEAT_INTERVAL;

/// Sources of an agent's reports.
pub struct AgentOptions {
    /// Control replicas, each of which receives every report.
    pub replicas: Vec<PeerClient>,
    /// Announcement of the upstream; `None` before the upstream has started.
    pub announcement: watch::Receiver<Option<Announcement>>,
    /// Warm-up state of the upstream.
    pub warmth: watch::Receiver<Warmth>,
    /// Highest fencing token received.
    pub fence: watch::Receiver<Fence>,
    /// View in force, of which the revision is reported.
    pub view: watch::Receiver<View>,
}

/// Background tasks that report for an agent; stop when dropped.
pub struct AgentReporter {
    shared: Arc<Agent>,
    _tasks: JoinSet<()>,
}

struct Agent {
    options: AgentOptions,
    clock: Clock,
    announcer: Mutex<Option<Announcer>>,
    incarnation: watch::Sender<Incarnation>,
    state: watch::Sender<IncarnationState>,
}

impl AgentReporter {
    /// Starts one task per replica. Must be called within a runtime.
    pub fn spawn(options: AgentOptions) -> Self {
        let replicas = options.replicas.len();
        let shared = Arc::new(Agent {
            options,
            clock: Clock::start(),
            announcer: Mutex::default(),
            incarnation: watch::Sender::new(Incarnation(0)),
            state: watch::Sender::new(IncarnationState::Newest),
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

    /// Subscribes to the announced incarnation, which orders to the agent must carry.
    ///
    /// Starts as that of the announcement and is raised above any higher one that a
    /// replica reports.
    pub fn incarnation(&self) -> watch::Receiver<Incarnation> {
        self.shared.incarnation.subscribe()
    }

    /// Subscribes to whether the agent may accept new work or is superseded by
    /// another process of the same name.
    pub fn incarnation_state(&self) -> watch::Receiver<IncarnationState> {
        self.shared.state.subscribe()
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

    /// Reports once, and once more if the replica asks for the full announcement.
    async fn exchange(&self, replica: usize) {
        for _ in 0..2 {
            let Some((report, rank)) = self.report(replica) else {
                return;
            };
            let client = &self.options.replicas[replica];
            let Ok(answer) = send(client, report).await else {
                return;
            };
            self.receive(replica, rank, answer);
            if answer == ReportAnswer::Kept || answer == ReportAnswer::Refused {
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

    fn receive(&self, replica: usize, rank: (Incarnation, u64), answer: ReportAnswer) {
        let mut announcer = self.lock();
        let Some(announcer) = announcer.as_mut() else {
            return;
        };
        let state = announcer.receive(replica, rank, answer, self.clock.now());
        self.incarnation.send_replace(announcer.incarnation());
        if self.state.send_replace(state) != state {
            log::warn!("another process has taken over the name of this upstream");
        }
        if answer == ReportAnswer::Refused {
            log::warn!("replica {replica} rejected the announcement of this upstream");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Announcer>> {
        self.announcer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sources of an entry's reports.
#[derive(Clone)]
pub struct EntryOptions {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Control replicas, each of which receives every report.
    pub replicas: Vec<PeerClient>,
    /// View in force, of which revision and currency are reported.
    pub view: watch::Receiver<View>,
}

/// Background tasks that report for an entry; stop when dropped.
pub struct EntryReporter {
    _tasks: JoinSet<()>,
}

impl EntryReporter {
    /// Starts one task per replica. Must be called within a runtime.
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
        // A lost report is covered by the next one.
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
        Ok(answer) => answer,
        Err(_) => Err(Failure::new(
            pimentotide_model::ErrorKind::DeadlineExceeded,
            "no answer in time",
        )),
    }
}
