//! Choice of an upstream for each request of one entry.
//!
//! A decision scores a few candidates: holders of the prompt's prefix, random
//! draws from the nearest zone and random draws from all zones. Random draws
//! avoid herding of entries that use the same stale reports, and keep the cost
//! of a decision independent of the number of upstreams. Own requests sent
//! since a report are added to it. When no candidate has room the request
//! waits, and the decision lists the upstreams whose agents to ask for credits.

mod decision;
mod directory;
mod pool;
mod prefix;
mod score;
mod selection;
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
use decision::{INLINE_CANDIDATES, Reservation};
use directory::Directory;
use pool::{Pool, Pools};
use prefix::CacheIndex;
pub use prefix::{CacheAction, CacheChange, CacheEvent, CacheSnapshot};
use score::ServiceStats;
use selection::{ScoredSlot, Selection, Shortlist};
use slot::Slot;

/// Largest share of the upstreams of a pool that may be ejected at once.
const MAX_EJECTED_RATIO: f64 = 0.5;

/// Settings of a placer.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacerSettings {
    /// Instance that runs the entry.
    pub instance: InstanceName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Candidates drawn for each decision, half of them from the nearest zone.
    pub choices: usize,
    /// Seed of the bias that directs entries to different upstreams.
    pub bias_seed: u64,
}

impl PlacerSettings {
    /// Returns the default settings of an entry, seeded by its instance name.
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

/// Chooses upstreams for the requests of one entry.
#[derive(Debug)]
pub struct Placer {
    settings: PlacerSettings,
    declarations: Declarations,
    directory: Directory,
    pools: Pools,
    cache: CacheIndex,
    stats: BTreeMap<ServiceName, ServiceStats>,
}

impl Placer {
    /// Creates a placer without upstreams.
    pub fn open(settings: PlacerSettings) -> Self {
        Self {
            settings,
            declarations: Declarations::default(),
            directory: Directory::default(),
            pools: Pools::default(),
            cache: CacheIndex::default(),
            stats: BTreeMap::new(),
        }
    }

    /// Returns the configuration revision in force.
    pub fn revision(&self) -> Revision {
        self.declarations.revision
    }

    /// Applies declarations, unless the current ones are newer.
    pub fn declare(&mut self, declarations: Declarations) {
        if declarations.revision < self.declarations.revision {
            return;
        }
        self.declarations = declarations;
        self.pools.reset(&self.declarations);
    }

    /// Applies an agent's announcement; one of an earlier incarnation is ignored.
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
            self.cache.restart(index, announcement.incarnation);
        }
        self.directory.announce(index, announcement);
        self.update_pools(index);
    }

    /// Removes an upstream whose announcements have stopped.
    pub fn remove_upstream(&mut self, upstream: &UpstreamName) {
        let Some(index) = self.directory.remove(upstream) else {
            return;
        };
        self.pools.remove(index);
        self.cache.restart(index, Incarnation::default());
    }

    /// Applies a load report made at `at`.
    pub fn observe_report(&mut self, upstream: &UpstreamName, report: &LoadReport, at: Time) {
        if let Some(index) = self.directory.find(upstream) {
            self.directory.report(index, report, at);
        }
    }

    /// Applies a cache event of an upstream.
    pub fn observe_cache(
        &mut self,
        upstream: &UpstreamName,
        event: CacheEvent,
        now: Time,
    ) -> CacheAction {
        match self.directory.find(upstream) {
            Some(index) => self.cache.event(index, event, now),
            None => CacheAction::None,
        }
    }

    /// Applies a snapshot of the cache of an upstream.
    pub fn observe_snapshot(
        &mut self,
        upstream: &UpstreamName,
        snapshot: &CacheSnapshot,
        now: Time,
    ) -> CacheAction {
        match self.directory.find(upstream) {
            Some(index) => self.cache.snapshot(index, snapshot, now),
            None => CacheAction::None,
        }
    }

    /// Chooses an upstream for a request, except those in `tried`, which refused it before.
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
            return Placement::Refused(unknown_service(meta));
        };
        let pool = service.pool(pool);
        if pool.len() == 0 {
            return Placement::Refused(self.no_upstream(meta));
        }
        let stats = self.stats.get(&meta.service).copied().unwrap_or_default();
        let selection = Selection {
            directory: &self.directory,
            cache: &self.cache,
            settings: &self.settings,
            pool,
            stats,
            meta,
            tried,
            now,
        };
        let shortlist = selection.shortlist(rng);
        if shortlist.is_empty() {
            return Placement::Wait(Wait {
                upstreams: selection.credit_sources(rng),
            });
        }
        let reason = selection.reason(&shortlist);
        Placement::Chosen(self.reserve(meta, &shortlist, reason, None, now))
    }

    /// Assigns a request to the upstream that granted a credit; `None` if that cannot serve it.
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
        let stats = self.stats.get(&meta.service).copied().unwrap_or_default();
        let selection = Selection {
            directory: &self.directory,
            cache: &self.cache,
            settings: &self.settings,
            pool,
            stats,
            meta,
            tried: &[],
            now,
        };
        let candidate = selection.evaluate(index, 0.0)?;
        let shortlist = Shortlist::from_slice(&[candidate]);
        Some(self.reserve(meta, &shortlist, Reason::Credit, Some(credit), now))
    }

    /// Records progress of a placed request, such as a token.
    pub fn progress(&mut self, ticket: &Ticket, now: Time) {
        if let Some(slot) = self.reserved_slot(ticket.0) {
            slot.health.record_progress(now);
        }
    }

    /// Records the end of a placed request.
    pub fn finish(&mut self, ticket: Ticket, meta: &RequestMeta, done: &Finished, now: Time) {
        let reserved = ticket.into_reservation();
        if !self.directory.end(reserved.slot, reserved.generation, now) {
            return;
        }
        match done.outcome {
            AttemptOutcome::Good => self.record_success(reserved, meta, done, now),
            AttemptOutcome::Refused(report) => self.record_refused(reserved, meta, report, now),
            AttemptOutcome::Cancelled => self.record_cancelled(reserved),
            AttemptOutcome::Failed => self.record_failed(reserved, meta, now),
        }
    }

    /// Ejects upstreams whose requests make no progress, and returns their names.
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

    /// Returns the health of an upstream; `None` if it is not announced.
    pub fn health(&self, upstream: &UpstreamName) -> Option<HealthState> {
        self.directory.named(upstream).map(|s| s.health.state())
    }

    /// Returns the number of requests of this entry in flight on an upstream.
    pub fn inflight(&self, upstream: &UpstreamName) -> u32 {
        self.directory.named(upstream).map_or(0, Slot::in_flight)
    }

    /// Returns the address of the agent of an upstream.
    pub fn address(&self, upstream: &UpstreamName) -> Option<&str> {
        let slot = self.directory.named(upstream)?;
        Some(&slot.announcement.address)
    }

    /// Returns the number of prompt blocks in the cache index.
    pub fn tracked_blocks(&self) -> usize {
        self.cache.len()
    }

    fn add(&mut self, announcement: &Announcement) -> u32 {
        let index = self.directory.add(announcement);
        self.cache.resize(self.directory.len());
        self.cache.restart(index, announcement.incarnation);
        index
    }

    /// Moves an upstream to the pools that accept it, or to none if it accepts no work.
    fn update_pools(&mut self, index: u32) {
        self.pools.remove(index);
        let Some(slot) = self.directory.slot(index) else {
            return;
        };
        if accepts_work(&self.declarations, &slot.announcement) {
            self.pools
                .insert(index, &slot.announcement, &self.settings.zone);
        }
    }

    /// Returns the index of the pool for a request, and builds it on first use.
    fn pool_for(&mut self, meta: &RequestMeta) -> Result<usize, Failure> {
        let service = self
            .pools
            .service(&meta.service)
            .ok_or_else(|| unknown_service(meta))?;
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
            .filter(|(_, announcement)| accepts_work(declarations, announcement));
        let zone = &self.settings.zone;
        self.pools
            .build(&meta.service, version.as_ref(), adapter, upstreams, zone)
            .ok_or_else(|| unknown_service(meta))
    }

    fn no_upstream(&self, meta: &RequestMeta) -> Failure {
        let detail = format!("no upstream in service offers {}", meta.service);
        Failure::new(ErrorKind::NoUpstream, detail)
    }

    /// Counts a request as in flight on the first of the shortlist and indexes its blocks there.
    fn reserve(
        &mut self,
        meta: &RequestMeta,
        shortlist: &[ScoredSlot],
        reason: Reason,
        credit: Option<CreditId>,
        now: Time,
    ) -> Decision {
        let chosen = shortlist[0];
        let candidates: Candidates = shortlist
            .iter()
            .take(INLINE_CANDIDATES)
            .filter_map(|scored| self.candidate(scored))
            .collect();
        let generation = self.directory.begin(chosen.slot, now);
        self.cache.add(chosen.slot, &meta.prefix);
        Decision {
            upstream: candidates[0].upstream.clone(),
            reason,
            credit,
            candidates,
            ticket: Ticket(Reservation {
                slot: chosen.slot,
                generation,
                expected_hit: chosen.hit,
            }),
        }
    }

    fn candidate(&self, scored: &ScoredSlot) -> Option<Candidate> {
        let slot = self.directory.slot(scored.slot)?;
        Some(Candidate {
            upstream: slot.announcement.upstream.clone(),
            score: scored.score,
            load: scored.load,
            allowance: scored.allowance,
            hit: scored.hit,
        })
    }

    fn reserved_slot(&mut self, reserved: Reservation) -> Option<&mut Slot> {
        self.directory
            .slot_mut(reserved.slot)
            .filter(|s| s.generation == reserved.generation)
    }

    fn record_success(
        &mut self,
        reserved: Reservation,
        meta: &RequestMeta,
        done: &Finished,
        now: Time,
    ) {
        let blocks = u32::try_from(meta.prefix.len()).unwrap_or(u32::MAX);
        let hit = done.cached.unwrap_or(reserved.expected_hit).min(blocks);
        if let Some(slot) = self.reserved_slot(reserved) {
            slot.health.record_success(now);
            slot.verify_hit(reserved.expected_hit, hit);
        }
        let first_token = done.first_token.unwrap_or(done.total);
        self.stats.entry(meta.service.clone()).or_default().observe(
            blocks - hit,
            done.tokens,
            first_token,
            done.total,
        );
    }

    fn record_cancelled(&mut self, reserved: Reservation) {
        if let Some(slot) = self.reserved_slot(reserved) {
            slot.health.record_neutral();
        }
    }

    fn record_refused(
        &mut self,
        reserved: Reservation,
        meta: &RequestMeta,
        report: Option<LoadReport>,
        now: Time,
    ) {
        self.discard_expected(reserved, meta);
        self.record_cancelled(reserved);
        if let Some(report) = report {
            self.directory.report(reserved.slot, &report, now);
        }
    }

    fn record_failed(&mut self, reserved: Reservation, meta: &RequestMeta, now: Time) {
        self.discard_expected(reserved, meta);
        let eject = self
            .reserved_slot(reserved)
            .is_some_and(|slot| slot.health.record_failure());
        if eject {
            self.eject(reserved.slot, now);
        }
    }

    /// Removes the blocks that the placement itself added to the cache index.
    fn discard_expected(&mut self, reserved: Reservation, meta: &RequestMeta) {
        let added = meta.prefix.get(reserved.expected_hit as usize..);
        self.cache.remove(reserved.slot, added.unwrap_or_default());
    }

    /// Ejects an upstream and returns `true`, unless too many in one of its pools are ejected.
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
        (ejected + 1) as f64 <= pool.len() as f64 * MAX_EJECTED_RATIO
    }
}

/// Returns whether an upstream accepts new work.
fn accepts_work(declarations: &Declarations, announcement: &Announcement) -> bool {
    !announcement.leaving && declarations.admits(&announcement.zone, &announcement.upstream)
}

fn unknown_service(meta: &RequestMeta) -> Failure {
    let detail = format!("there is no service {}", meta.service);
    Failure::new(ErrorKind::NotFound, detail)
}
