//! Choice of an upstream for each request of one entry.
//!
//! A decision weighs a few candidates: holders of the prompt's prefix, draws
//! from the nearest zone and draws from all zones. Random draws keep entries
//! that look at the same stale reports from choosing the same upstream, and
//! keep the cost of a decision from growing with the number of upstreams. Own
//! requests sent since a report are added to it. When no candidate has room
//! the request waits, and the agents to ask for credits are named.

mod decision;
mod directory;
mod pool;
mod prefix;
mod scene;
mod score;
mod slot;

use std::collections::BTreeMap;

use pimentotide_model::{
    Announcement, Declarations, ErrorKind, Failure, Fingerprint, Incarnation, InstanceName,
    LoadReport, RequestMeta, Revision, ServiceName, Time, UpstreamName, ZoneName,
};
use rand::Rng;

use crate::gate::CreditId;
use crate::health::HealthState;
pub use decision::{
    AttemptOutcome, Candidate, Candidates, Decision, Finished, Placement, Reason, Ticket, Wait,
};
use decision::{Booking, INLINE_CANDIDATES};
use directory::Directory;
use pool::{Pool, Pools};
use prefix::Beliefs;
pub use prefix::{CacheAction, CacheChange, CacheEvent, CacheSnapshot};
use scene::{Scene, Shortlist, Weighed};
use score::Learned;
use slot::Slot;

/// Largest part of a service's upstreams that may be ejected at once.
const MAX_EJECTED: f64 = 0.5;

/// What a placer is told when it opens.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacerSettings {
    /// Instance of the entry.
    pub instance: InstanceName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Candidates drawn for each decision, half of them from the nearest zone.
    pub choices: usize,
    /// Seed of the bias that directs entries to different upstreams.
    pub bias_seed: u64,
}

impl PlacerSettings {
    /// Returns the usual settings of an entry.
    pub fn new(instance: InstanceName, zone: ZoneName) -> Self {
        let digest = Fingerprint::of([instance.as_bytes()]).0;
        Self {
            instance,
            zone,
            choices: 6,
            bias_seed: u64::from_le_bytes(digest[..8].try_into().unwrap_or_default()),
        }
    }
}

/// Choice of upstreams in one entry.
#[derive(Debug)]
pub struct Placer {
    settings: PlacerSettings,
    declarations: Declarations,
    directory: Directory,
    pools: Pools,
    beliefs: Beliefs,
    learned: BTreeMap<ServiceName, Learned>,
}

impl Placer {
    /// Opens a placer that knows no upstream.
    pub fn open(settings: PlacerSettings) -> Self {
        Self {
            settings,
            declarations: Declarations::default(),
            directory: Directory::default(),
            pools: Pools::default(),
            beliefs: Beliefs::default(),
            learned: BTreeMap::new(),
        }
    }

    /// Configuration in force.
    pub fn revision(&self) -> Revision {
        self.declarations.revision
    }

    /// Puts declarations in force; older ones than those in force are ignored.
    pub fn declare(&mut self, declarations: Declarations) {
        if declarations.revision < self.declarations.revision {
            return;
        }
        self.declarations = declarations;
        self.pools.reset(&self.declarations);
    }

    /// Takes what an agent announces about its upstream.
    pub fn announce(&mut self, announcement: Announcement) {
        let index = match self.directory.find(&announcement.upstream) {
            Some(index) => index,
            None => self.add(&announcement),
        };
        let Some(slot) = self.directory.slot(index) else {
            return;
        };
        let before = slot.announcement.incarnation;
        if announcement.incarnation < before {
            return;
        }
        if announcement.incarnation > before {
            self.directory.restart(index);
            self.beliefs.restart(index, announcement.incarnation);
        }
        self.directory.announce(index, announcement);
        self.index(index);
    }

    /// Forgets an upstream that has not been heard of for long.
    pub fn remove_upstream(&mut self, upstream: &UpstreamName) {
        let Some(index) = self.directory.remove(upstream) else {
            return;
        };
        self.pools.remove(index);
        self.beliefs.restart(index, Incarnation::default());
    }

    /// Takes a load report that describes the upstream at `taken`.
    pub fn observe_report(&mut self, upstream: &UpstreamName, report: &LoadReport, taken: Time) {
        if let Some(index) = self.directory.find(upstream) {
            self.directory.report(index, report, taken);
        }
    }

    /// Takes a cache event of an upstream.
    pub fn observe_cache(
        &mut self,
        upstream: &UpstreamName,
        event: CacheEvent,
        now: Time,
    ) -> CacheAction {
        match self.directory.find(upstream) {
            Some(index) => self.beliefs.event(index, event, now),
            None => CacheAction::None,
        }
    }

    /// Takes a snapshot of the cache of an upstream.
    pub fn observe_snapshot(
        &mut self,
        upstream: &UpstreamName,
        snapshot: &CacheSnapshot,
        now: Time,
    ) -> CacheAction {
        match self.directory.find(upstream) {
            Some(index) => self.beliefs.snapshot(index, snapshot, now),
            None => CacheAction::None,
        }
    }

    /// Decides where a request goes, leaving out upstreams that refused it before.
    pub fn place<R>(
        &mut self,
        meta: &RequestMeta,
        tried: &[UpstreamName],
        now: Time,
        rng: &mut R,
    ) -> Placement
    where
        R: Rng,
    {
        let pool = match self.pool_for(meta) {
            Ok(pool) => pool,
            Err(failure) => return Placement::Refused(failure),
        };
        let Some(service) = self.pools.service(&meta.service) else {
            return Placement::Refused(unknown(meta));
        };
        let pool = service.pool(pool);
        if pool.len() == 0 {
            return Placement::Refused(self.no_upstream(meta));
        }
        let learned = self.learned.get(&meta.service).copied().unwrap_or_default();
        let scene = Scene {
            directory: &self.directory,
            beliefs: &self.beliefs,
            settings: &self.settings,
            pool,
            learned,
            meta,
            tried,
            now,
        };
        let shortlist = scene.shortlist(rng);
        if shortlist.is_empty() {
            return Placement::Wait(Wait {
                upstreams: scene.to_ask(rng),
            });
        }
        let reason = scene.reason(&shortlist);
        Placement::Chosen(self.book(meta, &shortlist, reason, None, now))
    }

    /// Sends a request to the upstream that granted a credit; none if it may not go there.
    pub fn redeem(
        &mut self,
        meta: &RequestMeta,
        upstream: &UpstreamName,
        credit: CreditId,
        now: Time,
    ) -> Option<Decision> {
        let index = self.directory.find(upstream)?;
        let pool = self.pool_for(meta).ok()?;
        let pool = self.pools.service(&meta.service)?.pool(pool);
        if !pool.contains(index) {
            return None;
        }
        let learned = self.learned.get(&meta.service).copied().unwrap_or_default();
        let scene = Scene {
            directory: &self.directory,
            beliefs: &self.beliefs,
            settings: &self.settings,
            pool,
            learned,
            meta,
            tried: &[],
            now,
        };
        let weighed = scene.weigh(index, 0.0)?;
        let shortlist = Shortlist::from_slice(&[weighed]);
        Some(self.book(meta, &shortlist, Reason::Credit, Some(credit), now))
    }

    /// Notes progress of a placed request: a first token or a later one.
    pub fn progress(&mut self, ticket: &Ticket, now: Time) {
        if let Some(slot) = self.booked(ticket.0) {
            slot.health.record_progress(now);
        }
    }

    /// Takes the end of a placed request.
    pub fn finish(&mut self, ticket: Ticket, meta: &RequestMeta, done: &Finished, now: Time) {
        let booking = ticket.into_booking();
        if !self.directory.end(booking.slot, booking.generation, now) {
            return;
        }
        match done.outcome {
            AttemptOutcome::Good => self.learn(booking, meta, done, now),
            AttemptOutcome::Refused(report) => self.refused(booking, meta, report, now),
            AttemptOutcome::Cancelled => self.cancelled(booking),
            AttemptOutcome::Failed => self.failed(booking, meta, now),
        }
    }

    /// Ejects upstreams whose requests make no progress, and names them.
    pub fn check_stalls(&mut self, now: Time) -> Vec<UpstreamName> {
        let stalled: Vec<u32> = self
            .directory
            .iter()
            .filter(|(_, s)| s.health.is_stalled(now) && !s.health.is_ejected(now))
            .map(|(index, _)| index)
            .collect();
        let mut ejected = Vec::new();
        for index in stalled {
            if self.eject(index, now) {
                ejected.extend(self.directory.name_of(index));
            }
        }
        ejected
    }

    /// Health of an upstream as this entry sees it.
    pub fn health(&self, upstream: &UpstreamName) -> Option<HealthState> {
        self.directory.named(upstream).map(|s| s.health.state())
    }

    /// Requests of this entry that run on an upstream.
    pub fn inflight(&self, upstream: &UpstreamName) -> u32 {
        self.directory.named(upstream).map_or(0, Slot::inflight)
    }

    /// Address of the agent of an upstream.
    pub fn address(&self, upstream: &UpstreamName) -> Option<&str> {
        let slot = self.directory.named(upstream)?;
        Some(&slot.announcement.address)
    }

    /// Blocks of prompts believed cached anywhere.
    pub fn tracked_blocks(&self) -> usize {
        self.beliefs.len()
    }

    fn add(&mut self, announcement: &Announcement) -> u32 {
        let index = self.directory.add(announcement);
        self.beliefs.resize(self.directory.len());
        self.beliefs.restart(index, announcement.incarnation);
        index
    }

    /// Puts an upstream into the pools that it belongs to now.
    fn index(&mut self, index: u32) {
        self.pools.remove(index);
        let Some(slot) = self.directory.slot(index) else {
            return;
        };
        if is_open(&self.declarations, &slot.announcement) {
            self.pools
                .insert(index, &slot.announcement, &self.settings.zone);
        }
    }

    /// Finds the pool of a request, and builds it on first use.
    fn pool_for(&mut self, meta: &RequestMeta) -> Result<usize, Failure> {
        let service = self
            .pools
            .service(&meta.service)
            .ok_or_else(|| unknown(meta))?;
        let profile = service.profile();
        if let Some(adapter) = &meta.adapter
            && !profile.adapters.contains(adapter)
        {
            let detail = format!("service {} offers no adapter {adapter}", meta.service);
            return Err(Failure::new(ErrorKind::UnknownModel, detail));
        }
        let version = meta.version.as_ref().or(profile.version.as_ref());
        let adapter = meta.adapter.as_ref();
        if let Some(index) = service.find(version, adapter) {
            return Ok(index);
        }
        let version = version.cloned();
        let declarations = &self.declarations;
        let upstreams = self
            .directory
            .iter()
            .map(|(index, slot)| (index, &slot.announcement))
            .filter(|(_, announcement)| is_open(declarations, announcement));
        let own = &self.settings.zone;
        self.pools
            .build(&meta.service, version.as_ref(), adapter, upstreams, own)
            .ok_or_else(|| unknown(meta))
    }

    fn no_upstream(&self, meta: &RequestMeta) -> Failure {
        let detail = format!("no upstream in service offers {}", meta.service);
        Failure::new(ErrorKind::NoUpstream, detail)
    }

    /// Books a request on the first of the shortlist.
    fn book(
        &mut self,
        meta: &RequestMeta,
        shortlist: &[Weighed],
        reason: Reason,
        credit: Option<CreditId>,
        now: Time,
    ) -> Decision {
        let chosen = shortlist[0];
        let candidates: Candidates = shortlist
            .iter()
            .take(INLINE_CANDIDATES)
            .filter_map(|w| self.describe(w))
            .collect();
        let generation = self.directory.begin(chosen.slot, now);
        self.beliefs.add(chosen.slot, &meta.prefix);
        Decision {
            upstream: candidates[0].upstream.clone(),
            reason,
            credit,
            candidates,
            ticket: Ticket(Booking {
                slot: chosen.slot,
                generation,
                believed: chosen.hit,
            }),
        }
    }

    fn describe(&self, weighed: &Weighed) -> Option<Candidate> {
        let slot = self.directory.slot(weighed.slot)?;
        Some(Candidate {
            upstream: slot.announcement.upstream.clone(),
            score: weighed.score,
            load: weighed.load,
            allowance: weighed.allowance,
            hit: weighed.hit,
        })
    }

    fn booked(&mut self, booking: Booking) -> Option<&mut Slot> {
        self.directory
            .slot_mut(booking.slot)
            .filter(|s| s.generation == booking.generation)
    }

    fn learn(&mut self, booking: Booking, meta: &RequestMeta, done: &Finished, now: Time) {
        let blocks = u32::try_from(meta.prefix.len()).unwrap_or(u32::MAX);
        let hit = done.cached.unwrap_or(booking.believed).min(blocks);
        if let Some(slot) = self.booked(booking) {
            slot.health.record_success(now);
            slot.verify(booking.believed, hit);
        }
        let first = done.first_token.unwrap_or(done.total);
        self.learned
            .entry(meta.service.clone())
            .or_default()
            .observe(blocks - hit, done.tokens, first, done.total);
    }

    fn cancelled(&mut self, booking: Booking) {
        if let Some(slot) = self.booked(booking) {
            slot.health.record_neutral();
        }
    }

    fn refused(
        &mut self,
        booking: Booking,
        meta: &RequestMeta,
        report: Option<LoadReport>,
        now: Time,
    ) {
        self.disbelieve(booking, meta);
        self.cancelled(booking);
        if let Some(report) = report {
            self.directory.report(booking.slot, &report, now);
        }
    }

    fn failed(&mut self, booking: Booking, meta: &RequestMeta, now: Time) {
        self.disbelieve(booking, meta);
        let failing = self
            .booked(booking)
            .is_some_and(|slot| slot.health.record_failure());
        if failing {
            self.eject(booking.slot, now);
        }
    }

    /// Drops the beliefs that the placement itself added.
    fn disbelieve(&mut self, booking: Booking, meta: &RequestMeta) {
        let added = meta.prefix.get(booking.believed as usize..);
        self.beliefs.remove(booking.slot, added.unwrap_or_default());
    }

    /// Ejects an upstream unless too many of its service are out already.
    fn eject(&mut self, index: u32, now: Time) -> bool {
        let allowed = self.pools.pools_of(index).all(|p| self.may_eject(p, now));
        if let Some(slot) = self.directory.slot_mut(index)
            && allowed
        {
            slot.health.eject(now);
        }
        allowed
    }

    fn may_eject(&self, pool: &Pool, now: Time) -> bool {
        let ejected = pool
            .members()
            .filter_map(|m| self.directory.slot(m))
            .filter(|s| s.health.is_ejected(now))
            .count();
        (ejected + 1) as f64 <= pool.len() as f64 * MAX_EJECTED
    }
}

/// Whether an upstream may take new work at all.
fn is_open(declarations: &Declarations, announcement: &Announcement) -> bool {
    !announcement.leaving && declarations.admits(&announcement.zone, &announcement.upstream)
}

fn unknown(meta: &RequestMeta) -> Failure {
    let detail = format!("there is no service {}", meta.service);
    Failure::new(ErrorKind::NotFound, detail)
}
