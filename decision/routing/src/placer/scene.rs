//! Candidates of one decision, and what is weighed about each.

use pimentotide_model::{RequestMeta, Time, UpstreamName};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::PlacerSettings;
use super::decision::Reason;
use super::directory::Directory;
use super::pool::Pool;
use super::prefix::Beliefs;
use super::score::{Learned, View, score};

/// Holders of the prefix that are weighed.
const HOLDER_CHOICES: usize = 3;
/// Further weight of own requests beyond the usual number: entries that each
/// spread their own requests evenly spread them evenly together.
const OWN_WEIGHT: f64 = 4.0;
/// Largest lean away from an upstream, as part of the answer time.
const LEAN: f64 = 0.05;
/// Draws made when none of the first candidates has room.
const EXTRA_DRAWS: usize = 12;
/// Most agents asked for credits.
const MAX_ASKED: usize = 12;

/// Candidate under consideration, before names are copied.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weighed {
    pub(super) slot: u32,
    pub(super) score: f64,
    pub(super) load: f64,
    pub(super) allowance: u32,
    pub(super) hit: u32,
}

/// Candidates with room, best first.
pub(super) type Shortlist = SmallVec<[Weighed; 16]>;

/// One decision in the making.
pub(super) struct Scene<'a> {
    pub(super) directory: &'a Directory,
    pub(super) beliefs: &'a Beliefs,
    pub(super) settings: &'a PlacerSettings,
    pub(super) pool: &'a Pool,
    pub(super) learned: Learned,
    pub(super) meta: &'a RequestMeta,
    pub(super) tried: &'a [UpstreamName],
    pub(super) now: Time,
}

impl Scene<'_> {
    /// Weighs candidates and returns those with room, best first.
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
        let holders = self.beliefs.best_holders(&self.meta.prefix);
        if holders.is_empty() {
            return;
        }
        let first = rng.random_range(0..holders.len());
        for step in 0..holders.len().min(HOLDER_CHOICES) {
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

    /// Looks further when none of the first candidates has room.
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
        if list.iter().any(|w| w.slot == slot) {
            return;
        }
        let Some(weighed) = self.weigh(slot, penalty) else {
            return;
        };
        if self.has_room(&weighed) {
            list.push(weighed);
        }
    }

    fn has_room(&self, weighed: &Weighed) -> bool {
        let Some(slot) = self.directory.slot(weighed.slot) else {
            return false;
        };
        let refused = self.tried.contains(&slot.announcement.upstream);
        let room = weighed.load + 1.0 <= f64::from(weighed.allowance);
        room && !refused && slot.health.admits(self.now)
    }

    pub(super) fn weigh(&self, index: u32, penalty: f64) -> Option<Weighed> {
        let slot = self.directory.slot(index)?;
        let mean = self.directory.mean(slot, self.pool.is_zonal());
        let load = slot.load(mean, self.learned.turnover(), self.now);
        let hit = self.beliefs.hit(index, &self.meta.prefix);
        let group = self.directory.group_gap(slot);
        let view = View {
            load: (load + OWN_WEIGHT * slot.own_excess(mean)).max(0.0),
            allowance: f64::from(slot.allowance()),
            missing: self.meta.prefix.len() as f64 - f64::from(hit) * slot.trust,
            gap: slot.report.token_gap.max(group) as f64,
            penalty: penalty + self.lean(index),
        };
        Some(Weighed {
            slot: index,
            score: score(slot, &view, &self.learned),
            load,
            allowance: slot.allowance(),
            hit,
        })
    }

    /// Part of the answer time by which this entry leans away from an upstream.
    ///
    /// Entries without a zone to prefer lean towards different upstreams, so
    /// that fewer entries share each and own requests tell more of its load.
    fn lean(&self, index: u32) -> f64 {
        if self.pool.is_zonal() {
            return 0.0;
        }
        let mixed =
            (self.settings.bias_seed ^ u64::from(index)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        LEAN * (mixed >> 32) as f64 / f64::from(u32::MAX)
    }

    fn penalty_of(&self, index: u32) -> f64 {
        let Some(slot) = self.directory.slot(index) else {
            return 0.0;
        };
        self.pool.penalty(&slot.announcement.zone)
    }

    /// Why the first of the shortlist is first.
    pub(super) fn reason(&self, shortlist: &[Weighed]) -> Reason {
        let [first, rest @ ..] = shortlist else {
            return Reason::Only;
        };
        if rest.is_empty() {
            return Reason::Only;
        }
        let longest = rest.iter().all(|w| w.hit < first.hit);
        if longest {
            Reason::Prefix
        } else {
            Reason::Load
        }
    }

    /// Names the agents to ask for credits.
    pub(super) fn to_ask<R>(&self, rng: &mut R) -> SmallVec<[UpstreamName; 8]>
    where
        R: Rng,
    {
        let total = self.pool.len();
        let count = total.min(MAX_ASKED);
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
