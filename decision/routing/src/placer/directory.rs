//! Upstreams that an entry knows, by name and by group.

use std::collections::BTreeMap;

use pimentotide_model::{Announcement, GroupName, LoadReport, Time, UpstreamName};

use super::slot::Slot;

/// Members of one group of ranks, which advance at the pace of the slowest.
#[derive(Debug, Default)]
struct Group {
    members: Vec<u32>,
    gap: u64,
}

/// Upstreams that an entry knows.
#[derive(Debug, Default)]
pub(super) struct Directory {
    slots: Vec<Option<Slot>>,
    names: BTreeMap<UpstreamName, u32>,
    free: Vec<u32>,
    generation: u32,
    groups: Vec<Group>,
    group_names: BTreeMap<GroupName, u32>,
}

impl Directory {
    /// Slots, those of forgotten upstreams included.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Slot number of an upstream.
    pub(super) fn find(&self, upstream: &UpstreamName) -> Option<u32> {
        self.names.get(upstream).copied()
    }

    /// Upstream in slot number `index`.
    pub(super) fn slot(&self, index: u32) -> Option<&Slot> {
        self.slots.get(index as usize)?.as_ref()
    }

    /// Upstream in slot number `index`.
    pub(super) fn slot_mut(&mut self, index: u32) -> Option<&mut Slot> {
        self.slots.get_mut(index as usize)?.as_mut()
    }

    /// Upstream called `upstream`.
    pub(super) fn named(&self, upstream: &UpstreamName) -> Option<&Slot> {
        self.slot(self.find(upstream)?)
    }

    /// All upstreams with their slot numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Slot)> {
        (0..)
            .zip(&self.slots)
            .filter_map(|(index, slot)| Some((index, slot.as_ref()?)))
    }

    /// Name of the upstream in slot number `index`.
    pub(super) fn name_of(&self, index: u32) -> Option<UpstreamName> {
        let slot = self.slot(index)?;
        Some(slot.announcement.upstream.clone())
    }

    /// Adds an upstream and returns its slot number.
    pub(super) fn add(&mut self, announcement: &Announcement) -> u32 {
        self.generation += 1;
        let slot = Slot::new(announcement.clone(), self.generation);
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

    /// Forgets an upstream and returns the slot number that it had.
    pub(super) fn remove(&mut self, upstream: &UpstreamName) -> Option<u32> {
        let index = self.names.remove(upstream)?;
        self.leave_group(index);
        self.slots[index as usize] = None;
        self.free.push(index);
        Some(index)
    }

    /// Makes the upstream in slot number `index` a member of its announced group.
    pub(super) fn join_group(&mut self, index: u32) {
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

    /// Takes a load report of the upstream in slot number `index`.
    pub(super) fn report(&mut self, index: u32, report: &LoadReport, taken: Time) {
        let Some(slot) = self.slot_mut(index) else {
            return;
        };
        if !slot.observe(report, taken) {
            return;
        }
        let Some(group) = slot.group else {
            return;
        };
        let slots = &self.slots;
        let group = &mut self.groups[group as usize];
        group.gap = group
            .members
            .iter()
            .filter_map(|m| slots[*m as usize].as_ref())
            .map(|s| s.report.token_gap)
            .max()
            .unwrap_or(0);
    }

    /// Longest time between tokens among the members of the slot's group.
    pub(super) fn group_gap(&self, slot: &Slot) -> u64 {
        slot.group.map_or(0, |g| self.groups[g as usize].gap)
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
