//! In-memory control replica, with servers, clients and a document for the tests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pimentotide_control::directory::{Notice, Presence, Registry, Report};
use pimentotide_control::{Command, Machine, Response};
use pimentotide_model::{
    Announcement, ErrorKind, Failure, Fence, Incarnation, OrderId, Revision, ServiceKind, Time,
    Warmth,
};
use pimentotide_operator::client::Client;
use pimentotide_operator::command::{Envelope, Output, Request, execute};
use pimentotide_operator::server::Server;
use pimentotide_operator::{Cluster, Control, Member, MemberChange, MemberRole};

/// Behaviour of a replica on proposals and reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Commits and answers.
    Healthy,
    /// Commits, but fails with an unknown outcome.
    LosesAnswer,
    /// Cannot reach a quorum.
    NoQuorum,
    /// Never answers a proposal.
    Unresponsive,
}

pub(crate) struct State {
    pub(crate) machine: Machine,
    pub(crate) registry: Registry,
    pub(crate) cluster: Cluster,
}

/// Replica whose state may be shared by several servers.
#[derive(Clone)]
pub(crate) struct Replica {
    pub(crate) state: Arc<Mutex<State>>,
    pub(crate) mode: Mode,
}

impl Replica {
    pub(crate) fn new() -> Self {
        let member = Member {
            name: "entry-1".into(),
            address: "127.0.0.1:7001".to_owned(),
            role: MemberRole::Voter,
        };
        let state = State {
            machine: Machine::default(),
            registry: Registry::new(1, Time::ZERO),
            cluster: Cluster {
                local: "entry-1".to_owned(),
                leader: Some("entry-1".into()),
                members: vec![member],
            },
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            mode: Mode::Healthy,
        }
    }

    /// Returns a replica in another mode that shares this one's state.
    pub(crate) fn with(&self, mode: Mode) -> Self {
        Self {
            state: Arc::clone(&self.state),
            mode,
        }
    }

    pub(crate) fn serve(&self) -> SocketAddr {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Server::bind(address, self.clone()).unwrap().address()
    }

    pub(crate) fn revision(&self) -> Revision {
        self.state.lock().unwrap().machine.revision()
    }

    pub(crate) fn announce(&self, upstream: &str, warmth: Warmth) {
        let announcement = Announcement {
            upstream: upstream.into(),
            incarnation: Incarnation(1),
            zone: "accra-a".into(),
            address: "127.0.0.1:9000".to_owned(),
            kind: ServiceKind::Model,
            services: Vec::new(),
            models: vec![("roadlaw".into(), "v3".into())],
            adapters: Vec::new(),
            capacity: 8,
            group: None,
            leaving: false,
            revision: Revision(1),
            fence: Fence(0),
        };
        let notice = Notice {
            sequence: 0,
            announcement,
        };
        let report = Report::Whole { notice, warmth };
        self.state
            .lock()
            .unwrap()
            .registry
            .receive(report, Time::ZERO);
    }

    pub(crate) fn announce_entry(&self, instance: &str) {
        let presence = Presence {
            instance: instance.into(),
            zone: "tema-c".into(),
            revision: Revision(1),
            current: true,
        };
        let report = Report::Entry(presence);
        self.state
            .lock()
            .unwrap()
            .registry
            .receive(report, Time::ZERO);
    }
}

impl Control for Replica {
    async fn propose(&self, command: Command) -> Result<Response, Failure> {
        if self.mode == Mode::NoQuorum {
            return Err(Failure::new(ErrorKind::NoQuorum, "no quorum"));
        }
        if self.mode == Mode::Unresponsive {
            std::future::pending::<()>().await;
        }
        let response = self
            .state
            .lock()
            .unwrap()
            .machine
            .apply(Time::ZERO, &command);
        if self.mode == Mode::LosesAnswer {
            return Err(Failure::new(
                ErrorKind::OutcomeUnknown,
                "the answer is lost",
            ));
        }
        Ok(response)
    }

    async fn confirm(&self) -> Result<(), Failure> {
        if self.mode == Mode::NoQuorum {
            return Err(Failure::new(ErrorKind::NotCurrent, "no quorum"));
        }
        Ok(())
    }

    fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine, &Registry) -> T,
    {
        let state = self.state.lock().unwrap();
        read(&state.machine, &state.registry)
    }

    fn cluster(&self) -> Cluster {
        self.state.lock().unwrap().cluster.clone()
    }

    async fn change(&self, change: MemberChange) -> Result<Cluster, Failure> {
        let mut state = self.state.lock().unwrap();
        let members = &mut state.cluster.members;
        match change {
            MemberChange::Add { name, address } => members.push(Member {
                name,
                address,
                role: MemberRole::Learner,
            }),
            MemberChange::Remove { name } => members.retain(|m| m.name != name),
        }
        Ok(state.cluster.clone())
    }

    fn groups(&self) -> Vec<serde_json::Value> {
        vec![serde_json::json!({"name": "g1", "ranks": 8, "map": [1, 2]})]
    }
}

pub(crate) fn client(addresses: &[SocketAddr]) -> Client {
    let addresses = addresses.iter().map(SocketAddr::to_string);
    Client::open(addresses).with_timeouts(Duration::from_millis(300), Duration::from_secs(2))
}

pub(crate) fn envelope(id: &str) -> Envelope {
    Envelope {
        id: OrderId::from(id),
        actor: "ama".to_owned(),
        base: None,
        json: false,
    }
}

pub(crate) async fn run(addresses: &[SocketAddr], id: &str, request: Request) -> Output {
    execute(&client(addresses), &envelope(id), request).await
}

pub(crate) const DOCUMENT: &str = "\
profiles:
  drafting: {model: roadlaw}
services:
  draft: {profile: drafting}
";
