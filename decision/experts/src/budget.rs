//! One budget of the weights store for the whole deployment, in leased shares.
//!
//! The store serves a fixed rate. A holder leases a share of it for a short
//! time; the shares of all leases in force never exceed the rate. Cold starts
//! go first: while one waits for a share, rebalancing gets no new lease, and
//! the leases that it holds run out soon. Each group also has a bucket of bytes
//! that rebalancing may move.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{GroupName, OrderId, Time};
use serde::{Deserialize, Serialize};

/// Length of a lease.
pub const LEASE: Duration = Duration::from_secs(5);

/// Time by which a holder stops before its lease ends, for differing clocks.
pub const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// Time for which a cold start that got too little holds rebalancing back.
const WAIT: Duration = Duration::from_secs(10);

/// Leases and waiting cold starts kept at most.
const MAX_LEASES: usize = 1024;

/// Time over which the bucket of a group fills.
const BUCKET_FILL: Duration = Duration::from_secs(3600);

/// What weights are loaded for.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// An upstream that holds nothing yet.
    #[display("cold start")]
    ColdStart,
    /// A better expert map.
    #[display("rebalance")]
    Rebalance,
}

/// Share of the store's rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// What the weights are for.
    pub purpose: Purpose,
    /// Rate, bytes in a second.
    pub rate: u64,
    /// When the share is free again.
    pub until: Time,
}

/// Request for a share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Load that the share is for; the same when the request is resent or renewed.
    pub id: OrderId,
    /// What the weights are for.
    pub purpose: Purpose,
    /// Rate asked for, bytes in a second.
    pub rate: u64,
}

/// Bytes that one plan moves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanCost {
    /// Identifier of the plan, the same when the command is resent.
    pub id: OrderId,
    /// Bytes.
    pub bytes: u64,
}

/// Bytes that rebalancing may still move in one group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Bucket {
    hourly: u64,
    level: u64,
    at: Time,
    /// What was paid for last, so that a resent command takes nothing more.
    last: Option<OrderId>,
}

/// Shares and buckets of the whole deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    rate: u64,
    leases: BTreeMap<OrderId, Lease>,
    waiting: BTreeMap<OrderId, Time>,
    buckets: BTreeMap<GroupName, Bucket>,
}

impl Budget {
    /// Sets the rate of the store, bytes in a second.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    /// Rate of the store, bytes in a second.
    pub fn rate(&self) -> u64 {
        self.rate
    }

    /// Sum of the shares in force.
    pub fn used(&self, now: Time) -> u64 {
        let leases = self.leases.values().filter(|l| l.until > now);
        leases.map(|l| l.rate).sum()
    }

    /// Leases a share, or renews one; none if there is nothing to give.
    ///
    /// A renewal replaces the share held under the same identifier.
    pub fn lease(&mut self, request: &LeaseRequest, now: Time) -> Option<Lease> {
        self.expire(now);
        let held = self.leases.get(&request.id).map_or(0, |l| l.rate);
        let free = self.rate.saturating_sub(self.used(now) - held);
        let blocked = request.purpose == Purpose::Rebalance && !self.waiting.is_empty();
        let rate = if blocked { 0 } else { request.rate.min(free) };
        self.note_waiting(request, rate, now);
        let known = self.leases.contains_key(&request.id);
        if rate == 0 || (!known && self.leases.len() >= MAX_LEASES) {
            return None;
        }
        let lease = Lease {
            purpose: request.purpose,
            rate,
            until: now + LEASE,
        };
        self.leases.insert(request.id.clone(), lease.clone());
        Some(lease)
    }

    /// Frees a share before it runs out.
    pub fn release(&mut self, id: &OrderId) {
        self.leases.remove(id);
        self.waiting.remove(id);
    }

    /// Drops leases and waits that have run out.
    pub fn expire(&mut self, now: Time) {
        self.leases.retain(|_, l| l.until > now);
        self.waiting.retain(|_, until| *until > now);
    }

    /// Bytes that rebalancing may move in `group` now, at `hourly` bytes an hour.
    pub fn allowance(&self, group: &GroupName, hourly: u64, now: Time) -> u64 {
        let filled = |bucket: &Bucket| bucket.level_at(hourly, now);
        self.buckets.get(group).map_or(hourly, filled)
    }

    /// Pays for a plan out of the bucket of `group`; false if it holds too little.
    ///
    /// A plan under the same identifier as the last one is paid for already.
    pub fn spend(&mut self, group: &GroupName, hourly: u64, plan: &PlanCost, now: Time) -> bool {
        let last = self.buckets.get(group).and_then(|b| b.last.as_ref());
        if last == Some(&plan.id) {
            return true;
        }
        let level = self.allowance(group, hourly, now);
        if plan.bytes > level {
            return false;
        }
        let bucket = Bucket {
            hourly,
            level: level - plan.bytes,
            at: now,
            last: Some(plan.id.clone()),
        };
        self.buckets.insert(group.clone(), bucket);
        true
    }

    fn note_waiting(&mut self, request: &LeaseRequest, rate: u64, now: Time) {
        if request.purpose != Purpose::ColdStart {
            return;
        }
        if rate >= request.rate.min(self.rate) {
            self.waiting.remove(&request.id);
        } else if self.waiting.len() < MAX_LEASES || self.waiting.contains_key(&request.id) {
            self.waiting.insert(request.id.clone(), now + WAIT);
        }
    }
}

impl Bucket {
    /// Bytes in the bucket at `now` if it fills at `hourly` bytes an hour.
    fn level_at(&self, hourly: u64, now: Time) -> u64 {
        let elapsed = now.since(self.at).as_micros();
        let gained = u128::from(hourly) * elapsed / BUCKET_FILL.as_micros();
        let level = u128::from(self.level) + gained;
        u64::try_from(level).unwrap_or(u64::MAX).min(hourly)
    }
}
