//! Sampling and scoring of the candidates of one decision.

use pimentotide_model::{RequestMeta, Time, UpstreamName};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::PlacerSettings;
use super::decision::Reason;
use super::directory::Directory;
use super::pool::Pool;
use super::prefix::CacheIndex;
use super::score::{ScoreInput, ServiceStats, score};

/// Largest number of holders of the prefix that are scored.
const MAX_HOLDERS: usize = 3;
/// Additional weight of own requests above the mean: entries that each spread
/// their own requests evenly also spread the total evenly.
const OWN_EXCESS_WEIGHT: f64 = 4.0;
/// Largest bias against an upstream, as a share of the answer time.
const MAX_BIAS: f64 = 0.05;
/// Further draws when none of the first candidates has room.
const EXTRA_DRAWS: usize = 12;
/// Largest number of agents asked for credits at once.
const MAX_CREDIT_SOURCES: usize = 12;

/// Scored candidate by slot number; names are copied only for the decision.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoredSlot {
    pub(super) slot: u32,
    pub(super) score: f64,
    pub(super) load: f64,
    pub(super) allowance: u32,
    /// Leading blocks of the prompt expected in its cache.
    pub(super) hit: u32,
}

/// Scored candidates with room, best first.
pub(super) type Shortlist = SmallVec<[ScoredSlot; 16]>;

/// Inputs of one decision.
pub(super) struct Selection<'a> {
    pub(super) directory: &'a Directory,
    pub(super) cache: &'a CacheIndex,
    pub(super) settings: &'a PlacerSettings,
    pub(super) pool: &'a Pool,
    pub(super) stats: ServiceStats,
    pub(super) meta: &'a RequestMeta,
    pub(super) tried: &'a [UpstreamName],
    pub(super) now: Time,
}

impl Selection<'_> {
    /// Scores candidates and returns those with room, best first.
    pub(super) fn shortlist<R>(&self, rng: &mut R) -> Shortlist
    where
        R: Rng,
    {
        let mut list = Shortlist::new();
        self.add_holders(&mut list, rng);
        let choices = self.settings.choices;
        if self.pool.len() <= choices * 2 {
            self.add_all(&mut list);
        } else {
            self.add_draws(&mut list, choices, rng);
        }
        if list.is_empty() {
            self.add_more(&mut list, rng);
        }
        list.sort_unstable_by(|a, b| a.score.total_cmp(&b.score));
        list
    }

    fn add_holders<R>(&self, list: &mut Shortlist, rng: &mut R)
    where
        R: Rng,
    {
        let holders = self.cache.best_holders(&self.meta.prefix);
        if holders.is_empty() {
            return;
        }
        let first = rng.random_range(0..holders.len());
        for step in 0..holders.len().min(MAX_HOLDERS) {
            let slot = holders[(first + step) % holders.len()];
            if self.pool.contains(slot) {
                self.add(list, slot, self.penalty_of(slot));
            }
        }
    }

    fn add_all(&self, list: &mut Shortlist) {
        for index in 0..self.pool.len() {
            if let Some((slot, penalty)) = self.pool.nth(index) {
                self.add(list, slot, penalty);
            }
        }
    }

    fn add_draws<R>(&self, list: &mut Shortlist, choices: usize, rng: &mut R)
    where
        R: Rng,
    {
        for index in 0..choices {
            let drawn = if index % 2 == 0 {
                self.pool.draw_near(rng)
            } else {
                self.pool.draw(rng)
            };
            if let Some((slot, penalty)) = drawn {
                self.add(list, slot, penalty);
            }
        }
    }

    /// Draws further candidates when none of the first has room.
    fn add_more<R>(&self, list: &mut Shortlist, rng: &mut R)
    where
        R: Rng,
    {
        if self.pool.len() <= EXTRA_DRAWS {
            self.add_all(list);
            return;
        }
        for _ in 0..EXTRA_DRAWS {
            if let Some((slot, penalty)) = self.pool.draw(rng) {
                self.add(list, slot, penalty);
            }
        }
    }

    fn add(&self, list: &mut Shortlist, slot: u32, penalty: f64) {
        if list.iter().any(|c| c.slot == slot) {
            return;
        }
        let Some(candidate) = self.evaluate(slot, penalty) else {
            return;
        };
        if self.has_room(&candidate) {
            list.push(candidate);
        }
    }

    fn has_room(&self, candidate: &ScoredSlot) -> bool {
        let Some(slot) = self.directory.slot(candidate.slot) else {
            return false;
        };
        let refused = self.tried.contains(&slot.announcement.upstream);
        let room = candidate.load + 1.0 <= f64::from(candidate.allowance);
        room && !refused && slot.health.admits(self.now)
    }

    /// Scores the upstream in slot number `index`, even if it has no room.
    pub(super) fn evaluate(&self, index: u32, penalty: f64) -> Option<ScoredSlot> {
        let slot = self.directory.slot(index)?;
        let mean = self.directory.mean_load(slot, self.pool.is_zonal());
        let load = slot.load(mean, self.stats.turnover(), self.now);
        let hit = self.cache.hit(index, &self.meta.prefix);
        let group_gap = self.directory.group_gap(slot);
        let input = ScoreInput {
            load: (load + OWN_EXCESS_WEIGHT * slot.own_excess(mean)).max(0.0),
            allowance: f64::from(slot.allowance()),
            uncached: self.meta.prefix.len() as f64 - f64::from(hit) * slot.hit_confidence,
            token_gap: slot.report.token_gap.max(group_gap) as f64,
            penalty: penalty + self.bias(index),
        };
        Some(ScoredSlot {
            slot: index,
            score: score(slot, &input, &self.stats),
            load,
            allowance: slot.allowance(),
            hit,
        })
    }

    /// Returns the bias of this entry against an upstream, as a share of the answer time.
    ///
    /// Without zone preferences, entries are biased towards different upstreams.
    /// Fewer entries then share each upstream, and an entry's own requests are a
    /// larger part of its load.
    fn bias(&self, index: u32) -> f64 {
        if self.pool.is_zonal() {
            return 0.0;
        }
        let mixed =
            (self.settings.bias_seed ^ u64::from(index)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        MAX_BIAS * (mixed >> 32) as f64 / f64::from(u32::MAX)
    }

    fn penalty_of(&self, index: u32) -> f64 {
        let Some(slot) = self.directory.slot(index) else {
            return 0.0;
        };
        self.pool.penalty(&slot.announcement.zone)
    }

    /// Returns the reason why the first of the shortlist was chosen.
    pub(super) fn reason(&self, shortlist: &[ScoredSlot]) -> Reason {
        let [first, rest @ ..] = shortlist else {
            return Reason::Only;
        };
        if rest.is_empty() {
            return Reason::Only;
        }
        let longest_hit = rest.iter().all(|c| c.hit < first.hit);
        if longest_hit {
            Reason::Prefix
        } else {
            Reason::Load
        }
    }

    /// Returns upstreams spread over the pool whose agents to ask for credits.
    pub(super) fn credit_sources<R>(&self, rng: &mut R) -> SmallVec<[UpstreamName; 8]>
    where
        R: Rng,
    {
        let total = self.pool.len();
        let count = total.min(MAX_CREDIT_SOURCES);
        let first = rng.random_range(0..total);
        let step = (total / count).max(1);
        (0..count)
            .filter_map(|i| self.pool.nth((first + i * step) % total))
            .filter_map(|(slot, _)| self.directory.slot(slot))
            .filter(|slot| slot.health.admits(self.now))
            .map(|slot| slot.announcement.upstream.clone())
            .collect()
    }
}
