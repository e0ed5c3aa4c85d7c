//! Upstreams announced to an entry, by slot number, name and group, with their
//! total load by zone.

use std::collections::BTreeMap;

use pimentotide_model::{
    Announcement, GroupName, LoadReport, ServiceKind, Time, UpstreamName, ZoneName,
};

use super::slot::Slot;

/// Group of ranks, whose speed is that of the slowest member.
#[derive(Debug, Default)]
struct Group {
    members: Vec<u32>,
    token_gap: u64,
}

/// Upstreams announced to an entry.
#[derive(Debug, Default)]
pub(super) struct Directory {
    slots: Vec<Option<Slot>>,
    names: BTreeMap<UpstreamName, u32>,
    free: Vec<u32>,
    generation: u32,
    groups: Vec<Group>,
    group_names: BTreeMap<GroupName, u32>,
    usage: Vec<Usage>,
    /// Indexes into `usage`, by zone (`None` for all zones) and whether the kind is plain.
    domains: BTreeMap<(Option<ZoneName>, bool), u32>,
}

/// Total load on the upstreams of one kind, in one zone or in all.
#[derive(Debug, Default)]
struct Usage {
    own: f64,
    others: f64,
    allowance: f64,
}

/// Mean load per unit of allowance.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeanLoad {
    /// Requests of this entry.
    pub(super) own: f64,
    /// Requests of other entries.
    pub(super) others: f64,
}

impl Usage {
    fn add(&mut self, slot: &Slot, sign: f64) {
        self.own += sign * f64::from(slot.in_flight());
        self.others += sign * slot.other_load();
        self.allowance += sign * f64::from(slot.report.allowance);
    }
}

impl Directory {
    /// Returns the number of slots, including free ones.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the slot number of an upstream.
    pub(super) fn find(&self, upstream: &UpstreamName) -> Option<u32> {
        self.names.get(upstream).copied()
    }

    /// Returns the slot at `index`; `None` if it is free.
    pub(super) fn slot(&self, index: u32) -> Option<&Slot> {
        self.slots.get(index as usize)?.as_ref()
    }

    /// Returns the slot at `index` for changes that do not affect its load.
    pub(super) fn slot_mut(&mut self, index: u32) -> Option<&mut Slot> {
        self.slots.get_mut(index as usize)?.as_mut()
    }

    /// Returns the slot of `upstream`.
    pub(super) fn named(&self, upstream: &UpstreamName) -> Option<&Slot> {
        self.slot(self.find(upstream)?)
    }

    /// Iterates over the occupied slots and their numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Slot)> {
        (0..)
            .zip(&self.slots)
            .filter_map(|(index, slot)| Some((index, slot.as_ref()?)))
    }

    /// Returns the name of the upstream in slot number `index`.
    pub(super) fn name_of(&self, index: u32) -> Option<UpstreamName> {
        let slot = self.slot(index)?;
        Some(slot.announcement.upstream.clone())
    }

    /// Adds an upstream and returns its slot number.
    pub(super) fn add(&mut self, announcement: &Announcement) -> u32 {
        self.generation += 1;
        let domains = self.domains(announcement);
        let slot = Slot::new(announcement.clone(), self.generation, domains);
        let index = match self.free.pop() {
            Some(index) => index,
            None => {
                self.slots.push(None);
                u32::try_from(self.slots.len() - 1).unwrap_or(u32::MAX)
            }
        };
        self.slots[index as usize] = Some(slot);
        self.names.insert(announcement.upstream.clone(), index);
        index
    }

    /// Replaces the announcement of the upstream in slot number `index`.
    pub(super) fn announce(&mut self, index: u32, announcement: Announcement) {
        let domains = self.domains(&announcement);
        if let Some(slot) = self.slots.get_mut(index as usize).and_then(Option::as_mut) {
            add_usage(&mut self.usage, slot, -1.0);
            slot.announcement = announcement;
            slot.domains = domains;
            add_usage(&mut self.usage, slot, 1.0);
        }
        self.join_group(index);
    }

    /// Removes an upstream and returns the freed slot number.
    pub(super) fn remove(&mut self, upstream: &UpstreamName) -> Option<u32> {
        let index = self.names.remove(upstream)?;
        self.leave_group(index);
        if let Some(slot) = self.slots[index as usize].take() {
            add_usage(&mut self.usage, &slot, -1.0);
        }
        self.free.push(index);
        Some(index)
    }

    /// Adds the upstream in slot number `index` to its announced group.
    fn join_group(&mut self, index: u32) {
        self.leave_group(index);
        let Some(slot) = self.slots[index as usize].as_mut() else {
            return;
        };
        let Some(name) = &slot.announcement.group else {
            return;
        };
        let group = match self.group_names.get(name) {
            Some(group) => *group,
            None => {
                let group = u32::try_from(self.groups.len()).unwrap_or(u32::MAX);
                self.groups.push(Group::default());
                self.group_names.insert(name.clone(), group);
                group
            }
        };
        slot.group = Some(group);
        self.groups[group as usize].members.push(index);
    }

    /// Applies a load report of the upstream in slot number `index`.
    pub(super) fn report(&mut self, index: u32, report: &LoadReport, reported_at: Time) {
        let Some(slot) = self.slots.get_mut(index as usize).and_then(Option::as_mut) else {
            return;
        };
        add_usage(&mut self.usage, slot, -1.0);
        let newer = slot.observe(report, reported_at);
        add_usage(&mut self.usage, slot, 1.0);
        if !newer {
            return;
        }
        let Some(group) = slot.group else {
            return;
        };
        let slots = &self.slots;
        let group = &mut self.groups[group as usize];
        group.token_gap = group
            .members
            .iter()
            .filter_map(|m| slots[*m as usize].as_ref())
            .map(|s| s.report.token_gap)
            .max()
            .unwrap_or(0);
    }

    /// Resets the slot of an upstream that has a new incarnation.
    pub(super) fn restart(&mut self, index: u32) {
        if let Some(slot) = self.slots.get_mut(index as usize).and_then(Option::as_mut) {
            add_usage(&mut self.usage, slot, -1.0);
            slot.restart();
            add_usage(&mut self.usage, slot, 1.0);
        }
    }

    /// Returns the mean load on upstreams of the slot's kind, in its zone or in all.
    pub(super) fn mean_load(&self, slot: &Slot, zonal: bool) -> MeanLoad {
        let usage = &self.usage[slot.domains[usize::from(zonal)] as usize];
        let allowance = usage.allowance.max(1.0);
        MeanLoad {
            own: usage.own.max(0.0) / allowance,
            others: usage.others.max(0.0) / allowance,
        }
    }

    /// Records the start of a request of this entry; returns the generation of its slot.
    pub(super) fn begin(&mut self, index: u32, now: Time) -> u32 {
        let Some(slot) = self.slots.get_mut(index as usize).and_then(Option::as_mut) else {
            return 0;
        };
        slot.begin(now);
        for domain in slot.domains {
            self.usage[domain as usize].own += 1.0;
        }
        slot.generation
    }

    /// Records the end of a request of this entry; `false` if its slot was removed or reused.
    pub(super) fn end(&mut self, index: u32, generation: u32, now: Time) -> bool {
        let slot = self.slots.get_mut(index as usize).and_then(Option::as_mut);
        let Some(slot) = slot.filter(|s| s.generation == generation) else {
            return false;
        };
        slot.end(now);
        for domain in slot.domains {
            self.usage[domain as usize].own -= 1.0;
        }
        true
    }

    /// Returns the longest time between tokens in the slot's group, microseconds.
    pub(super) fn group_gap(&self, slot: &Slot) -> u64 {
        slot.group.map_or(0, |g| self.groups[g as usize].token_gap)
    }

    /// Returns the indexes of the two usages that include an upstream: of all zones and of its zone.
    fn domains(&mut self, announcement: &Announcement) -> [u32; 2] {
        let plain = announcement.kind == ServiceKind::Plain;
        let zone = announcement.zone.clone();
        [None, Some(zone)].map(|zone| self.domain((zone, plain)))
    }

    fn domain(&mut self, key: (Option<ZoneName>, bool)) -> u32 {
        if let Some(index) = self.domains.get(&key) {
            return *index;
        }
        let index = u32::try_from(self.usage.len()).unwrap_or(u32::MAX);
        self.usage.push(Usage::default());
        self.domains.insert(key, index);
        index
    }

    fn leave_group(&mut self, index: u32) {
        let Some(slot) = self.slots[index as usize].as_mut() else {
            return;
        };
        if let Some(group) = slot.group.take() {
            let members = &mut self.groups[group as usize].members;
            members.retain(|m| *m != index);
        }
    }
}

/// Adds the load of an upstream, multiplied by `sign`, to the usages that include it.
fn add_usage(usage: &mut [Usage], slot: &Slot, sign: f64) {
    for domain in slot.domains {
        usage[domain as usize].add(slot, sign);
    }
}
