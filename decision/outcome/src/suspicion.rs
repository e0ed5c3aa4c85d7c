//! Finds the requests that crash what runs them, by content.
//!
//! A crash that its agent outlived is evidence against every request that was
//! running. Each of them then waits until all entries have heard of it and
//! runs next on an upstream that runs no other suspect, so that a second crash
//! tells it from the others and a success clears it. The loss of a whole instance is evidence
//! only when the same content sees it twice, and crashes of many upstreams of
//! one zone at once are evidence against the zone, not against requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use pimentotide_model::{Fingerprint, Incarnation, Time, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::Ticket;

/// Crashes of one content after which it is refused.
const MAX_STRIKES: usize = 2;
/// Lost instances of one content that count as one crash.
const LOSSES_PER_STRIKE: usize = 2;
/// Time from a crash to the first retry of what ran there.
const QUIET: Duration = Duration::from_secs(1);
/// Pause of a suspect while another copy of its content runs.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a crash is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// Time for which a content is refused after its last crash.
const REFUSAL: Duration = Duration::from_secs(600);
/// Upstreams of one zone whose crashes within [`ZONE_SPAN`] are the zone's.
const ZONE_CRASHES: usize = 3;
/// Time within which crashes of one zone belong together.
const ZONE_SPAN: Duration = Duration::from_secs(2);
/// Crashes remembered; the oldest go first.
const MAX_CRASHES: usize = 256;
/// Suspects remembered for each crash.
const MAX_SUSPECTS: usize = 512;
/// Contents refused at once; the oldest refusal goes first.
const MAX_REFUSED: usize = 1_024;

/// Who saw an upstream die.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Witness {
    /// An entry that lost the whole instance.
    Entry,
    /// The agent, which outlived its upstream.
    Agent,
}

/// Death of one start of an upstream with what was running on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Upstream that died.
    pub upstream: UpstreamName,
    /// Start that ended.
    pub incarnation: Incarnation,
    /// Zone of the upstream, if the reporter knows it.
    pub zone: Option<ZoneName>,
    /// Who saw it.
    pub witness: Witness,
    /// Contents that were running.
    pub suspects: Vec<Fingerprint>,
}

/// How a content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// Like any other.
    Free,
    /// On the upstream that was asked for, as its only suspect.
    Apart,
    /// Not on this upstream now: it runs another suspect.
    Occupied,
    /// Not before this time has passed.
    Wait(Duration),
    /// Not at all before this time has passed.
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
    /// Suspects that the death of the zone excuses.
    excused: BTreeSet<Fingerprint>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Trial {
    ticket: Ticket,
    upstream: UpstreamName,
    until: Time,
}

/// Contents under suspicion, equal on every replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Suspicion {
    events: VecDeque<Event>,
    trials: BTreeMap<Fingerprint, Trial>,
    refused: BTreeMap<Fingerprint, Time>,
}

impl Suspicion {
    /// Whether nothing is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.refused.is_empty()
    }

    /// Takes in a crash; reports of the same crash add up.
    pub fn report(&mut self, crash: &Crash, at: Time) {
        self.expire(at);
        self.merge(crash, at);
        self.excuse_zone(crash.zone.as_ref(), at);
        for suspect in &crash.suspects {
            self.trials.remove(suspect);
            self.refuse_if_due(*suspect, at);
        }
        self.trim();
    }

    /// Decides whether a content may run on `upstream`, and reserves its place
    /// there if it is a suspect.
    ///
    /// The reservation of `ticket` ends after `allowed`, or with a crash, a
    /// success or [`Suspicion::end_trial`].
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

    /// Says how a content may run if `ticket` asks for `upstream`.
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
        if at < last + QUIET {
            return Verdict::Wait((last + QUIET).since(at));
        }
        self.quarantine(content, ticket, upstream, at)
    }

    /// Lists the upstreams that run a suspect.
    pub fn occupied(&self, at: Time) -> BTreeSet<UpstreamName> {
        let live = self.trials.values().filter(|t| at < t.until);
        live.map(|t| t.upstream.clone()).collect()
    }

    /// Ends the reservation of `ticket`, if it holds one.
    ///
    /// A request that ran to its end clears its content.
    pub fn end_trial(&mut self, content: Fingerprint, ticket: Ticket, finished: bool) {
        if self.trials.get(&content).is_none_or(|t| t.ticket != ticket) {
            return;
        }
        self.trials.remove(&content);
        if finished {
            self.clear(content);
        }
    }

    /// Clears a content that ran to its end.
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

    /// Forgets what is past its time.
    pub fn expire(&mut self, at: Time) {
        self.events.retain(|e| at < e.at + MEMORY);
        self.trials.retain(|_, t| at < t.until);
        self.refused.retain(|_, until| at < *until);
    }

    /// Lists the contents that may not run like any other.
    pub fn contents(&self) -> BTreeSet<Fingerprint> {
        let suspects = self.events.iter().flat_map(|e| &e.suspects);
        suspects
            .filter(|s| self.last_strike(**s).is_some())
            .chain(self.refused.keys())
            .copied()
            .collect()
    }

    fn quarantine(
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
            return Verdict::Wait(trial.until.since(at).min(TRIAL_PAUSE));
        }
        let mut others = self.trials.iter().filter(|(c, _)| **c != content);
        if others.any(|(_, t)| t.upstream == *upstream && at < t.until) {
            return Verdict::Occupied;
        }
        Verdict::Apart
    }

    fn merge(&mut self, crash: &Crash, at: Time) {
        let known = self
            .events
            .iter_mut()
            .find(|e| e.upstream == crash.upstream && e.incarnation == crash.incarnation);
        if let Some(event) = known {
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

    /// Excuses what ran in a zone that lost many upstreams at once.
    ///
    /// A content that ran on every one of them stays under suspicion.
    fn excuse_zone(&mut self, zone: Option<&ZoneName>, at: Time) {
        let Some(zone) = zone else {
            return;
        };
        let recent = |e: &Event| e.zone.as_ref() == Some(zone) && at.since(e.at) <= ZONE_SPAN;
        let lost: Vec<&Event> = self.events.iter().filter(|e| recent(e)).collect();
        let upstreams: BTreeSet<&UpstreamName> = lost.iter().map(|e| &e.upstream).collect();
        if upstreams.len() < ZONE_CRASHES {
            return;
        }
        let common = lost[1..]
            .iter()
            .fold(lost[0].suspects.clone(), |common, e| {
                common.intersection(&e.suspects).copied().collect()
            });
        for event in self.events.iter_mut().filter(|e| recent(e)) {
            event.excused = event.suspects.difference(&common).copied().collect();
        }
        self.withdraw_refusals();
    }

    /// Withdraws refusals for which too few crashes remain as evidence.
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
            self.refused.insert(content, at + REFUSAL);
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
        let held = self.events.iter().filter(|e| e.suspects.contains(&content));
        held.map(|e| e.at).max()
    }

    fn trim(&mut self) {
        while self.events.len() > MAX_CRASHES {
            self.events.pop_front();
        }
        for event in &mut self.events {
            while event.suspects.len() > MAX_SUSPECTS {
                event.suspects.pop_last();
            }
        }
        while self.refused.len() > MAX_REFUSED {
            let first = self.refused.iter().min_by_key(|(_, t)| **t);
            let first = first.map(|(content, _)| *content);
            self.refused.retain(|c, _| Some(*c) != first);
        }
    }
}
