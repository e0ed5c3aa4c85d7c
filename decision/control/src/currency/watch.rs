//! Holder side: the configuration in force and the lease on its being current.

use pimentotide_model::{
    Declarations, ErrorKind, LeaseExpiryPolicy, Revision, ServiceName, Time, UpstreamName, ZoneName,
};

use super::LEASE;
use super::message::{Held, Update, WatchAnswer};
use crate::declare::{Configuration, advance};
use crate::machine::Change;

/// What became of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The lease is renewed and nothing else changed.
    Renewed,
    /// A newer configuration is in force.
    Changed,
    /// The answer does not fit; the next request has to ask for the whole.
    Repair,
    /// The answer is older than what is in force.
    Stale,
}

/// Configuration of an entry or an agent.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    configuration: Option<Configuration>,
    expiry: Time,
    damaged: bool,
    heard: Revision,
}

impl Watch {
    /// Takes an answer to a request that was sent at `sent`.
    pub fn receive(&mut self, sent: Time, answer: &WatchAnswer) -> WatchOutcome {
        let held = self.revision();
        if self.configuration.is_some() && answer.revision < held {
            return WatchOutcome::Stale;
        }
        let Some(next) = self.follow(answer) else {
            self.damaged = true;
            return WatchOutcome::Repair;
        };
        let changed = self.configuration.as_ref().map(Configuration::digest) != Some(next.digest());
        self.configuration = Some(next);
        self.damaged = false;
        self.expiry = self.expiry.max(sent + answer.lease.min(LEASE));
        if changed {
            WatchOutcome::Changed
        } else {
            WatchOutcome::Renewed
        }
    }

    /// Notes a revision that came with a message of another process.
    ///
    /// Tells whether it is newer than all that is known, so that waiting for a
    /// push is wrong.
    pub fn observe_revision(&mut self, revision: Revision) -> bool {
        let newer = revision > self.heard.max(self.revision());
        self.heard = self.heard.max(revision);
        newer
    }

    /// Whether another process has a newer revision.
    pub fn is_behind(&self) -> bool {
        self.heard > self.revision()
    }

    /// Configuration to name in the next request; none asks for the whole.
    pub fn held(&self) -> Option<Held> {
        let configuration = self.configuration.as_ref().filter(|_| !self.damaged)?;
        Some(Held {
            revision: configuration.revision,
            digest: configuration.digest(),
        })
    }

    /// Declarations in force; none before the first answer.
    pub fn declarations(&self) -> Option<&Declarations> {
        self.configuration.as_ref().map(Configuration::declarations)
    }

    /// Revision in force, zero before the first answer.
    pub fn revision(&self) -> Revision {
        self.declarations().map_or(Revision(0), |d| d.revision)
    }

    /// Whether the lease holds at `now`.
    pub fn is_current(&self, now: Time) -> bool {
        now < self.expiry
    }

    /// When the lease runs out.
    pub fn expiry(&self) -> Time {
        self.expiry
    }

    /// Whether `upstream` in `zone` may take new work of `service`.
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

    /// Builds the configuration of an answer; none if it does not match its digest.
    fn follow(&self, answer: &WatchAnswer) -> Option<Configuration> {
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

/// Whether `upstream` in `zone` may take new work of `service`.
///
/// # Errors
///
/// Fails with `OutOfService` if operators have taken the zone or the upstream
/// out, and with `NotCurrent` if the lease has run out and the service's
/// profile does not say to serve on.
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
