//! One engine, one agent and one entry in a single process, without control replicas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pimentotide::agent::{Agent, AgentOptions};
use pimentotide::entry::{Entry, EntryOptions};
use pimentotide::settings::{DEFAULT_BODY_BYTES, DEFAULT_KEEP, EntrySettings, Peer};
use pimentotide_instance::{Token, View};
use pimentotide_model::{
    Declarations, InstanceName, ModelName, Profile, Revision, Service, ServiceKind, ServiceName,
    SlowStart, UpstreamName, VersionName, WorkspaceName, ZoneName,
};
use pimentotide_observe::Metrics;
use pimentotide_standin::{Engine, EngineOptions};
use tokio::sync::watch;

/// Model that the engine serves.
pub const MODEL: &str = "bench";
/// Concurrent requests that the engine runs.
const CAPACITY: u32 = 4096;
/// Time that a stopping process waits for open requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts an engine, its agent and an entry whose view lists the engine.
///
/// Also returns the sender of the view that agent and entry follow.
pub async fn start_deployment() -> (Engine, Agent, Entry, watch::Sender<View>) {
    let token = Token::open("bench-secret-0123456789").expect("a valid secret");
    let view = watch::Sender::new(View {
        declarations: Arc::new(declarations()),
        current: true,
        ..View::default()
    });
    let agent = Agent::spawn(AgentOptions {
        upstream: UpstreamName::from("bench"),
        zone: ZoneName::from("zone"),
        listen: any_port(),
        engine: any_port(),
        token: token.clone(),
        view: view.subscribe(),
        control: None,
        metrics: Metrics::none(),
        drain: DRAIN_TIMEOUT,
    })
    .expect("the agent starts");
    let engine = Engine::spawn(EngineOptions {
        agent: Some(agent.engine_address()),
        capacity: CAPACITY,
        initial_capacity: CAPACITY,
        first_token_delay: Duration::from_millis(5),
        token_gap: Duration::from_millis(2),
        ..EngineOptions::model(ModelName::from(MODEL), VersionName::from("1"))
    })
    .expect("the engine starts");
    let mut announced = agent.announcements();
    let announcement = announced
        .wait_for(Option::is_some)
        .await
        .expect("the agent is running")
        .clone();
    let announcement = announcement.expect("the agent has announced");
    view.send_modify(|v| {
        v.upstreams = Arc::new([(announcement.upstream.clone(), announcement)].into());
    });
    let entry = Entry::spawn(entry_options(token, &view)).expect("the entry starts");
    (engine, agent, entry, view)
}

fn entry_options(token: Token, view: &watch::Sender<View>) -> EntryOptions {
    let name = InstanceName::from("bench-entry");
    let zone = ZoneName::from("zone");
    EntryOptions {
        instance: name.clone(),
        zone: zone.clone(),
        settings: EntrySettings {
            listen: any_port(),
            threads: 2,
            body: DEFAULT_BODY_BYTES,
            workspace: Some(WorkspaceName::from("bench")),
            keep: DEFAULT_KEEP,
            drain: DRAIN_TIMEOUT,
        },
        entries: vec![Peer {
            name,
            zone,
            address: any_port(),
        }],
        token,
        view: view.subscribe(),
        control: None,
        metrics: Metrics::none(),
    }
}

fn declarations() -> Declarations {
    let profile = Profile {
        model: Some(ModelName::from(MODEL)),
        slow_start: SlowStart {
            initial: CAPACITY,
            completions: 1,
            least: Duration::ZERO,
        },
        ..Profile::default()
    };
    let service = Service {
        name: ServiceName::from("bench"),
        kind: ServiceKind::Model,
        profile: profile.name.clone(),
    };
    Declarations {
        revision: Revision(1),
        services: [(service.name.clone(), service)].into(),
        profiles: [(profile.name.clone(), profile)].into(),
        ..Declarations::default()
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
