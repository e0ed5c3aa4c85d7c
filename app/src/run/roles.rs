//! Start and graceful stop of the roles of one process.

use std::process::ExitCode;
use std::sync::Arc;

use actix_rt::task::JoinHandle;
use derive_more::{Display, From};
use pimentotide_caller::CallerError;
use pimentotide_control::directory::IncarnationState;
use pimentotide_instance::directory::{
    AgentOptions as AgentReport, AgentReporter, EntryOptions as EntryReport, EntryReporter,
    FollowOptions, Follower,
};
use pimentotide_instance::{PeerClient, Submitter};
use pimentotide_model::{Fence, Incarnation, Revision, UpstreamName};
use pimentotide_observe::{LogError, Logs, Metrics, MetricsError};
use tokio::sync::watch;

use crate::agent::{Agent, AgentError, AgentOptions};
use crate::control::{Control, ControlError, ControlOptions};
use crate::entry::{Entry, EntryOptions};
use crate::lines::{Ready, Stopped, Stopping};
use crate::settings::{AgentSettings, EntrySettings, ReplicaSettings, Settings};
use crate::signal;

/// Reason why the roles of a process fail to start.
#[derive(Debug, Display, From)]
pub enum RolesError {
    /// The logger fails to start.
    Logs(LogError),
    /// The metrics exporter fails to start.
    Metrics(MetricsError),
    /// The control replica fails to start.
    Control(ControlError),
    /// The entry fails to start.
    Entry(CallerError),
    /// The agent fails to start.
    Agent(AgentError),
}

impl std::error::Error for RolesError {}

/// Running roles of one process, in the order in which they stop.
pub struct Roles {
    entry: Option<EntryRole>,
    agent: Option<AgentRole>,
    control: Option<Control>,
}

struct EntryRole {
    entry: Entry,
    follower: Follower,
    _reporter: EntryReporter,
}

struct AgentRole {
    agent: Arc<Agent>,
    follower: Arc<Follower>,
    tasks: [JoinHandle<()>; 3],
    _reporter: AgentReporter,
}

/// Runs all configured roles until the process receives a stop signal.
pub(super) fn run(settings: Settings) -> ExitCode {
    match actix_rt::System::new().block_on(run_until_stopped(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pimentotide: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run_until_stopped(settings: Settings) -> Result<(), RolesError> {
    let _logs = Logs::open(&settings.log)?;
    let metrics = match settings.metrics {
        Some(address) => Metrics::open(address)?,
        None => Metrics::none(),
    };
    let mut stop = signal::stops();
    let (instance, zone) = (settings.instance.clone(), settings.zone.clone());
    let roles = Roles::spawn(settings, &metrics).await?;
    pimentotide_observe::event(&roles.ready(&instance, &zone));
    stop.recv().await;
    pimentotide_observe::event(&Stopping {});
    roles.stop().await;
    pimentotide_observe::event(&Stopped {});
    Ok(())
}

impl Roles {
    /// Starts the configured roles.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the data folder is unusable.
    pub async fn spawn(mut settings: Settings, metrics: &Metrics) -> Result<Self, RolesError> {
        let control = match settings.replica.take() {
            Some(role) => Some(spawn_control(&settings, role).await?),
            None => None,
        };
        let agent = match settings.agent.take() {
            Some(role) => Some(spawn_agent(&settings, role, metrics)?),
            None => None,
        };
        let entry = match settings.entry.take() {
            Some(role) => Some(spawn_entry(&settings, role, metrics)?),
            None => None,
        };
        Ok(Self {
            entry,
            agent,
            control,
        })
    }

    /// Returns the entry; `None` if the process has no such role.
    pub fn entry(&self) -> Option<&Entry> {
        self.entry.as_ref().map(|role| &role.entry)
    }

    /// Returns the agent; `None` if the process has no such role.
    pub fn agent(&self) -> Option<&Agent> {
        self.agent.as_ref().map(|role| role.agent.as_ref())
    }

    /// Returns the control replica; `None` if the process has no such role.
    pub fn control(&self) -> Option<&Control> {
        self.control.as_ref()
    }

    /// Returns the view of the entry, otherwise that of the agent; `None` without both roles.
    pub fn view(&self) -> Option<watch::Receiver<pimentotide_instance::View>> {
        let entry = self.entry.as_ref().map(|role| role.follower.view());
        entry.or_else(|| self.agent.as_ref().map(|role| role.follower.view()))
    }

    /// Drains running requests and stops all roles: entry, agent, control.
    pub async fn stop(self) {
        if let Some(role) = self.entry {
            role.entry.stop().await;
        }
        if let Some(role) = self.agent {
            for task in role.tasks {
                task.abort();
            }
            role.agent.stop().await;
        }
        if let Some(control) = self.control {
            control.stop().await;
        }
    }

    fn ready(&self, instance: &str, zone: &str) -> Ready {
        let entry = self.entry().map(|e| ("entry", e.address()));
        let agent = self.agent().map(|a| ("agent", a.address()));
        let replica = self.control().map(|c| ("replica", c.address()));
        let operator = self.control().map(|c| ("operator", c.operator_address()));
        let served: Vec<_> = [entry, agent, replica, operator]
            .into_iter()
            .flatten()
            .collect();
        Ready {
            instance: instance.to_owned(),
            zone: zone.to_owned(),
            roles: served
                .iter()
                .filter(|(name, _)| *name != "operator")
                .map(|(name, _)| (*name).to_owned())
                .collect(),
            addresses: served
                .iter()
                .map(|(name, address)| ((*name).to_owned(), address.to_string()))
                .collect(),
        }
    }
}

async fn spawn_control(settings: &Settings, role: ReplicaSettings) -> Result<Control, RolesError> {
    let options = ControlOptions {
        instance: settings.instance.clone(),
        settings: role,
        founders: settings.control.clone(),
        token: settings.token.clone(),
    };
    Ok(Control::spawn(options).await?)
}

fn spawn_entry(
    settings: &Settings,
    role: EntrySettings,
    metrics: &Metrics,
) -> Result<EntryRole, RolesError> {
    let replicas = replicas(settings);
    let follower = follow(settings, None, &replicas);
    let reporter = EntryReporter::spawn(&EntryReport {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        replicas: replicas.clone(),
        view: follower.view(),
    });
    let entry = Entry::spawn(EntryOptions {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        settings: role,
        entries: settings.entries.clone(),
        token: settings.token.clone(),
        view: follower.view(),
        control: Some(Submitter::open(replicas)),
        metrics: metrics.clone(),
    })?;
    Ok(EntryRole {
        entry,
        follower,
        _reporter: reporter,
    })
}

fn spawn_agent(
    settings: &Settings,
    role: AgentSettings,
    metrics: &Metrics,
) -> Result<AgentRole, RolesError> {
    let replicas = replicas(settings);
    let follower = follow(settings, Some(role.upstream.clone()), &replicas);
    let agent = Agent::spawn(AgentOptions {
        upstream: role.upstream,
        zone: settings.zone.clone(),
        listen: role.listen,
        engine: role.engine,
        token: settings.token.clone(),
        view: follower.view(),
        control: Some(Submitter::open(replicas.clone())),
        metrics: metrics.clone(),
        drain: role.drain,
    })?;
    let reporter = AgentReporter::spawn(AgentReport {
        replicas,
        announcement: agent.announcements(),
        warmth: agent.warmth(),
        fence: watch::Sender::new(Fence::default()).subscribe(),
        view: follower.view(),
    });
    let (agent, follower) = (Arc::new(agent), Arc::new(follower));
    let tasks = [
        actix_rt::spawn(forward_revisions(
            agent.highest_revision(),
            Arc::clone(&follower),
        )),
        actix_rt::spawn(forward_incarnation(
            reporter.incarnation(),
            Arc::clone(&agent),
        )),
        actix_rt::spawn(drain_when_superseded(
            reporter.incarnation_state(),
            Arc::clone(&agent),
        )),
    ];
    Ok(AgentRole {
        agent,
        follower,
        tasks,
        _reporter: reporter,
    })
}

/// Forwards revisions received from entries to the follower, which may be behind them.
async fn forward_revisions(mut revisions: watch::Receiver<Revision>, follower: Arc<Follower>) {
    while revisions.changed().await.is_ok() {
        let revision = *revisions.borrow_and_update();
        follower.observe_revision(revision);
    }
}

/// Forwards the incarnation assigned to the upstream to the agent.
async fn forward_incarnation(mut incarnation: watch::Receiver<Incarnation>, agent: Arc<Agent>) {
    while incarnation.changed().await.is_ok() {
        let assigned = *incarnation.borrow_and_update();
        agent.set_alias(assigned);
    }
}

/// Drains the agent once another process supersedes it under the same name.
async fn drain_when_superseded(mut state: watch::Receiver<IncarnationState>, agent: Arc<Agent>) {
    if state
        .wait_for(|s| *s == IncarnationState::Superseded)
        .await
        .is_ok()
    {
        agent.drain();
    }
}

fn follow(
    settings: &Settings,
    upstream: Option<UpstreamName>,
    replicas: &[PeerClient],
) -> Follower {
    Follower::spawn(FollowOptions {
        instance: settings.instance.clone(),
        directory: upstream.is_none(),
        upstream,
        replicas: replicas.to_vec(),
    })
}

fn replicas(settings: &Settings) -> Vec<PeerClient> {
    let connect = |address| PeerClient::connect(address, settings.token.clone());
    settings
        .control
        .iter()
        .map(|peer| connect(peer.address))
        .collect()
}
