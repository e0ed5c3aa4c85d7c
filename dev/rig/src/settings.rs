//! Instances, settings files and declarations of a deployment on loopback addresses.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};

use crate::options::Layout;

const TOKEN: &str = "rig-secret-0123456789";
const ENTRIES_PER_ZONE: u8 = 3;
const MODELS_PER_ZONE: u8 = 4;
const CALLER_PORT: u16 = 18_080;
const PEER_PORT: u16 = 17_100;
const OPERATOR_PORT: u16 = 18_081;
const WORK_PORT: u16 = 17_200;
const ANNOUNCE_PORT: u16 = 17_201;
/// Last octet of the first agent's address in each zone.
const FIRST_AGENT_HOST: u8 = 101;

/// One process of the deployment.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    /// Name of the instance, unique in the deployment.
    pub(crate) name: String,
    /// Name of its availability zone.
    pub(crate) zone: String,
    /// Loopback address of the instance.
    pub(crate) host: Ipv4Addr,
    /// Role of its process.
    pub(crate) role: Role,
}

/// Role of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// An entry, with a control replica if it has a disk.
    Entry {
        /// Whether the instance has a disk.
        disk: bool,
    },
    /// The agent of an upstream.
    Agent {
        /// Name of the upstream.
        upstream: String,
        /// Whether the upstream is a plain service instead of a model engine.
        plain: bool,
    },
}

impl Instance {
    /// Address of the entry for callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        SocketAddr::from((self.host, CALLER_PORT))
    }

    /// Address of the control replica for operators.
    pub(crate) fn operator_address(&self) -> SocketAddr {
        SocketAddr::from((self.host, OPERATOR_PORT))
    }

    /// Address of the agent to which the upstream announces itself.
    pub(crate) fn announce_address(&self) -> SocketAddr {
        SocketAddr::from((self.host, ANNOUNCE_PORT))
    }
}

/// Names of the zones of a deployment.
pub(crate) fn zones(layout: Layout) -> [&'static str; 3] {
    match layout {
        Layout::Ashanti => ["accra-a", "accra-b", "tema-c"],
        Layout::Bondline => ["ge-east-a", "ge-east-b", "ge-east-c"],
    }
}

/// All processes of a deployment.
pub(crate) fn instances(layout: Layout) -> Vec<Instance> {
    let network = match layout {
        Layout::Ashanti => 31,
        Layout::Bondline => 32,
    };
    let mut instances = Vec::new();
    for (number, zone) in (1..).zip(zones(layout)) {
        for host in 1..=ENTRIES_PER_ZONE {
            instances.push(Instance {
                name: format!("{zone}-entry-{host}"),
                zone: zone.to_owned(),
                host: Ipv4Addr::new(127, network, number, host),
                role: Role::Entry { disk: host == 1 },
            });
        }
        for index in 0..=MODELS_PER_ZONE {
            let plain = index == MODELS_PER_ZONE;
            let kind = if plain {
                "plain".to_owned()
            } else {
                format!("model-{index}")
            };
            let upstream = format!("{zone}-{kind}");
            instances.push(Instance {
                name: format!("{upstream}-agent"),
                zone: zone.to_owned(),
                host: Ipv4Addr::new(127, network, number, FIRST_AGENT_HOST + index),
                role: Role::Agent { upstream, plain },
            });
        }
    }
    instances
}

/// Text of the settings file of one process.
pub(crate) fn settings_text(instance: &Instance, all: &[Instance], data: &str) -> String {
    let mut text = format!(
        "instance: {}\nregion: rig\nzone: {}\ntoken: {TOKEN}\nlog: \"info, actix_server=warn\"\n",
        instance.name, instance.zone
    );
    text.push_str("control:\n");
    for peer in all.iter().filter(|i| i.role == Role::Entry { disk: true }) {
        push_peer(&mut text, peer, PEER_PORT);
    }
    match &instance.role {
        Role::Entry { disk } => {
            text.push_str("entries:\n");
            for peer in all.iter().filter(|i| matches!(i.role, Role::Entry { .. })) {
                push_peer(&mut text, peer, CALLER_PORT);
            }
            let host = instance.host;
            let _ = write!(
                text,
                "entry:\n  listen: {host}:{CALLER_PORT}\n  workspace: town-1\n"
            );
            if *disk {
                let _ = write!(
                    text,
                    "replica:\n  listen: {host}:{PEER_PORT}\n  operator: {host}:{OPERATOR_PORT}\n  data: {data}\n"
                );
            }
        }
        Role::Agent { upstream, .. } => {
            let host = instance.host;
            let _ = write!(
                text,
                "agent:\n  upstream: {upstream}\n  listen: {host}:{WORK_PORT}\n  engine: {host}:{ANNOUNCE_PORT}\n"
            );
        }
    }
    text
}

/// Profiles and services that every deployment declares, as YAML.
pub(crate) const DECLARATIONS: &str = "\
profiles:
  interactive:
    model: rig
    deadline_ms: 20000
    slow_start: {initial: 2, completions: 2, least_ms: 2000}
  lodging:
    idempotent: false
    deadline_ms: 20000
    slow_start: {initial: 4, completions: 2, least_ms: 1000}
services:
  drafting: {kind: model, profile: interactive}
  register: {kind: plain, profile: lodging}
";

fn push_peer(text: &mut String, peer: &Instance, port: u16) {
    let _ = writeln!(
        text,
        "  - {{name: {}, zone: {}, address: \"{}:{port}\"}}",
        peer.name, peer.zone, peer.host
    );
}
