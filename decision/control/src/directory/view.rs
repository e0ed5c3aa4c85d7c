//! Follower side of the directory.

use std::collections::BTreeMap;

use pimentotide_model::{Announcement, UpstreamName};

use super::message::{Mark, Notice, RegistryUpdate};

/// What an update changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new incarnation: cold, and with nothing in its cache.
    Started(Announcement),
    /// The same incarnation announces something else.
    Changed(Announcement),
    /// No longer in the directory.
    Gone(UpstreamName),
}

/// Directory as an entry knows it.
///
/// Within each upstream it never goes back to an older notice. A replica that
/// has just started knows few upstreams; its word adds but does not remove.
#[derive(Clone, Debug, Default)]
pub struct View {
    mark: Option<Mark>,
    notices: BTreeMap<UpstreamName, Notice>,
}

impl View {
    /// Position to name in the next request; none asks for the whole.
    pub fn mark(&self) -> Option<Mark> {
        self.mark
    }

    /// Forgets the position, as when another replica is asked.
    pub fn detach(&mut self) {
        self.mark = None;
    }

    /// Upstreams known.
    pub fn announcements(&self) -> impl Iterator<Item = &Announcement> {
        self.notices.values().map(|n| &n.announcement)
    }

    /// Announcement of one upstream.
    pub fn get(&self, name: &UpstreamName) -> Option<&Announcement> {
        self.notices.get(name).map(|n| &n.announcement)
    }

    /// Takes an update and returns what it changed.
    pub fn receive(&mut self, update: &RegistryUpdate) -> Vec<Event> {
        if !self.fits(update) {
            return Vec::new();
        }
        self.mark = Some(update.mark);
        let mut events = Vec::new();
        for notice in &update.present {
            events.extend(self.insert(notice));
        }
        if update.whole && update.mark.settled {
            self.retain_only(update, &mut events);
        }
        for departure in &update.gone {
            let held = self.notices.get(&departure.upstream);
            if held.is_some_and(|n| n.rank() <= departure.rank) {
                self.notices.remove(&departure.upstream);
                events.push(Event::Gone(departure.upstream.clone()));
            }
        }
        events
    }

    /// Whether the update starts from a position that this view has.
    fn fits(&self, update: &RegistryUpdate) -> bool {
        let Some(mark) = self.mark else {
            return update.whole;
        };
        if mark.epoch != update.mark.epoch {
            return update.whole;
        }
        update.mark.version >= mark.version
    }

    fn insert(&mut self, notice: &Notice) -> Option<Event> {
        let name = &notice.announcement.upstream;
        let held = self.notices.get(name).map(Notice::rank);
        if held >= Some(notice.rank()) {
            return None;
        }
        self.notices.insert(name.clone(), notice.clone());
        let announcement = notice.announcement.clone();
        if held.is_some_and(|(incarnation, _)| incarnation == announcement.incarnation) {
            Some(Event::Changed(announcement))
        } else {
            Some(Event::Started(announcement))
        }
    }

    fn retain_only(&mut self, update: &RegistryUpdate, events: &mut Vec<Event>) {
        let mut present: Vec<_> = update.present.iter().map(name_of).collect();
        present.sort_unstable();
        let absent = |name: &UpstreamName| present.binary_search(&name).is_err();
        let gone: Vec<_> = self.notices.keys().filter(|n| absent(n)).cloned().collect();
        for name in gone {
            self.notices.remove(&name);
            events.push(Event::Gone(name));
        }
    }
}

fn name_of(notice: &Notice) -> &UpstreamName {
    &notice.announcement.upstream
}
