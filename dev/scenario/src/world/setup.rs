//! Process lifecycle: bootstrap, start, graceful stop and kill.

use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_consensus::{ClusterId, Config, Event, Member, Node};
use pimentotide_control::{Action, Command, Document, Order};
use pimentotide_model::{
    InstanceName, ModelName, OrderId, Profile, ProfileName, Service, ServiceKind, ServiceName, Time,
};
use pimentotide_storage::Storage;
use pimentotide_storage::fake::FakeDisk;
use rand::Rng;

use super::call::Purpose;
use super::clock::Clock;
use super::engine::Engine;
use super::{Host, NodeId, OUTSIDE, SimEvent, World};
use crate::script::{ServiceSpec, UpstreamSpec};

/// Time for a new deployment to elect a leader, add its members and apply the services.
const BOOTSTRAP_TIME: Duration = Duration::from_secs(8);

impl World {
    pub(super) fn add_host(&mut self, name: &str, zone: &str) -> NodeId {
        self.hosts.push(Host {
            name: name.to_owned(),
            zone: zone.to_owned(),
            clock: Clock::new(),
            up: false,
            generation: 0,
            paused_until: Time::ZERO,
            stopping: false,
        });
        self.hosts.len() - 1
    }

    pub(super) fn add_instance(&mut self, name: &str, zone: &str, disk: bool) {
        let node = self.add_host(name, zone);
        if disk {
            let seed = self.rng.next_u64();
            self.disks.insert(node, FakeDisk::new(seed));
        }
    }

    pub(super) fn add_upstream(&mut self, spec: &UpstreamSpec) {
        let node = self.add_host(&spec.name, &spec.zone);
        self.engines.insert(node, Engine::new(spec));
    }

    pub(super) fn address(node: NodeId) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 7_000 + node as u16))
    }

    pub(super) fn instance_name(&self, node: NodeId) -> InstanceName {
        InstanceName::from(self.hosts[node].name.as_str())
    }

    /// Bootstraps the log, starts every process and declares the services.
    ///
    /// # Errors
    ///
    /// Fails if the services are not applied within [`BOOTSTRAP_TIME`].
    pub(super) fn begin(&mut self) -> Result<(), String> {
        self.bootstrap_log();
        for node in 0..self.hosts.len() {
            self.start(node);
        }
        let order = Order {
            id: OrderId::from("services"),
            base: None,
            actor: "operator".to_owned(),
            action: Action::Apply {
                document: self.document(),
                prune: false,
            },
        };
        self.submit(OUTSIDE, Command::Declare(order), Purpose::Services, None);
        self.form_group();
        self.run(BOOTSTRAP_TIME);
        if self.history.newest.0 != 1 {
            return Err("the deployment did not become ready".to_owned());
        }
        Ok(())
    }

    fn bootstrap_log(&mut self) {
        let mut config = Config::default();
        let nodes: Vec<NodeId> = self.disks.keys().copied().collect();
        for (position, node) in nodes.iter().enumerate() {
            let name = self.instance_name(*node);
            let disk = self.disks[node].clone();
            let opened = Storage::open(disk, &name, &mut self.rng).expect("an empty disk opens");
            let member = Member {
                disk: opened.recovered.hard.identity.disk,
                address: Self::address(*node),
            };
            if position == 0 {
                config.voters.insert(name, member);
            } else {
                config.learners.insert(name, member);
            }
        }
        let first = nodes[0];
        let name = self.instance_name(first);
        let disk = self.disks[&first].clone();
        let mut opened = Storage::open(disk, &name, &mut self.rng).expect("a fresh disk opens");
        let write =
            Node::bootstrap(&opened.recovered, ClusterId(7), config).expect("the folder is unused");
        opened.storage.write([&write]).expect("a fresh disk writes");
    }

    fn document(&self) -> Document {
        let mut document = Document::default();
        for spec in self.services.values() {
            let profile = profile_of(spec);
            let service = Service {
                name: ServiceName::from(spec.name.as_str()),
                kind: spec.kind,
                profile: profile.name.clone(),
            };
            document.profiles.insert(profile.name.clone(), profile);
            document.services.insert(service.name.clone(), service);
        }
        document
    }

    pub(super) fn start(&mut self, node: NodeId) {
        if self.hosts[node].up {
            return;
        }
        let time = self.time;
        let mut clock = self.hosts[node].clock.clone();
        clock.restart(time, &mut self.rng);
        let host = &mut self.hosts[node];
        host.clock = clock;
        host.up = true;
        host.stopping = false;
        host.paused_until = Time::ZERO;
        host.generation += 1;
        let generation = host.generation;
        if node < self.instances {
            if !self.start_replica(node) {
                self.hosts[node].up = false;
                return self.schedule(Duration::from_millis(50), SimEvent::Start(node));
            }
            self.start_entry(node);
        } else if !self.start_rank(node) {
            self.start_engine(node);
            self.start_agent(node);
            let name = self.hosts[node].name.clone();
            self.history.leaving(time, &name, false);
        }
        self.schedule(Duration::ZERO, SimEvent::Tick(node, generation));
    }

    /// Starts a graceful shutdown.
    pub(super) fn stop(&mut self, node: NodeId) {
        self.hosts[node].stopping = true;
        if node < self.instances {
            self.step_replica(node, Event::Transfer);
            return;
        }
        let name = self.hosts[node].name.clone();
        self.history.leaving(self.time, &name, true);
        self.leave(node);
    }

    /// Ends a process that shuts down gracefully; no request may be in flight.
    pub(super) fn exit(&mut self, node: NodeId) {
        let in_flight = self.in_flight(node);
        if in_flight > 0 {
            let detail = format!(
                "{} stopped with {in_flight} requests in flight",
                self.hosts[node].name
            );
            self.history
                .record_violation(self.time, "graceful stops finish all requests", &detail);
        }
        let text = format!("{} has stopped", self.hosts[node].name);
        self.note(&text);
        self.kill(node);
    }

    fn in_flight(&self, node: NodeId) -> usize {
        let streams = self.streams.values().filter(|s| s.entry == node).count();
        let once_requests = self.once_requests.values().filter(|o| o.entry == node);
        let once_requests = once_requests.filter(|o| !o.is_answered()).count();
        let runs = self.engines.get(&node).map_or(0, Engine::running);
        streams + once_requests + runs
    }

    /// Kills a process; its disk keeps only synced data.
    pub(super) fn kill(&mut self, node: NodeId) {
        if !self.hosts[node].up {
            return;
        }
        self.hosts[node].up = false;
        self.replicas.remove(&node);
        self.kill_rank(node);
        if let Some(disk) = self.disks.get(&node) {
            disk.restart();
        }
        if node < self.instances {
            self.entries.remove(&node);
            self.drop_requests(node);
        } else {
            self.crash_engine(node);
            self.agents.remove(&node);
        }
    }
}

pub(super) fn profile_of(spec: &ServiceSpec) -> Profile {
    Profile {
        name: ProfileName::from(spec.name.as_str()),
        model: (spec.kind == ServiceKind::Model).then(|| ModelName::from(spec.name.as_str())),
        deadline: spec.deadline,
        idempotent: !spec.once,
        lapse: spec.lapse,
        retry: pimentotide_model::RetryPolicy {
            attempts: spec.attempts,
            ..Profile::default().retry
        },
        ..Profile::default()
    }
}
