//! Life of processes: founding, starts, stops and deaths.

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
use super::{Host, Item, NodeId, OUTSIDE, World};
use crate::script::{ServiceText, UpstreamText};

/// Time that a founded deployment has to become whole.
const FOUNDING: Duration = Duration::from_secs(8);

impl World {
    pub(super) fn add_host(&mut self, name: &str, zone: &str) -> NodeId {
        self.hosts.push(Host {
            name: name.to_owned(),
            zone: zone.to_owned(),
            clock: Clock::new(),
            up: false,
            life: 0,
            paused: Time::ZERO,
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

    pub(super) fn add_upstream(&mut self, text: &UpstreamText) {
        let node = self.add_host(&text.name, &text.zone);
        self.engines.insert(node, Engine::new(text));
    }

    pub(super) fn address(node: NodeId) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 7_000 + node as u16))
    }

    pub(super) fn instance_name(&self, node: NodeId) -> InstanceName {
        InstanceName::from(self.hosts[node].name.as_str())
    }

    /// Founds the log, starts every process and declares the services.
    pub(super) fn begin(&mut self) -> Result<(), String> {
        self.found_log();
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
        self.run(FOUNDING);
        if self.ledger.newest.0 != 1 {
            return Err("the deployment did not come up".to_owned());
        }
        Ok(())
    }

    fn found_log(&mut self) {
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
            Node::bootstrap(&opened.recovered, ClusterId(7), config).expect("an unused folder");
        opened.storage.write([&write]).expect("a fresh disk writes");
    }

    fn document(&self) -> Document {
        let mut document = Document::default();
        for text in self.services.values() {
            let profile = profile_of(text);
            let service = Service {
                name: ServiceName::from(text.name.as_str()),
                kind: text.kind,
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
        host.paused = Time::ZERO;
        host.life += 1;
        let life = host.life;
        if node < self.instances {
            if !self.start_replica(node) {
                self.hosts[node].up = false;
                return self.schedule(Duration::from_millis(50), Item::Start(node));
            }
            self.start_entry(node);
        } else if !self.start_rank(node) {
            self.start_engine(node);
            self.start_agent(node);
            let name = self.hosts[node].name.clone();
            self.ledger.leaving(time, &name, false);
        }
        self.schedule(Duration::ZERO, Item::Tick(node, life));
    }

    /// Begins a graceful shutdown.
    pub(super) fn stop(&mut self, node: NodeId) {
        self.hosts[node].stopping = true;
        if node < self.instances {
            self.tell(node, Event::Transfer);
            return;
        }
        let name = self.hosts[node].name.clone();
        self.ledger.leaving(self.time, &name, true);
        self.leave(node);
    }

    /// Ends the process of a graceful shutdown, once it has nothing left to do.
    pub(super) fn exit(&mut self, node: NodeId) {
        let busy = self.busy(node);
        if busy > 0 {
            let detail = format!("{} stopped with {busy} requests", self.hosts[node].name);
            self.ledger
                .violate(self.time, "graceful stops cut nothing short", &detail);
        }
        let text = format!("{} has stopped", self.hosts[node].name);
        self.note(&text);
        self.kill(node);
    }

    fn busy(&self, node: NodeId) -> usize {
        let flights = self.flights.values().filter(|f| f.entry == node).count();
        let onces = self.onces.values().filter(|o| o.entry == node);
        let onces = onces.filter(|o| !o.is_answered()).count();
        let runs = self.engines.get(&node).map_or(0, Engine::running);
        flights + onces + runs
    }

    /// Ends a process at once; its disk keeps what was synced.
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
            self.engine_dies(node);
            self.agents.remove(&node);
        }
    }
}

pub(super) fn profile_of(text: &ServiceText) -> Profile {
    Profile {
        name: ProfileName::from(text.name.as_str()),
        model: (text.kind == ServiceKind::Model).then(|| ModelName::from(text.name.as_str())),
        deadline: text.deadline,
        idempotent: !text.once,
        lapse: text.lapse,
        retry: pimentotide_model::RetryPolicy {
            attempts: text.attempts,
            ..Profile::default().retry
        },
        ..Profile::default()
    }
}
