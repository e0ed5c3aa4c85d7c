//! Admission rules of one upstream, derived from the declarations.

use std::collections::BTreeMap;

use pimentotide_model::{
    AdminState, Announcement, Declarations, LeaseExpiryPolicy, Profile, Revision, Service,
    ServiceKind, ServiceName, SlowStart, WorkspaceName,
};

/// Limits of one service on one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceLimit {
    /// Largest number of concurrent requests; `None` means the upstream's capacity.
    pub concurrency: Option<u32>,
    /// Whether requests are admitted after the configuration lease expires.
    pub lapse: LeaseExpiryPolicy,
    /// Weight of each workspace; 1 if not listed.
    pub shares: BTreeMap<WorkspaceName, u32>,
}

/// Admission rules of a gate.
#[derive(Clone, Debug, PartialEq)]
pub struct GatePolicy {
    /// Revision of the declarations that the rules come from.
    pub revision: Revision,
    /// Whether operators have the upstream and its zone in service.
    pub standing: AdminState,
    /// Most conservative slow start among the services of the upstream.
    pub slow_start: SlowStart,
    /// Limits by service, for the services of the upstream.
    pub services: BTreeMap<ServiceName, ServiceLimit>,
}

impl GatePolicy {
    /// Derives the rules for the announced upstream from `declarations`.
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
        let mut slow_start: Option<SlowStart> = None;
        for service in declarations.services.values() {
            let Some(profile) = declarations.profiles.get(&service.profile) else {
                continue;
            };
            if !serves(announcement, service, profile) {
                continue;
            }
            slow_start = Some(most_conservative(slow_start, &profile.slow_start));
            policy
                .services
                .insert(service.name.clone(), service_limit(profile));
        }
        if let Some(start) = slow_start {
            policy.slow_start = start;
        }
        policy
    }

    /// Returns the concurrency limit of a warm upstream that can run `capacity` requests.
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

    /// Returns whether both policies admit the same requests.
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

/// Returns whether the announced upstream can serve `service` under `profile`.
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

fn service_limit(profile: &Profile) -> ServiceLimit {
    ServiceLimit {
        concurrency: profile.concurrency,
        lapse: profile.lapse,
        shares: profile.shares.clone(),
    }
}

fn most_conservative(before: Option<SlowStart>, next: &SlowStart) -> SlowStart {
    let Some(before) = before else {
        return next.clone();
    };
    SlowStart {
        initial: before.initial.min(next.initial),
        completions: before.completions.max(next.completions),
        least: before.least.max(next.least),
    }
}
