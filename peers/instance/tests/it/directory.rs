//! Distribution of declarations, leases and the directory over loopback.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pimentotide_consensus::{Index, Machine as _};
use pimentotide_control::directory::IncarnationState;
use pimentotide_control::machine::encode;
use pimentotide_control::{Action, Command, Machine, Order};
use pimentotide_instance::directory::{
    AgentOptions, AgentReporter, Directory, EntryOptions, EntryReporter, FollowOptions, Follower,
    SharedMachine, Source,
};
use pimentotide_instance::{PeerClient, PeerServer, Token, View};
use pimentotide_model::{
    AdminState, Announcement, ErrorKind, Failure, Fence, Incarnation, Revision, ServiceKind, Time,
    UpstreamName, Warmth,
};
use tokio::sync::watch;

/// Limit for each awaited event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Replicated state in memory, shared by the replicas of a test.
#[derive(Clone)]
struct State {
    machine: SharedMachine,
    /// Whether a quorum confirms the state of the replica.
    has_quorum: Arc<AtomicBool>,
}

impl State {
    fn new() -> Self {
        Self {
            machine: SharedMachine::default(),
            has_quorum: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Source of the same state without a quorum.
    fn without_quorum(&self) -> Self {
        Self {
            has_quorum: Arc::new(AtomicBool::new(false)),
            ..self.clone()
        }
    }

    /// Applies a command as the log does.
    fn apply(&self, command: &Command) {
        let command = encode(command).unwrap();
        self.machine.clone().apply(Index(1), Time::ZERO, &command);
    }

    fn zone(&self, id: &str, standing: AdminState) {
        let order = Order {
            id: id.into(),
            base: None,
            actor: "ama".to_owned(),
            action: Action::Zone {
                zone: "accra-a".into(),
                standing,
            },
        };
        self.apply(&Command::Declare(order));
    }
}

impl Source for State {
    async fn confirm(&self) -> Result<(), Failure> {
        if self.has_quorum.load(Ordering::Relaxed) {
            return Ok(());
        }
        Err(Failure::new(ErrorKind::NoQuorum, "no quorum"))
    }

    fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine) -> T,
    {
        self.machine.read(read)
    }

    fn changes(&self) -> watch::Receiver<Revision> {
        self.machine.changes()
    }
}

struct Replica {
    server: PeerServer,
    directory: Directory<State>,
}

impl Replica {
    async fn start(state: &State, epoch: u64) -> Self {
        let directory = Directory::spawn(state.clone(), epoch);
        let module = directory.module().unwrap();
        let address = "127.0.0.1:0".parse().unwrap();
        let server = PeerServer::bind(address, token(), [module]).await.unwrap();
        Self { server, directory }
    }

    fn client(&self) -> PeerClient {
        PeerClient::connect(self.server.address(), token())
    }
}

fn token() -> Token {
    Token::open("a-secret-of-enough-bytes").unwrap()
}

fn follow(replicas: Vec<PeerClient>, upstream: Option<&str>) -> Follower {
    Follower::spawn(FollowOptions {
        instance: "entry-1".into(),
        upstream: upstream.map(UpstreamName::from),
        directory: upstream.is_none(),
        replicas,
    })
}

async fn within_limit<F>(what: &str, future: F) -> F::Output
where
    F: Future,
{
    let outcome = tokio::time::timeout(EVENT_TIMEOUT, future).await;
    outcome.unwrap_or_else(|_| panic!("{what} did not happen"))
}

async fn until<F>(what: &str, view: &mut watch::Receiver<View>, test: F) -> View
where
    F: FnMut(&View) -> bool,
{
    within_limit(what, view.wait_for(test))
        .await
        .unwrap()
        .clone()
}

fn announcement(incarnation: u64) -> Announcement {
    Announcement {
        upstream: "u1".into(),
        incarnation: Incarnation(incarnation),
        zone: "accra-a".into(),
        address: "127.0.0.1:9000".to_owned(),
        kind: ServiceKind::Plain,
        services: vec!["lodge".into()],
        models: Vec::new(),
        adapters: Vec::new(),
        capacity: 8,
        group: None,
        leaving: false,
        revision: Revision(0),
        fence: Fence(0),
    }
}

#[actix_rt::test]
async fn changes_are_pushed_and_a_restarted_follower_catches_up() {
    let state = State::new();
    let replica = Replica::start(&state, 1).await;
    let follower = follow(vec![replica.client()], None);
    let mut view = follower.view();
    let first = until("first answer", &mut view, View::is_current).await;
    assert_eq!(
        first.admit(&"s".into(), &"accra-a".into(), &"u1".into()),
        Ok(())
    );
    for i in 0..300 {
        state.zone(&format!("o{i}"), AdminState::Out);
    }
    let last = until("push", &mut view, |v| {
        v.declarations.revision == Revision(300)
    })
    .await;
    let refused = last.admit(&"s".into(), &"accra-a".into(), &"u1".into());
    assert_eq!(refused, Err(ErrorKind::OutOfService));
    let restarted = follow(vec![replica.client()], None);
    let view = until("restart", &mut restarted.view(), View::is_current).await;
    assert_eq!(view.declarations, last.declarations);
}

#[actix_rt::test]
async fn restored_state_is_pushed() {
    let ahead = State::new();
    ahead.zone("o1", AdminState::Out);
    let state = State::new();
    let replica = Replica::start(&state, 1).await;
    let follower = follow(vec![replica.client()], None);
    let mut view = follower.view();
    until("first answer", &mut view, View::is_current).await;
    let mut machine = state.machine.clone();
    machine.restore(&ahead.machine.snapshot()).unwrap();
    until("push", &mut view, |v| {
        v.declarations.revision == Revision(1)
    })
    .await;
    assert!(machine.restore(&[]).is_err());
    assert_eq!(state.machine.read(Machine::revision), Revision(1));
}

#[actix_rt::test]
async fn followers_stay_current_when_a_replica_stops() {
    let state = State::new();
    let first = Replica::start(&state, 1).await;
    let second = Replica::start(&state, 2).await;
    let clients = vec![first.client(), second.client()];
    let followers = [follow(clients.clone(), None), follow(clients, Some("u1"))];
    let mut views = followers.each_ref().map(Follower::view);
    for view in &mut views {
        until("first answer", view, View::is_current).await;
    }
    first.server.stop().await;
    state.zone("o1", AdminState::Out);
    for view in &mut views {
        assert!(view.borrow().is_current());
        let view = until("order", view, |v| v.declarations.revision == Revision(1)).await;
        assert!(view.is_current());
    }
}

#[actix_rt::test]
async fn lease_expires_when_no_replica_has_a_quorum() {
    let state = State::new();
    let confirmed = Replica::start(&state, 1).await;
    let unconfirmed = Replica::start(&state.without_quorum(), 2).await;
    let follower = follow(vec![confirmed.client(), unconfirmed.client()], None);
    let mut view = follower.view();
    until("first answer", &mut view, View::is_current).await;
    state.has_quorum.store(false, Ordering::Relaxed);
    let expired = async {
        while view.borrow().is_current() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    within_limit("expiry of the lease", expired).await;
    state.zone("o1", AdminState::Out);
    let mut later = view.clone();
    let accepted = later.wait_for(|v| v.declarations.revision > Revision(0));
    let accepted = tokio::time::timeout(Duration::from_secs(1), accepted).await;
    assert!(
        accepted.is_err(),
        "accepted an answer that no quorum confirmed"
    );
    let expired = view.borrow().clone();
    assert_eq!(expired.declarations.revision, Revision(0));
    let refused = expired.admit(&"s".into(), &"accra-a".into(), &"u1".into());
    assert_eq!(refused, Err(ErrorKind::NotCurrent));
    state.has_quorum.store(true, Ordering::Relaxed);
    until("order", &mut view, |v| {
        v.declarations.revision == Revision(1)
    })
    .await;
}

#[actix_rt::test]
async fn upstreams_and_entries_are_reported_to_every_replica() {
    let state = State::new();
    let first = Replica::start(&state, 1).await;
    let second = Replica::start(&state, 2).await;
    let clients = vec![first.client(), second.client()];
    let follower = follow(clients.clone(), None);
    let (announced, announcement_rx) = watch::channel(Some(announcement(5)));
    let agent = AgentReporter::spawn(AgentOptions {
        replicas: clients.clone(),
        announcement: announcement_rx,
        warmth: watch::channel(Warmth::Warm).1,
        fence: watch::channel(Fence(3)).1,
        view: follower.view(),
    });
    let _entry = EntryReporter::spawn(&EntryOptions {
        instance: "entry-1".into(),
        zone: "accra-a".into(),
        replicas: clients,
        view: follower.view(),
    });
    let mut view = follower.view();
    until("announcement", &mut view, |v| {
        v.upstreams.contains_key("u1")
    })
    .await;
    announced.send_replace(Some(announcement(4)));
    let started = |v: &View| v.upstreams["u1"].incarnation == Incarnation(6);
    until("new start", &mut view, started).await;
    assert_eq!(*agent.incarnation().borrow(), Incarnation(6));
    assert_eq!(
        *agent.incarnation_state().borrow(),
        IncarnationState::Newest
    );
    for replica in [&first, &second] {
        let all = async {
            let complete = |r: &pimentotide_control::directory::Registry| {
                let upstreams: Vec<_> = r.members().map(|m| m.notice.rank().0).collect();
                upstreams == [Incarnation(6)] && r.entries().count() == 1
            };
            while !replica.directory.read(complete) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        within_limit("report", all).await;
    }
}

#[actix_rt::test]
async fn restarted_agent_receives_its_fencing_floor() {
    let state = State::new();
    for _ in 0..3 {
        state.apply(&Command::Allot("u1".into()));
    }
    let replica = Replica::start(&state, 1).await;
    let follower = follow(vec![replica.client()], Some("u1"));
    assert_eq!(follower.accept(Fence(9)), Err(ErrorKind::NotCurrent));
    until("first answer", &mut follower.view(), View::is_current).await;
    assert_eq!(follower.accept(Fence(2)), Err(ErrorKind::Fenced));
    assert_eq!(follower.accept(Fence(4)), Ok(()));
    assert_eq!(follower.accept(Fence(3)), Err(ErrorKind::Fenced));
}
