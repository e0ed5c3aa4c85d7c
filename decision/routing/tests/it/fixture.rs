//! Declarations, announcements and requests shared by the tests.

use std::time::Duration;

use pimentotide_model::{
    AdminState, Announcement, Declarations, Fence, Fingerprint, Incarnation, InstanceName,
    LoadReport, ModelName, Priority, Profile, ProfileName, RequestId, RequestMeta, Revision,
    Service, ServiceKind, ServiceName, Time, UpstreamName, VersionName, Warmth, WorkspaceName,
    ZoneName,
};
use pimentotide_routing::{
    Admission, Completed, Demand, Gate, GatePolicy, GateSettings, Outcome, Placer, PlacerSettings,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub(crate) const ZONES: [&str; 3] = ["accra-a", "accra-b", "tema-c"];

pub(crate) fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

pub(crate) fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub(crate) fn profile() -> Profile {
    Profile {
        model: Some(ModelName::from("draft")),
        ..Profile::default()
    }
}

pub(crate) fn declarations(profile: Profile) -> Declarations {
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

pub(crate) fn announcement(index: usize, capacity: u32) -> Announcement {
    Announcement {
        upstream: UpstreamName::from(format!("u{index:02}")),
        incarnation: Incarnation(1),
        zone: ZoneName::from(ZONES[index % ZONES.len()]),
        address: format!("127.0.0.1:{}", 7000 + index),
        kind: ServiceKind::Model,
        services: Vec::new(),
        models: vec![(ModelName::from("draft"), VersionName::from("1"))],
        adapters: Vec::new(),
        capacity,
        group: None,
        leaving: false,
        revision: Revision(1),
        fence: Fence(0),
    }
}

pub(crate) fn report(sequence: u64, running: u32, allowance: u32) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        sequence,
        running,
        waiting: 0,
        allowance,
        warmth: Warmth::Warm,
        first_token: 80_000,
        token_gap: 10_000,
    }
}

pub(crate) fn meta(id: u128, workspace: &str) -> RequestMeta {
    RequestMeta {
        id: RequestId(id),
        workspace: WorkspaceName::from(workspace),
        service: ServiceName::from("drafting"),
        model: Some(ModelName::from("draft")),
        version: None,
        adapter: None,
        priority: Priority(100),
        deadline: at(60_000),
        idempotent: true,
        key: None,
        fingerprint: Fingerprint::default(),
        prefix: Vec::new(),
        stream: true,
    }
}

/// Placer in the first zone with `count` idle upstreams of capacity 16.
pub(crate) fn placer(count: usize) -> Placer {
    let instance = InstanceName::from("e1");
    let mut placer = Placer::open(PlacerSettings::new(instance, ZoneName::from(ZONES[0])));
    placer.declare(declarations(profile()));
    for index in 0..count {
        let announcement = announcement(index, 16);
        let upstream = announcement.upstream.clone();
        placer.announce(announcement);
        placer.observe_report(&upstream, &report(1, 0, 16), at(0));
    }
    placer
}

/// Gate of an upstream of capacity 8 with a lease that does not expire.
pub(crate) fn gate() -> Gate {
    let announcement = announcement(0, 8);
    let settings = GateSettings {
        incarnation: announcement.incarnation,
        capacity: announcement.capacity,
        policy: GatePolicy::of(&declarations(profile()), &announcement),
    };
    let mut gate = Gate::open(settings, at(0));
    gate.renew(Time::MAX);
    gate
}

pub(crate) fn admission(entry: &str, workspace: &str) -> Admission {
    Admission {
        entry: InstanceName::from(entry),
        request: RequestId(1),
        service: ServiceName::from("drafting"),
        workspace: WorkspaceName::from(workspace),
        priority: Priority(100),
        remaining: Duration::from_secs(10),
        revision: Revision(1),
        credit: None,
    }
}

pub(crate) fn demand(workspace: &str, remaining: Duration, count: u32) -> Demand {
    Demand {
        service: ServiceName::from("drafting"),
        workspace: WorkspaceName::from(workspace),
        priority: Priority(100),
        remaining,
        count,
    }
}

pub(crate) fn good() -> Completed {
    Completed {
        outcome: Outcome::Good,
        first_token: Some(Duration::from_millis(80)),
        token_gap: Some(Duration::from_millis(10)),
    }
}

/// Completes requests until the gate reaches its full limit; returns the time reached.
pub(crate) fn warm(gate: &mut Gate) -> Time {
    let mut now = at(0);
    while gate.allowance() < 8 {
        now += Duration::from_millis(100);
        let permits: Vec<_> = (0..gate.allowance())
            .filter_map(|_| gate.admit(&admission("e1", "w"), now).ok())
            .collect();
        for permit in permits {
            gate.complete(permit, good(), now);
        }
    }
    now
}

pub(crate) fn zone_out(mut declarations: Declarations, zone: &str) -> Declarations {
    declarations.revision = declarations.revision.next();
    declarations
        .zones
        .insert(ZoneName::from(zone), AdminState::Out);
    declarations
}
