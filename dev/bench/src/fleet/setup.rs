//! Components of the simulated deployment and their initial state.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::{
    Announcement, Declarations, Fence, Incarnation, InstanceName, ModelName, Profile, ProfileName,
    Revision, Service, ServiceKind, ServiceName, SlowStart, Spread, Time, UpstreamName,
    VersionName, ZoneName,
};
use pimentotide_routing::{
    FairQueue, Gate, GatePolicy, GateSettings, Permit, PlacerSettings, Ticket,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::chooser::Chooser;
use super::engine::EngineModel;
use super::event::WorldSettings;

/// Zone names; engines and entries are assigned to them in turn.
pub(super) const ZONES: [&str; 3] = ["accra-a", "accra-b", "tema-c"];
/// One-way network delay within a zone.
const NEAR_DELAY: Duration = Duration::from_micros(100);
/// One-way network delay between zones.
pub(super) const FAR_DELAY: Duration = Duration::from_micros(900);

/// Agent and engine of one upstream.
pub(super) struct Node {
    pub(super) gate: Gate,
    pub(super) engine: EngineModel,
    /// Number of the latest scheduled engine event; earlier ones are outdated.
    pub(super) version: u64,
    /// Sequence number of the last cache event.
    pub(super) sequence: u64,
    pub(super) cached_blocks: BTreeMap<u64, ()>,
}

pub(super) struct Entry {
    pub(super) chooser: Chooser,
    pub(super) queue: FairQueue<usize>,
    pub(super) demand_sent_at: Option<Time>,
}

/// Progress of one request.
#[derive(Default)]
pub(super) struct Flight {
    pub(super) engine: usize,
    pub(super) sent: Time,
    pub(super) first: Option<Time>,
    pub(super) ticket: Option<Ticket>,
    pub(super) permit: Option<Permit>,
    pub(super) admitted: Time,
    pub(super) started: Time,
    pub(super) tried: Vec<usize>,
    pub(super) refusals: u32,
}

pub(super) fn node(settings: &WorldSettings, declarations: &Declarations, index: usize) -> Node {
    let announcement = announcement(settings, index);
    let gate = GateSettings {
        incarnation: announcement.incarnation,
        capacity: settings.capacity,
        policy: GatePolicy::of(declarations, &announcement),
    };
    let mut gate = Gate::open(gate, Time::ZERO);
    gate.renew(Time::MAX);
    Node {
        gate,
        engine: EngineModel::new(settings.capacity, settings.engines[index]),
        version: 0,
        sequence: 0,
        cached_blocks: BTreeMap::new(),
    }
}

pub(super) fn entry(
    settings: &WorldSettings,
    declarations: &Declarations,
    index: usize,
    rng: &mut ChaCha8Rng,
) -> Entry {
    let zone = ZoneName::from(ZONES[index % 3]);
    let mut placer_settings = PlacerSettings::new(instance(index), zone);
    placer_settings.choices = settings.choices;
    let names = (0..settings.engines.len()).map(upstream).collect();
    let chooser_rng = ChaCha8Rng::seed_from_u64(rng.random());
    let turn = rng.random_range(0..1_000);
    let mut chooser = Chooser::new(settings.policy, placer_settings, names, turn, chooser_rng);
    chooser.placer.declare(declarations.clone());
    for engine in 0..settings.engines.len() {
        chooser.placer.announce(announcement(settings, engine));
    }
    let service = ServiceName::from("drafting");
    let profile = declarations
        .profile_of(&service)
        .cloned()
        .unwrap_or_default();
    Entry {
        chooser,
        queue: FairQueue::open(service, profile.queue, profile.shares),
        demand_sent_at: None,
    }
}

pub(super) fn declarations(spread: Spread) -> Declarations {
    let mut profile = Profile {
        model: Some(ModelName::from("draft")),
        slow_start: SlowStart {
            initial: 1,
            completions: 2,
            least: Duration::from_secs(2),
        },
        ..Profile::default()
    };
    profile.zones.spread = spread;
    let service = Service {
        name: ServiceName::from("drafting"),
        kind: ServiceKind::Model,
        profile: ProfileName::from("default"),
    };
    Declarations {
        revision: Revision(1),
        profiles: [(profile.name.clone(), profile)].into(),
        services: [(service.name.clone(), service)].into(),
        ..Declarations::default()
    }
}

pub(super) fn announcement(settings: &WorldSettings, index: usize) -> Announcement {
    Announcement {
        upstream: upstream(index),
        incarnation: Incarnation(1),
        zone: ZoneName::from(ZONES[index % 3]),
        address: format!("127.0.0.1:{}", 7_000 + index),
        kind: ServiceKind::Model,
        services: Vec::new(),
        models: vec![(ModelName::from("draft"), VersionName::from("1"))],
        adapters: Vec::new(),
        capacity: settings.capacity,
        group: None,
        leaving: false,
        revision: Revision(1),
        fence: Fence(0),
    }
}

pub(super) fn upstream(index: usize) -> UpstreamName {
    UpstreamName::from(format!("u{index:04}"))
}

pub(super) fn instance(index: usize) -> InstanceName {
    InstanceName::from(format!("e{index}"))
}

/// One-way network delay between an entry and an engine.
pub(super) fn delay(entry: usize, engine: usize) -> Duration {
    if entry % 3 == engine % 3 {
        NEAR_DELAY
    } else {
        FAR_DELAY
    }
}
