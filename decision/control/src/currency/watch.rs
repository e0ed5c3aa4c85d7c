//! Holder side: the configuration in force and its lease.

use pimentotide_model::{
    Declarations, ErrorKind, LeaseExpiryPolicy, Revision, ServiceName, Time, UpstreamName, ZoneName,
};

use super::LEASE;
use super::message::{Held, Update, WatchAnswer};
use crate::declare::{Configuration, advance};
use crate::machine::Change;

/// Effect of an answer on a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The lease is renewed; the configuration is unchanged.
    Renewed,
    /// Another configuration is in force.
    Changed,
    /// The update does not lead to the announced revision and digest; the next
    /// request has to ask for the whole configuration.
    Repair,
    /// The answer is older than the configuration in force.
    Stale,
}

/// Configuration of an entry or an agent and the lease on it.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    configuration: Option<Configuration>,
    expiry: Time,
    needs_whole: bool,
    observed: Revision,
}

impl Watch {
    /// Applies the answer to a request that was sent at `sent`.
    pub fn receive(&mut self, sent: Time, answer: &WatchAnswer) -> WatchOutcome {
        let current = self.revision();
        if self.configuration.is_some() && answer.revision < current {
            return WatchOutcome::Stale;
        }
        let Some(next) = self.build(answer) else {
            self.needs_whole = true;
            return WatchOutcome::Repair;
        };
        let changed = self.configuration.as_ref().map(Configuration::digest) != Some(next.digest());
        self.configuration = Some(next);
        self.needs_whole = false;
        self.expiry = self.expiry.max(sent + answer.lease.min(LEASE));
        if changed {
            WatchOutcome::Changed
        } else {
            WatchOutcome::Renewed
        }
    }

    /// Records a revision received in a message of another process.
    ///
    /// Returns whether it is newer than every revision observed so far, in which
    /// case the holder should request an update instead of waiting for one.
    pub fn observe_revision(&mut self, revision: Revision) -> bool {
        let newer = revision > self.observed.max(self.revision());
        self.observed = self.observed.max(revision);
        newer
    }

    /// Whether another process has reported a newer revision.
    pub fn is_behind(&self) -> bool {
        self.observed > self.revision()
    }

    /// Configuration to name in the next request; `None` requests the whole.
    pub fn held(&self) -> Option<Held> {
        let configuration = self.configuration.as_ref().filter(|_| !self.needs_whole)?;
        Some(Held {
            revision: configuration.revision,
            digest: configuration.digest(),
        })
    }

    /// Declarations in force; `None` before the first answer.
    pub fn declarations(&self) -> Option<&Declarations> {
        self.configuration.as_ref().map(Configuration::declarations)
    }

    /// Revision in force, zero before the first answer.
    pub fn revision(&self) -> Revision {
        self.declarations().map_or(Revision(0), |d| d.revision)
    }

    /// Whether the lease is valid at `now`.
    pub fn is_current(&self, now: Time) -> bool {
        now < self.expiry
    }

    /// Time at which the lease expires.
    pub fn expiry(&self) -> Time {
        self.expiry
    }

    /// Checks whether `upstream` in `zone` may accept new work of `service`.
    ///
    /// # Errors
    ///
    /// Fails as [`admit`] does, and with `NotCurrent` before the first answer.
    pub fn admit(
        &self,
        service: &ServiceName,
        zone: &ZoneName,
        upstream: &UpstreamName,
        now: Time,
    ) -> Result<(), ErrorKind> {
        let declarations = self.declarations().ok_or(ErrorKind::NotCurrent)?;
        admit(declarations, self.is_current(now), service, zone, upstream)
    }

    /// Builds the configuration of an answer; `None` if its revision or digest differs.
    fn build(&self, answer: &WatchAnswer) -> Option<Configuration> {
        let next = match &answer.update {
            Update::Same => self.configuration.clone()?,
            Update::Whole(declarations) => {
                Configuration::with_digest(declarations.clone(), answer.digest)
            }
            Update::Changes(changes) => self.replay(changes)?,
        };
        let matches = next.revision == answer.revision && next.digest() == answer.digest;
        matches.then_some(next)
    }

    fn replay(&self, changes: &[Change]) -> Option<Configuration> {
        let mut declarations = self.declarations()?.clone();
        for change in changes {
            if change.revision <= declarations.revision {
                continue;
            }
            declarations = advance(&declarations, &change.action).ok()?;
            if declarations.revision != change.revision {
                return None;
            }
        }
        Some(Configuration::from(declarations))
    }
}

/// Checks whether `upstream` in `zone` may accept new work of `service`.
///
/// # Errors
///
/// Fails with `OutOfService` if operators have taken the zone or the upstream
/// out of service, and with `NotCurrent` if the lease has expired and the
/// profile of the service does not allow serving without one.
pub fn admit(
    declarations: &Declarations,
    current: bool,
    service: &ServiceName,
    zone: &ZoneName,
    upstream: &UpstreamName,
) -> Result<(), ErrorKind> {
    if !declarations.admits(zone, upstream) {
        return Err(ErrorKind::OutOfService);
    }
    let policy = declarations.profile_of(service).map(|p| p.lapse);
    if current || policy == Some(LeaseExpiryPolicy::Serve) {
        return Ok(());
    }
    Err(ErrorKind::NotCurrent)
}
