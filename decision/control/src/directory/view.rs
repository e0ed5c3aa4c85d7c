//! Entry side of the directory: a copy that follows the registry of a replica.

use std::collections::BTreeMap;

use pimentotide_model::{Announcement, UpstreamName};

use super::message::{Mark, Notice, RegistryUpdate};

/// Change that an update made to a view.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new incarnation, cold and with an empty cache.
    Started(Announcement),
    /// A changed announcement of the same incarnation.
    Changed(Announcement),
    /// The upstream is no longer in the directory.
    Gone(UpstreamName),
}

/// Copy of the directory in an entry.
///
/// The notice of an upstream is never replaced by an older one. A replica that
/// has just started has reports of few upstreams, so its whole update adds
/// upstreams but removes none.
#[derive(Clone, Debug, Default)]
pub struct View {
    mark: Option<Mark>,
    notices: BTreeMap<UpstreamName, Notice>,
}

impl View {
    /// Position to name in the next request; `None` requests the whole directory.
    pub fn mark(&self) -> Option<Mark> {
        self.mark
    }

    /// Clears the position, as before asking another replica.
    pub fn detach(&mut self) {
        self.mark = None;
    }

    /// Announcements of all upstreams in the view.
    pub fn announcements(&self) -> impl Iterator<Item = &Announcement> {
        self.notices.values().map(|n| &n.announcement)
    }

    /// Announcement of one upstream; `None` if it is not in the view.
    pub fn get(&self, name: &UpstreamName) -> Option<&Announcement> {
        self.notices.get(name).map(|n| &n.announcement)
    }

    /// Applies an update and returns the changes that it made.
    pub fn receive(&mut self, update: &RegistryUpdate) -> Vec<Event> {
        if !self.is_applicable(update) {
            return Vec::new();
        }
        self.mark = Some(update.mark);
        let mut events = Vec::new();
        for notice in &update.present {
            events.extend(self.insert(notice));
        }
        if update.whole && update.mark.settled {
            self.remove_absent(update, &mut events);
        }
        for departure in &update.gone {
            let stored = self.notices.get(&departure.upstream);
            if stored.is_some_and(|n| n.rank() <= departure.rank) {
                self.notices.remove(&departure.upstream);
                events.push(Event::Gone(departure.upstream.clone()));
            }
        }
        events
    }

    /// Whether the update can be applied at the position of this view.
    fn is_applicable(&self, update: &RegistryUpdate) -> bool {
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
        let stored = self.notices.get(name).map(Notice::rank);
        if stored >= Some(notice.rank()) {
            return None;
        }
        self.notices.insert(name.clone(), notice.clone());
        let announcement = notice.announcement.clone();
        if stored.is_some_and(|(incarnation, _)| incarnation == announcement.incarnation) {
            Some(Event::Changed(announcement))
        } else {
            Some(Event::Started(announcement))
        }
    }

    fn remove_absent(&mut self, update: &RegistryUpdate, events: &mut Vec<Event>) {
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
