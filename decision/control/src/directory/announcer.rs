//! Agent side of the directory: sends announcements to the replicas.

use pimentotide_model::{Announcement, Fence, Incarnation, Revision, Time, Warmth};

use super::START_GRACE;
use super::message::{Heartbeat, Notice, Report, ReportAnswer};

/// Whether the incarnation of an agent may accept new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationState {
    /// It is the newest known incarnation.
    Newest,
    /// Another process has taken over the name; this one accepts no new work.
    Superseded,
}

/// Announcements of one agent to all replicas.
#[derive(Clone, Debug)]
pub struct Announcer {
    notice: Notice,
    reported: Incarnation,
    warmth: Warmth,
    started: Time,
    acknowledged: Vec<bool>,
    superseded: bool,
}

impl Announcer {
    /// Starts announcing to `replicas` replicas.
    ///
    /// The incarnation of `announcement` should be taken from the wall clock at
    /// the start of the upstream; it is raised if a replica reports a higher one.
    pub fn new(announcement: Announcement, replicas: usize, now: Time) -> Self {
        Self {
            reported: announcement.incarnation,
            notice: Notice {
                sequence: 0,
                announcement,
            },
            warmth: Warmth::Cold,
            started: now,
            acknowledged: vec![false; replicas],
            superseded: false,
        }
    }

    /// Report to send to a replica now: a heartbeat if the replica has
    /// acknowledged the current announcement, else the whole announcement.
    pub fn report(&self, replica: usize) -> Report {
        if !self.acknowledged.get(replica).copied().unwrap_or(false) {
            return Report::Whole {
                notice: self.notice.clone(),
                warmth: self.warmth,
            };
        }
        let announcement = &self.notice.announcement;
        Report::Beat(Heartbeat {
            upstream: announcement.upstream.clone(),
            incarnation: announcement.incarnation,
            sequence: self.notice.sequence,
            revision: announcement.revision,
            fence: announcement.fence,
            warmth: self.warmth,
        })
    }

    /// Applies the answer of a replica to a report of `rank`.
    pub fn receive(
        &mut self,
        replica: usize,
        rank: (Incarnation, u64),
        answer: ReportAnswer,
        now: Time,
    ) -> IncarnationState {
        match answer {
            ReportAnswer::Kept if rank == self.notice.rank() => {
                self.set_acknowledged(replica, true);
            }
            ReportAnswer::Kept => {}
            ReportAnswer::Unknown | ReportAnswer::Refused => self.set_acknowledged(replica, false),
            ReportAnswer::Outdated { highest } => self.handle_outdated(highest, now),
        }
        self.incarnation_state()
    }

    /// Replaces the announcement; a changed one is sent whole to every replica.
    ///
    /// An incarnation that differs from the previous one, higher or lower, counts
    /// as a restart of the upstream.
    pub fn set_announcement(&mut self, mut announcement: Announcement, now: Time) {
        if announcement.incarnation != self.reported {
            self.reported = announcement.incarnation;
            self.set_incarnation(self.reported.max(next_incarnation(self.incarnation())));
            self.warmth = Warmth::Cold;
            self.started = now;
        }
        let current = &self.notice.announcement;
        announcement.incarnation = current.incarnation;
        announcement.revision = current.revision;
        announcement.fence = current.fence;
        if announcement != *current {
            self.notice.announcement = announcement;
            self.notice.sequence += 1;
            self.acknowledged.fill(false);
        }
    }

    /// Sets the values that are sent with every heartbeat.
    pub fn set_status(&mut self, revision: Revision, fence: Fence, warmth: Warmth) {
        self.notice.announcement.revision = revision;
        self.notice.announcement.fence = fence;
        self.warmth = warmth;
    }

    /// Rank of the announcement, to be passed to [`Self::receive`] with the answer.
    pub fn rank(&self) -> (Incarnation, u64) {
        self.notice.rank()
    }

    /// Incarnation announced.
    pub fn incarnation(&self) -> Incarnation {
        self.notice.announcement.incarnation
    }

    /// Whether a replica has reported a newer incarnation after the start grace.
    pub fn incarnation_state(&self) -> IncarnationState {
        if self.superseded {
            IncarnationState::Superseded
        } else {
            IncarnationState::Newest
        }
    }

    fn handle_outdated(&mut self, highest: Incarnation, now: Time) {
        if highest <= self.incarnation() {
            return;
        }
        if now.since(self.started) < START_GRACE {
            self.set_incarnation(next_incarnation(highest));
        } else {
            self.superseded = true;
        }
    }

    fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.notice.announcement.incarnation = incarnation;
        self.notice.sequence = 0;
        self.acknowledged.fill(false);
    }

    fn set_acknowledged(&mut self, replica: usize, acknowledged: bool) {
        if let Some(slot) = self.acknowledged.get_mut(replica) {
            *slot = acknowledged;
        }
    }
}

/// Returns the next incarnation; saturates, as a hostile answer may name the highest.
fn next_incarnation(incarnation: Incarnation) -> Incarnation {
    Incarnation(incarnation.0.saturating_add(1))
}
