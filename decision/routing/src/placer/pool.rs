//! Upstreams by the services, versions and adapters that they serve, indexed so
//! that a decision need not scan all upstreams.

use std::collections::BTreeMap;

use pimentotide_model::{
    AdapterName, Announcement, Declarations, ModelName, Profile, Service, ServiceKind, ServiceName,
    Spread, VersionName, ZoneName, ZonePolicy,
};
use rand::{Rng, RngExt};

use crate::gate::serves;

/// Penalty of one step of distance, as a share of the answer time.
const STEP_PENALTY: f64 = 0.25;
/// Largest number of steps of distance that are penalized.
const MAX_STEPS: usize = 2;
/// Largest number of pools kept per service; a further one replaces the newest.
const MAX_POOLS: usize = 64;

/// Upstreams of one zone.
#[derive(Debug)]
struct ZonePool {
    zone: ZoneName,
    penalty: f64,
    members: Vec<u32>,
}

/// Upstreams that serve one service with one version and adapter.
#[derive(Debug)]
pub(super) struct Pool {
    version: Option<VersionName>,
    adapter: Option<AdapterName>,
    zones: Vec<ZonePool>,
    present: Vec<bool>,
    total: usize,
}

/// Pools of one service.
#[derive(Debug)]
pub(super) struct ServicePools {
    service: Service,
    profile: Profile,
    pools: Vec<Pool>,
}

/// Pools of all services.
#[derive(Debug, Default)]
pub(super) struct Pools {
    services: BTreeMap<ServiceName, ServicePools>,
}

impl Pool {
    /// Returns the number of upstreams in the pool.
    pub(super) fn len(&self) -> usize {
        self.total
    }

    /// Returns whether some zones are preferred to others.
    pub(super) fn is_zonal(&self) -> bool {
        self.zones.iter().any(|z| z.penalty > 0.0)
    }

    /// Returns the slot and penalty of upstream number `index`, counted over all zones in order.
    pub(super) fn nth(&self, index: usize) -> Option<(u32, f64)> {
        let mut index = index;
        for zone in &self.zones {
            if let Some(slot) = zone.members.get(index) {
                return Some((*slot, zone.penalty));
            }
            index -= zone.members.len();
        }
        None
    }

    /// Draws a random upstream from all zones.
    pub(super) fn draw<R>(&self, rng: &mut R) -> Option<(u32, f64)>
    where
        R: Rng,
    {
        if self.total == 0 {
            return None;
        }
        self.nth(rng.random_range(0..self.total))
    }

    /// Draws a random upstream from the nearest zone that has any.
    pub(super) fn draw_near<R>(&self, rng: &mut R) -> Option<(u32, f64)>
    where
        R: Rng,
    {
        let zone = self.zones.iter().find(|z| !z.members.is_empty())?;
        let index = rng.random_range(0..zone.members.len());
        Some((zone.members[index], zone.penalty))
    }

    /// Returns whether the upstream in `slot` is in the pool.
    pub(super) fn contains(&self, slot: u32) -> bool {
        self.present.get(slot as usize).is_some_and(|p| *p)
    }

    /// Iterates over the slots of all upstreams in the pool.
    pub(super) fn members(&self) -> impl Iterator<Item = u32> {
        self.zones.iter().flat_map(|z| z.members.iter().copied())
    }

    /// Returns the penalty of `zone`; zero if it has no upstream here.
    pub(super) fn penalty(&self, zone: &ZoneName) -> f64 {
        self.zones
            .iter()
            .find(|z| z.zone == *zone)
            .map_or(0.0, |z| z.penalty)
    }

    /// Returns whether the announced upstream belongs to the pool.
    pub(super) fn accepts(&self, service: &Service, profile: &Profile, a: &Announcement) -> bool {
        let version = self.version.as_ref();
        let adapter = self.adapter.as_ref();
        let model = profile.model.as_ref();
        serves(a, service, profile)
            && (service.kind == ServiceKind::Plain || has_version(a, model, version))
            && adapter.is_none_or(|name| a.adapters.contains(name))
    }

    fn insert(&mut self, slot: u32, zone: &ZoneName, policy: &ZonePolicy, own_zone: &ZoneName) {
        let index = match self.zones.iter().position(|z| z.zone == *zone) {
            Some(index) => index,
            None => self.add_zone(zone, policy, own_zone),
        };
        self.zones[index].members.push(slot);
        self.total += 1;
        let needed = slot as usize + 1;
        if self.present.len() < needed {
            self.present.resize(needed, false);
        }
        self.present[slot as usize] = true;
    }

    /// Inserts a zone in order of preference; returns its index.
    fn add_zone(&mut self, zone: &ZoneName, policy: &ZonePolicy, own_zone: &ZoneName) -> usize {
        let added = (distance(zone, policy, own_zone), zone);
        let index = self
            .zones
            .partition_point(|z| (distance(&z.zone, policy, own_zone), &z.zone) < added);
        let penalty = STEP_PENALTY * added.0.min(MAX_STEPS) as f64;
        let pool = ZonePool {
            zone: zone.clone(),
            penalty,
            members: Vec::new(),
        };
        self.zones.insert(index, pool);
        index
    }

    fn remove(&mut self, slot: u32) {
        if !self.contains(slot) {
            return;
        }
        self.present[slot as usize] = false;
        for zone in &mut self.zones {
            if let Some(index) = zone.members.iter().position(|s| *s == slot) {
                zone.members.swap_remove(index);
                self.total -= 1;
            }
        }
    }
}

impl ServicePools {
    /// Returns the profile of the service.
    pub(super) fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Returns the index of the pool for `version` and `adapter`, if it is built.
    pub(super) fn find(
        &self,
        version: Option<&VersionName>,
        adapter: Option<&AdapterName>,
    ) -> Option<usize> {
        self.pools
            .iter()
            .position(|p| p.version.as_ref() == version && p.adapter.as_ref() == adapter)
    }

    /// Returns the pool at `index`.
    pub(super) fn pool(&self, index: usize) -> &Pool {
        &self.pools[index]
    }

    fn matches(&self, index: usize, announcement: &Announcement) -> bool {
        self.pools[index].accepts(&self.service, &self.profile, announcement)
    }
}

impl Pools {
    /// Replaces all pools by empty sets for the services of `declarations`.
    pub(super) fn reset(&mut self, declarations: &Declarations) {
        self.services.clear();
        for service in declarations.services.values() {
            let Some(profile) = declarations.profiles.get(&service.profile) else {
                continue;
            };
            let pools = ServicePools {
                service: service.clone(),
                profile: profile.clone(),
                pools: Vec::new(),
            };
            self.services.insert(service.name.clone(), pools);
        }
    }

    /// Returns the pools of `service`.
    pub(super) fn service(&self, service: &ServiceName) -> Option<&ServicePools> {
        self.services.get(service)
    }

    /// Iterates over the pools that contain the upstream in `slot`.
    pub(super) fn pools_of(&self, slot: u32) -> impl Iterator<Item = &Pool> {
        self.services
            .values()
            .flat_map(|s| s.pools.iter())
            .filter(move |p| p.contains(slot))
    }

    /// Builds the pool of a service for a version and an adapter; returns its index.
    pub(super) fn build<'a, I>(
        &mut self,
        key: &ServiceName,
        version: Option<&VersionName>,
        adapter: Option<&AdapterName>,
        upstreams: I,
        own_zone: &ZoneName,
    ) -> Option<usize>
    where
        I: Iterator<Item = (u32, &'a Announcement)>,
    {
        let service = self.services.get_mut(key)?;
        if service.pools.len() >= MAX_POOLS {
            service.pools.pop();
        }
        service.pools.push(Pool {
            version: version.cloned(),
            adapter: adapter.cloned(),
            zones: Vec::new(),
            present: Vec::new(),
            total: 0,
        });
        let index = service.pools.len() - 1;
        for (slot, announcement) in upstreams {
            if service.matches(index, announcement) {
                let policy = &service.profile.zones;
                service.pools[index].insert(slot, &announcement.zone, policy, own_zone);
            }
        }
        Some(index)
    }

    /// Adds the upstream in `slot` to each pool that accepts it.
    pub(super) fn insert(&mut self, slot: u32, announcement: &Announcement, own_zone: &ZoneName) {
        for service in self.services.values_mut() {
            for index in 0..service.pools.len() {
                if service.matches(index, announcement) {
                    let policy = &service.profile.zones;
                    service.pools[index].insert(slot, &announcement.zone, policy, own_zone);
                }
            }
        }
    }

    /// Removes the upstream in `slot` from all pools.
    pub(super) fn remove(&mut self, slot: u32) {
        for service in self.services.values_mut() {
            for pool in &mut service.pools {
                pool.remove(slot);
            }
        }
    }
}

fn has_version(
    announcement: &Announcement,
    model: Option<&ModelName>,
    version: Option<&VersionName>,
) -> bool {
    announcement
        .models
        .iter()
        .any(|(m, v)| Some(m) == model && version.is_none_or(|wanted| wanted == v))
}

/// Returns the distance of `zone` in steps.
///
/// Preferred zones are ordered by their rank. All others follow; unless requests are
/// spread evenly, the entry's own zone is one step nearer than the rest.
fn distance(zone: &ZoneName, policy: &ZonePolicy, own_zone: &ZoneName) -> usize {
    if let Some(index) = policy.prefer.iter().position(|z| z == zone) {
        return index;
    }
    let near = policy.spread == Spread::Even || zone == own_zone;
    let unlisted = policy.prefer.len();
    unlisted + usize::from(!near)
}
