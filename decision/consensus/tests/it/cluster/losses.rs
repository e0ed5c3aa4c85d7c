//! Losses that count, and the number that the log has to bear at any moment.

use std::time::Duration;

use pimentotide_model::Time;

/// Time for which a host is up until the one that it replaces, or its own lost disk, does not count.
const CATCH_UP: Duration = Duration::from_secs(4);

#[derive(Clone)]
pub(super) struct Losses {
    max: usize,
    /// Hosts that replace none yet, each with the time since which it is up.
    spares: Vec<(usize, Time)>,
    losses: Vec<Loss>,
}

#[derive(Clone)]
struct Loss {
    /// [`Time::MAX`] for a host that has ended and has no successor.
    until: Time,
    successor: Option<usize>,
}

impl Losses {
    pub(super) fn new(max: usize) -> Self {
        Self {
            max,
            spares: Vec::new(),
            losses: Vec::new(),
        }
    }

    /// Returns the time from which one more loss may strike, if there is one.
    pub(super) fn free_at(&self, now: Time) -> Option<Time> {
        let mut ends: Vec<_> = self.losses.iter().map(|l| l.until).collect();
        ends.retain(|until| *until > now);
        ends.sort_unstable();
        let time = match ends.len().checked_sub(self.max) {
            Some(first) => ends[first],
            None => now,
        };
        (time < Time::MAX).then_some(time)
    }

    /// Returns whether the end of a host other than a spare counts as a loss.
    pub(super) fn end_counts(&self, host: Option<usize>, now: Time) -> bool {
        let mut others = self.spares.iter().filter(|(n, _)| Some(*n) != host);
        !others.any(|(_, since)| now >= *since + CATCH_UP)
    }

    pub(super) fn has_spare(&self) -> bool {
        !self.spares.is_empty()
    }

    /// Returns whether a host that has ended has no successor.
    pub(super) fn lacks_successor(&self) -> bool {
        self.losses.iter().any(|l| l.until == Time::MAX)
    }

    pub(super) fn add(&mut self, host: usize, now: Time) {
        let open = self.losses.iter_mut().find(|l| l.until == Time::MAX);
        if let Some(loss) = open {
            loss.until = now + CATCH_UP;
            loss.successor = Some(host);
        } else {
            self.spares.push((host, now));
        }
    }

    pub(super) fn end(&mut self, host: usize, now: Time) {
        self.spares.retain(|(n, _)| *n != host);
        for loss in self.replaced_by(host, now) {
            loss.until = Time::MAX;
            loss.successor = None;
        }
        self.spares.sort_unstable_by_key(|(_, since)| *since);
        let spare = (!self.spares.is_empty()).then(|| self.spares.remove(0));
        self.losses.push(Loss {
            until: spare.map_or(Time::MAX, |(_, since)| since + CATCH_UP),
            successor: spare.map(|(n, _)| n),
        });
    }

    pub(super) fn lose_disk(&mut self, host: usize, now: Time, back_at: Time) {
        for (_, since) in self.spares.iter_mut().filter(|(n, _)| *n == host) {
            *since = back_at;
        }
        let until = back_at + CATCH_UP;
        for loss in self.replaced_by(host, now) {
            loss.until = until;
        }
        self.losses.push(Loss {
            until,
            successor: None,
        });
    }

    /// Returns the losses that count until this successor has been up for long enough.
    fn replaced_by(&mut self, host: usize, now: Time) -> impl Iterator<Item = &mut Loss> {
        let losses = self.losses.iter_mut();
        losses.filter(move |l| l.successor == Some(host) && l.until > now)
    }
}
