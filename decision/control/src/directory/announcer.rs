//! Agent side of the directory.

use pimentotide_model::{Announcement, Fence, Incarnation, Revision, Time, Warmth};

use super::START_GRACE;
use super::message::{Heartbeat, Notice, Report, ReportAnswer};

/// Whether the agent may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationState {
    /// It is the newest incarnation known.
    Newest,
    /// Another process has taken over the name; this one takes no new work.
    Superseded,
}

/// Announcements of one agent to all replicas.
#[derive(Clone, Debug)]
pub struct Announcer {
    notice: Notice,
    given: Incarnation,
    warmth: Warmth,
    started: Time,
    kept: Vec<bool>,
    superseded: bool,
}

impl Announcer {
    /// Starts to announce to `replicas` replicas.
    ///
    /// The incarnation of `announcement` should be taken from the wall clock at
    /// the start of the upstream; it is raised if a replica knows a higher one.
    pub fn new(announcement: Announcement, replicas: usize, now: Time) -> Self {
        Self {
            given: announcement.incarnation,
            notice: Notice {
                sequence: 0,
                announcement,
            },
            warmth: Warmth::Cold,
            started: now,
            kept: vec![false; replicas],
            superseded: false,
        }
    }

    /// Report to send to a replica now.
    pub fn report(&self, replica: usize) -> Report {
        if !self.kept.get(replica).copied().unwrap_or(false) {
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

    /// Takes the answer of a replica to a report of `rank`.
    pub fn receive(
        &mut self,
        replica: usize,
        rank: (Incarnation, u64),
        heard: ReportAnswer,
        now: Time,
    ) -> IncarnationState {
        match heard {
            ReportAnswer::Kept if rank == self.notice.rank() => self.set_kept(replica, true),
            ReportAnswer::Kept => {}
            ReportAnswer::Unknown | ReportAnswer::Refused => self.set_kept(replica, false),
            ReportAnswer::Outdated { highest } => self.outdated(highest, now),
        }
        self.incarnation_state()
    }

    /// Takes what the agent says now; replicas get a changed announcement whole.
    ///
    /// Another incarnation than before, be it higher or lower, is a new start.
    pub fn set_announcement(&mut self, mut announcement: Announcement, now: Time) {
        if announcement.incarnation != self.given {
            self.given = announcement.incarnation;
            self.renew(self.given.max(after(self.incarnation())));
            self.warmth = Warmth::Cold;
            self.started = now;
        }
        let known = &self.notice.announcement;
        announcement.incarnation = known.incarnation;
        announcement.revision = known.revision;
        announcement.fence = known.fence;
        if announcement != *known {
            self.notice.announcement = announcement;
            self.notice.sequence += 1;
            self.kept.fill(false);
        }
    }

    /// Notes what goes with each sign of life.
    pub fn set_status(&mut self, revision: Revision, fence: Fence, warmth: Warmth) {
        self.notice.announcement.revision = revision;
        self.notice.announcement.fence = fence;
        self.warmth = warmth;
    }

    /// Rank of the announcement, to be given back with the answer.
    pub fn rank(&self) -> (Incarnation, u64) {
        self.notice.rank()
    }

    /// Incarnation announced.
    pub fn incarnation(&self) -> Incarnation {
        self.notice.announcement.incarnation
    }

    /// Whether the agent may go on.
    pub fn incarnation_state(&self) -> IncarnationState {
        if self.superseded {
            IncarnationState::Superseded
        } else {
            IncarnationState::Newest
        }
    }

    fn outdated(&mut self, highest: Incarnation, now: Time) {
        if highest <= self.incarnation() {
            return;
        }
        if now.since(self.started) < START_GRACE {
            self.renew(after(highest));
        } else {
            self.superseded = true;
        }
    }

    fn renew(&mut self, incarnation: Incarnation) {
        self.notice.announcement.incarnation = incarnation;
        self.notice.sequence = 0;
        self.kept.fill(false);
    }

    fn set_kept(&mut self, replica: usize, kept: bool) {
        if let Some(slot) = self.kept.get_mut(replica) {
            *slot = kept;
        }
    }
}

/// Incarnation that follows; the highest one has none, as a hostile answer may name it.
fn after(incarnation: Incarnation) -> Incarnation {
    Incarnation(incarnation.0.saturating_add(1))
}
