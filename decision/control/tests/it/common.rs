//! Values and generators shared by several tests.

use std::time::Duration;

use pimentotide_control::{Action, Command, Document, Machine, Order, Response, Scope, Verdict};
use pimentotide_model::{
    AdminState, Declarations, LeaseExpiryPolicy, OrderId, Priority, Profile, ProfileName, Revision,
    Service, ServiceKind, ServiceName, Spread, Time, Workspace, WorkspaceName,
};
use proptest::collection::{btree_set, vec};
use proptest::option;
use proptest::prelude::*;

pub(crate) fn order(id: &str, base: Option<u64>, action: Action) -> Order {
    Order {
        id: OrderId::from(id),
        base: base.map(Revision),
        actor: "ama".to_owned(),
        action,
    }
}

pub(crate) fn zone(name: &str, standing: AdminState) -> Action {
    Action::Zone {
        zone: name.into(),
        standing,
    }
}

pub(crate) fn declare(machine: &mut Machine, at: Time, order: &Order) -> Verdict {
    match machine.apply(at, &Command::Declare(order.clone())) {
        Response::Declare(verdict) => verdict,
        other => panic!("expected a verdict, found {other:?}"),
    }
}

pub(crate) fn accepted(revision: u64) -> Verdict {
    Verdict::Accepted {
        revision: Revision(revision),
    }
}

/// Document of one profile and the service that uses it.
pub(crate) fn drafting() -> Document {
    let mut document = Document::default();
    let profile = Profile {
        name: "drafting".into(),
        model: Some("roadlaw".into()),
        ..Profile::default()
    };
    let service = Service {
        name: "draft".into(),
        kind: ServiceKind::Model,
        profile: "drafting".into(),
    };
    document.profiles.insert("drafting".into(), profile);
    document.services.insert("draft".into(), service);
    document
}

pub(crate) fn apply(document: Document, prune: bool) -> Action {
    Action::Apply { document, prune }
}

fn name() -> impl Strategy<Value = String> {
    "[A-Za-z0-9._:/-]{1,10}"
}

fn names() -> impl Strategy<Value = Vec<String>> {
    btree_set(name(), 0..4).prop_map(|names| names.into_iter().collect())
}

fn profile() -> impl Strategy<Value = Profile> {
    let model = option::of((name(), option::of(name()), names()));
    let limits = (
        any::<u8>(),
        600_000_u64..=3_600_000,
        0_u64..=600_000,
        0_u32..=100_000,
    );
    let retry = (1_u32..=10, 0.0_f64..=1.0, 0_u64..=10_000);
    let slow = (1_u32..=10_000, 1_u32..=10_000, 0_u64..=3_600_000);
    let moves = (0_u64..=1 << 50, 0_u64..=1 << 44, 1_000_u64..=86_400_000);
    let rest = (names(), any::<[bool; 3]>(), option::of(1_u32..=100_000));
    (model, limits, retry, slow, moves, rest).prop_map(build_profile)
}

type Parts = (
    Option<(String, Option<String>, Vec<String>)>,
    (u8, u64, u64, u32),
    (u32, f64, u64),
    (u32, u32, u64),
    (u64, u64, u64),
    (Vec<String>, [bool; 3], Option<u32>),
);

fn build_profile(parts: Parts) -> Profile {
    let (model, limits, retry, slow, moves, (prefer, flags, concurrency)) = parts;
    let mut profile = Profile::default();
    if let Some((model, version, adapters)) = model {
        profile.model = Some(model.into());
        profile.version = version.map(Into::into);
        profile.adapters = adapters.into_iter().map(Into::into).collect();
    }
    profile.priority = Priority(limits.0);
    profile.deadline = Duration::from_millis(limits.1);
    profile.queue.wait = Duration::from_millis(limits.2);
    profile.queue.bound = limits.3;
    profile.retry.attempts = retry.0;
    profile.retry.budget = retry.1;
    profile.retry.backoff = Duration::from_millis(retry.2);
    profile.slow_start.initial = slow.0;
    profile.slow_start.completions = slow.1;
    profile.slow_start.least = Duration::from_millis(slow.2);
    profile.rebalance.hourly = moves.0;
    profile.rebalance.staging = moves.1;
    profile.rebalance.horizon = Duration::from_millis(moves.2);
    profile.zones.prefer = prefer.into_iter().map(Into::into).collect();
    profile.concurrency = concurrency;
    profile.idempotent = flags[0];
    profile.zones.spread = if flags[1] { Spread::Near } else { Spread::Even };
    profile.lapse = if flags[2] {
        LeaseExpiryPolicy::Refuse
    } else {
        LeaseExpiryPolicy::Serve
    };
    profile
}

/// Documents that are valid on empty declarations.
pub(crate) fn document() -> impl Strategy<Value = Document> {
    let profiles = vec((name(), profile(), 1_u32..=10_000), 1..4);
    (
        profiles,
        vec((name(), any::<prop::sample::Index>()), 0..4),
        names(),
    )
        .prop_map(|(profiles, services, workspaces)| {
            let mut document = Document::default();
            for (name, mut profile, share) in profiles {
                profile.name = ProfileName::from(name);
                let owner = workspaces.first().cloned().unwrap_or("any".to_owned());
                profile.shares.insert(WorkspaceName::from(owner), share);
                document.profiles.insert(profile.name.clone(), profile);
            }
            let all: Vec<_> = document.profiles.values().cloned().collect();
            for (name, index) in services {
                let service = service_under(name, index.get(&all));
                document.services.insert(service.name.clone(), service);
            }
            let services: Vec<_> = document.services.keys().cloned().collect();
            for name in workspaces {
                let workspace = Workspace {
                    name: WorkspaceName::from(name),
                    services: services.clone(),
                };
                document
                    .workspaces
                    .insert(workspace.name.clone(), workspace);
            }
            document
        })
}

fn service_under(name: String, profile: &Profile) -> Service {
    let kind = match profile.model {
        Some(_) => ServiceKind::Model,
        None => ServiceKind::Plain,
    };
    Service {
        name: ServiceName::from(name),
        kind,
        profile: profile.name.clone(),
    }
}

/// Actions, most of them valid.
pub(crate) fn action() -> impl Strategy<Value = Action> {
    let standing = prop_oneof![Just(AdminState::In), Just(AdminState::Out)];
    let upstream = (option::of(standing.clone()), option::of(any::<bool>()));
    prop_oneof![
        4 => ("[a-c]", standing).prop_map(|(name, standing)| zone(&name, standing)),
        2 => ("[a-c]", upstream).prop_map(|(name, (standing, fenced))| Action::Upstream {
            upstream: name.into(),
            standing,
            fenced,
        }),
        1 => document().prop_map(|document| apply(document, true)),
        1 => any::<bool>().prop_map(|prune| apply(drafting(), prune)),
        1 => "[a-c]".prop_map(|name| Action::RemoveService(name.into())),
        1 => "[a-c]".prop_map(|name| Action::Pause(Scope::Group(name.into()))),
        1 => Just(Action::Resume(Scope::All)),
    ]
}

pub(crate) fn declarations_of(document: &Document) -> Declarations {
    let mut declarations = Declarations::default();
    document.merge_into(&mut declarations, true);
    declarations
}
