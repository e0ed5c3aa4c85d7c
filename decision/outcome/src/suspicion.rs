//! Identifies by content the requests that crash upstreams.
//!
//! A crash that the agent survives makes every running request a suspect. A
//! suspect waits until all entries have received the report, then runs on an
//! upstream with no other suspect. In this trial a second crash identifies it,
//! and a success clears it. The loss of a whole instance counts only when it
//! happens twice to the same content. Crashes of many upstreams of a zone at once
//! are attributed to the zone, except for a content that ran on all of them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use pimentotide_model::{Fingerprint, Incarnation, Time, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::Ticket;

/// Number of crashes after which a content is refused.
const MAX_STRIKES: usize = 2;
/// Number of lost instances that count as one crash of a content.
const LOSSES_PER_STRIKE: usize = 2;
/// Time from a crash to the first retry of the suspects, for all entries to
/// receive the report.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay of a suspect while another copy of its content runs.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time after which a crash expires.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Duration of a refusal, counted from the last crash.
const REFUSAL_DURATION: Duration = Duration::from_secs(600);
/// Number of upstreams of a zone whose crashes within [`ZONE_CRASH_WINDOW`] are
/// attributed to the zone.
const MIN_ZONE_CRASHES: usize = 3;
/// Time window in which crashes of one zone are related.
const ZONE_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of crashes; the oldest are evicted first.
const MAX_CRASHES: usize = 256;
/// Maximum number of suspects per crash.
const MAX_SUSPECTS_PER_CRASH: usize = 512;
/// Maximum number of refused contents; the oldest refusal is evicted first.
const MAX_REFUSED_CONTENTS: usize = 1_024;

/// Process that observed a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Witness {
    /// An entry that observed the loss of the whole instance.
    Entry,
    /// The agent, which survived the crash of its upstream.
    Agent,
}

/// Crash of one incarnation of an upstream with the requests running on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Upstream that crashed.
    pub upstream: UpstreamName,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
    /// Zone of the upstream; `None` if the reporter has no record of it.
    pub zone: Option<ZoneName>,
    /// Process that observed the crash.
    pub witness: Witness,
    /// Contents of the running requests.
    pub suspects: Vec<Fingerprint>,
}

/// Decision on whether and where a content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// May run without restrictions.
    Free,
    /// May run on the requested upstream, as its only suspect.
    Apart,
    /// May not run on this upstream now, which runs another suspect.
    Occupied,
    /// May run after this time.
    Wait(Duration),
    /// Refused for this time.
    Refused(Duration),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Event {
    upstream: UpstreamName,
    incarnation: Incarnation,
    zone: Option<ZoneName>,
    witness: Witness,
    at: Time,
    suspects: BTreeSet<Fingerprint>,
    /// Suspects excused by the failure of the zone.
    excused: BTreeSet<Fingerprint>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Trial {
    ticket: Ticket,
    upstream: UpstreamName,
    until: Time,
}

/// Suspected contents, identical on every replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Suspicion {
    events: VecDeque<Event>,
    trials: BTreeMap<Fingerprint, Trial>,
    refused: BTreeMap<Fingerprint, Time>,
}

impl Suspicion {
    /// Returns whether no content is suspected or refused.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.refused.is_empty()
    }

    /// Records a crash; reports of the same crash are merged.
    pub fn report(&mut self, crash: &Crash, at: Time) {
        self.expire(at);
        self.merge(crash, at);
        self.excuse_zone_failure(crash.zone.as_ref(), at);
        for suspect in &crash.suspects {
            self.trials.remove(suspect);
            self.refuse_if_due(*suspect, at);
        }
        self.enforce_limits();
    }

    /// Decides whether a content may run on `upstream`, and reserves a trial
    /// there for a suspect.
    ///
    /// The trial of `ticket` ends after `allowed`, or with a crash, a success or
    /// [`Suspicion::end_trial`].
    pub fn admit(
        &mut self,
        content: Fingerprint,
        ticket: Ticket,
        upstream: &UpstreamName,
        allowed: Duration,
        at: Time,
    ) -> Verdict {
        let verdict = self.verdict(content, ticket, upstream, at);
        if verdict == Verdict::Apart {
            let trial = Trial {
                ticket,
                upstream: upstream.clone(),
                until: at + allowed,
            };
            self.trials.insert(content, trial);
        }
        verdict
    }

    /// Returns the verdict on a content that `ticket` requests to run on `upstream`.
    pub fn verdict(
        &self,
        content: Fingerprint,
        ticket: Ticket,
        upstream: &UpstreamName,
        at: Time,
    ) -> Verdict {
        if let Some(until) = self.refused.get(&content)
            && at < *until
        {
            return Verdict::Refused(until.since(at));
        }
        let Some(last) = self.last_strike(content) else {
            return Verdict::Free;
        };
        if at < last + RETRY_DELAY {
            return Verdict::Wait((last + RETRY_DELAY).since(at));
        }
        self.isolate(content, ticket, upstream, at)
    }

    /// Returns the upstreams that run a suspect.
    pub fn occupied(&self, at: Time) -> BTreeSet<UpstreamName> {
        let active = self.trials.values().filter(|t| at < t.until);
        active.map(|t| t.upstream.clone()).collect()
    }

    /// Ends the trial of `ticket`, if it holds one.
    ///
    /// A request that ran to completion (`finished`) clears its content.
    pub fn end_trial(&mut self, content: Fingerprint, ticket: Ticket, finished: bool) {
        if self.trials.get(&content).is_none_or(|t| t.ticket != ticket) {
            return;
        }
        self.trials.remove(&content);
        if finished {
            self.clear(content);
        }
    }

    /// Clears a content that ran to completion, unless it is refused.
    pub fn clear(&mut self, content: Fingerprint) {
        if self.is_empty() || self.refused.contains_key(&content) {
            return;
        }
        self.trials.remove(&content);
        for event in &mut self.events {
            event.suspects.remove(&content);
            event.excused.remove(&content);
        }
        self.events.retain(|e| !e.suspects.is_empty());
    }

    /// Removes expired crashes, trials and refusals.
    pub fn expire(&mut self, at: Time) {
        self.events.retain(|e| at < e.at + CRASH_RETENTION);
        self.trials.retain(|_, t| at < t.until);
        self.refused.retain(|_, until| at < *until);
    }

    /// Returns the suspected and refused contents.
    pub fn contents(&self) -> BTreeSet<Fingerprint> {
        let suspects = self.events.iter().flat_map(|e| &e.suspects);
        suspects
            .filter(|s| self.last_strike(**s).is_some())
            .chain(self.refused.keys())
            .copied()
            .collect()
    }

    fn isolate(
        &self,
        content: Fingerprint,
        ticket: Ticket,
        upstream: &UpstreamName,
        at: Time,
    ) -> Verdict {
        if let Some(trial) = self.trials.get(&content)
            && trial.ticket != ticket
            && at < trial.until
        {
            return Verdict::Wait(trial.until.since(at).min(TRIAL_RETRY_DELAY));
        }
        let mut others = self.trials.iter().filter(|(c, _)| **c != content);
        if others.any(|(_, t)| t.upstream == *upstream && at < t.until) {
            return Verdict::Occupied;
        }
        Verdict::Apart
    }

    fn merge(&mut self, crash: &Crash, at: Time) {
        let existing = self
            .events
            .iter_mut()
            .find(|e| e.upstream == crash.upstream && e.incarnation == crash.incarnation);
        if let Some(event) = existing {
            event.witness = event.witness.max(crash.witness);
            event.zone = event.zone.take().or_else(|| crash.zone.clone());
            event.suspects.extend(&crash.suspects);
            return;
        }
        self.events.push_back(Event {
            upstream: crash.upstream.clone(),
            incarnation: crash.incarnation,
            zone: crash.zone.clone(),
            witness: crash.witness,
            at,
            suspects: crash.suspects.iter().copied().collect(),
            excused: BTreeSet::new(),
        });
    }

    /// Excuses the requests of a zone that lost many upstreams at once.
    ///
    /// A content that ran on all of these upstreams remains suspected.
    fn excuse_zone_failure(&mut self, zone: Option<&ZoneName>, at: Time) {
        let Some(zone) = zone else {
            return;
        };
        let recent =
            |e: &Event| e.zone.as_ref() == Some(zone) && at.since(e.at) <= ZONE_CRASH_WINDOW;
        let crashes: Vec<&Event> = self.events.iter().filter(|e| recent(e)).collect();
        let upstreams: BTreeSet<&UpstreamName> = crashes.iter().map(|e| &e.upstream).collect();
        if upstreams.len() < MIN_ZONE_CRASHES {
            return;
        }
        let common = crashes[1..]
            .iter()
            .fold(crashes[0].suspects.clone(), |common, e| {
                common.intersection(&e.suspects).copied().collect()
            });
        for event in self.events.iter_mut().filter(|e| recent(e)) {
            event.excused = event.suspects.difference(&common).copied().collect();
        }
        self.withdraw_refusals();
    }

    /// Withdraws refusals for which too few crashes remain.
    fn withdraw_refusals(&mut self) {
        let excused: BTreeSet<Fingerprint> = self
            .events
            .iter()
            .flat_map(|e| &e.excused)
            .copied()
            .collect();
        let cleared: Vec<Fingerprint> = excused
            .into_iter()
            .filter(|c| self.strikes(*c) < MAX_STRIKES)
            .collect();
        for content in cleared {
            self.refused.remove(&content);
        }
    }

    fn refuse_if_due(&mut self, content: Fingerprint, at: Time) {
        if self.strikes(content) >= MAX_STRIKES {
            self.refused.insert(content, at + REFUSAL_DURATION);
        }
    }

    fn strikes(&self, content: Fingerprint) -> usize {
        let (mut crashes, mut losses, mut excused) = (0, 0, 0);
        for event in self.events.iter().filter(|e| e.suspects.contains(&content)) {
            match (event.witness, event.excused.contains(&content)) {
                (Witness::Agent, true) => excused += 1,
                (Witness::Agent, false) => crashes += 1,
                (Witness::Entry, false) => losses += 1,
                (Witness::Entry, true) => {}
            }
        }
        crashes + losses / LOSSES_PER_STRIKE + usize::from(excused >= MAX_STRIKES)
    }

    fn last_strike(&self, content: Fingerprint) -> Option<Time> {
        if self.events.is_empty() || self.strikes(content) == 0 {
            return None;
        }
        let suspecting = self.events.iter().filter(|e| e.suspects.contains(&content));
        suspecting.map(|e| e.at).max()
    }

    fn enforce_limits(&mut self) {
        while self.events.len() > MAX_CRASHES {
            self.events.pop_front();
        }
        for event in &mut self.events {
            while event.suspects.len() > MAX_SUSPECTS_PER_CRASH {
                event.suspects.pop_last();
            }
        }
        while self.refused.len() > MAX_REFUSED_CONTENTS {
            let oldest = self.refused.iter().min_by_key(|(_, t)| **t);
            let oldest = oldest.map(|(content, _)| *content);
            self.refused.retain(|c, _| Some(*c) != oldest);
        }
    }
}
