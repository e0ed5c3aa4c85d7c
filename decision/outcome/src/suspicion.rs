//! Finds the requests that crash what runs them, by content.
//!
//! A crash that its agent outlived is evidence against every request that was
//! running. Each of them then waits until all entries have heard of it and
//! runs next on an upstream of its own, so that a second crash identifies the
//! request and a success clears it. The loss of a whole instance is evidence
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
const QUIET: Duration = Duration::from_secs(3);
/// Time for which a crash is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// Time for which a content is refused after its last crash.
const REFUSAL: Duration = Duration::from_secs(600);
/// Upstreams in quarantine for retries at once.
const MAX_TRIALS: usize = 3;
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
    /// On an upstream that runs nothing else meanwhile.
    Alone,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Trial {
    ticket: Ticket,
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

    /// Decides how a content may run and reserves a quarantine if it needs one.
    ///
    /// The reservation of `ticket` ends after `allowed`, or with a crash, a
    /// success or [`Suspicion::release`].
    pub fn admit(
        &mut self,
        content: Fingerprint,
        ticket: Ticket,
        allowed: Duration,
        at: Time,
    ) -> Verdict {
        let verdict = self.verdict(content, ticket, at);
        if verdict == Verdict::Alone {
            let until = at + allowed;
            self.trials.insert(content, Trial { ticket, until });
        }
        verdict
    }

    /// Says how a content may run if `ticket` asks for it.
    pub fn verdict(&self, content: Fingerprint, ticket: Ticket, at: Time) -> Verdict {
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
        self.quarantine(content, ticket, at)
    }

    /// Ends a reservation whose request did not run.
    pub fn release(&mut self, content: Fingerprint, ticket: Ticket) {
        if self
            .trials
            .get(&content)
            .is_some_and(|t| t.ticket == ticket)
        {
            self.trials.remove(&content);
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

    fn quarantine(&self, content: Fingerprint, ticket: Ticket, at: Time) -> Verdict {
        let live = || self.trials.iter().filter(|(_, t)| at < t.until);
        if let Some((_, trial)) = live().find(|(c, _)| **c == content) {
            return if trial.ticket == ticket {
                Verdict::Alone
            } else {
                Verdict::Wait(trial.until.since(at))
            };
        }
        if live().count() < MAX_TRIALS {
            return Verdict::Alone;
        }
        let first = live().map(|(_, t)| t.until).min().unwrap_or(at);
        Verdict::Wait(first.since(at).min(QUIET))
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
