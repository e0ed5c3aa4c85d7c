//! What declarations say about one upstream, as its gate needs it.

use std::collections::BTreeMap;

use pimentotide_model::{
    AdminState, Announcement, Declarations, LeaseExpiryPolicy, Profile, Revision, Service,
    ServiceKind, ServiceName, SlowStart, WorkspaceName,
};

/// Limits of one service on one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceLimit {
    /// Requests at once; the upstream's capacity if none.
    pub concurrency: Option<u32>,
    /// What happens once the currency lease has run out.
    pub lapse: LeaseExpiryPolicy,
    /// Weight of each workspace; 1 where not named.
    pub shares: BTreeMap<WorkspaceName, u32>,
}

/// Rules that a gate applies.
#[derive(Clone, Debug, PartialEq)]
pub struct GatePolicy {
    /// Configuration that the rules come from.
    pub revision: Revision,
    /// Whether operators have the upstream and its zone in service.
    pub standing: AdminState,
    /// Most careful slow start of the services that it serves.
    pub slow_start: SlowStart,
    /// Limits by service.
    pub services: BTreeMap<ServiceName, ServiceLimit>,
}

impl GatePolicy {
    /// Reads the rules for the announced upstream from `declarations`.
    pub fn of(declarations: &Declarations, announcement: &Announcement) -> Self {
        let admitted = declarations.admits(&announcement.zone, &announcement.upstream);
        let mut policy = Self {
            revision: declarations.revision,
            standing: if admitted {
                AdminState::In
            } else {
                AdminState::Out
            },
            slow_start: Profile::default().slow_start,
            services: BTreeMap::new(),
        };
        let mut careful: Option<SlowStart> = None;
        for service in declarations.services.values() {
            let Some(profile) = declarations.profiles.get(&service.profile) else {
                continue;
            };
            if !serves(announcement, service, profile) {
                continue;
            }
            careful = Some(most_careful(careful, &profile.slow_start));
            policy
                .services
                .insert(service.name.clone(), limit_of(profile));
        }
        if let Some(start) = careful {
            policy.slow_start = start;
        }
        policy
    }

    /// Full limit of an upstream that can run `capacity` requests at once.
    pub fn limit(&self, capacity: u32) -> u32 {
        let unbounded =
            self.services.is_empty() || self.services.values().any(|s| s.concurrency.is_none());
        if unbounded {
            return capacity;
        }
        let sum = self
            .services
            .values()
            .filter_map(|s| s.concurrency)
            .fold(0_u32, u32::saturating_add);
        capacity.min(sum)
    }

    /// Whether admission follows the same rules under both policies.
    pub fn same_rules(&self, other: &Self) -> bool {
        self.standing == other.standing && self.services == other.services
    }

    pub(super) fn concurrency_of(&self, service: &ServiceName) -> Option<u32> {
        self.services.get(service).and_then(|s| s.concurrency)
    }

    pub(super) fn lapse_of(&self, service: &ServiceName) -> LeaseExpiryPolicy {
        self.services
            .get(service)
            .map(|s| s.lapse)
            .unwrap_or_default()
    }

    pub(super) fn weight_of(&self, service: &ServiceName, workspace: &WorkspaceName) -> u32 {
        self.services
            .get(service)
            .and_then(|s| s.shares.get(workspace))
            .copied()
            .unwrap_or(1)
    }
}

/// Whether the announced upstream can serve `service` under `profile`.
pub(crate) fn serves(announcement: &Announcement, service: &Service, profile: &Profile) -> bool {
    if announcement.kind != service.kind {
        return false;
    }
    match service.kind {
        ServiceKind::Plain => announcement.services.contains(&service.name),
        ServiceKind::Model => announcement.models.iter().any(|(model, version)| {
            profile.model.as_ref() == Some(model)
                && profile.version.as_ref().is_none_or(|v| v == version)
        }),
    }
}

fn limit_of(profile: &Profile) -> ServiceLimit {
    ServiceLimit {
        concurrency: profile.concurrency,
        lapse: profile.lapse,
        shares: profile.shares.clone(),
    }
}

fn most_careful(before: Option<SlowStart>, next: &SlowStart) -> SlowStart {
    let Some(before) = before else {
        return next.clone();
    };
    SlowStart {
        initial: before.initial.min(next.initial),
        completions: before.completions.max(next.completions),
        least: before.least.max(next.least),
    }
}
