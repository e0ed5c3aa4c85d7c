//! Deployment-wide budget of the weights store, granted as leased shares.
//!
//! The store serves a fixed rate. A holder leases a share of it for a short
//! time; the shares of all unexpired leases never exceed the rate. Cold starts
//! have priority: while one waits for a share, rebalancing gets no lease and no
//! renewal, so its leases expire within `LEASE`. A token bucket per group limits
//! the bytes that rebalancing may move.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{GroupName, OrderId, Time};
use serde::{Deserialize, Serialize};

/// Duration of a lease.
pub const LEASE: Duration = Duration::from_secs(5);

/// Time before the expiry at which a holder stops; covers clock differences.
pub const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// Time for which a cold start that got less than it asked for blocks rebalancing.
const COLD_START_WAIT: Duration = Duration::from_secs(10);

/// Maximum number of leases, and of waiting cold starts.
const MAX_LEASES: usize = 1024;

/// Time in which the bucket of a group fills from empty.
const BUCKET_FILL_TIME: Duration = Duration::from_secs(3600);

/// Reason for loading weights.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// Loading of an upstream that holds no weights yet.
    #[display("cold start")]
    ColdStart,
    /// Switch to a better expert map.
    #[display("rebalance")]
    Rebalance,
}

/// Leased share of the store's rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Reason for the load.
    pub purpose: Purpose,
    /// Rate, bytes per second.
    pub rate: u64,
    /// Expiry.
    pub until: Time,
}

/// Request for a share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Identifier of the load; the same when the request is resent or renewed.
    pub id: OrderId,
    /// Reason for the load.
    pub purpose: Purpose,
    /// Requested rate, bytes per second.
    pub rate: u64,
}

/// Cost of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanCost {
    /// Identifier of the plan; the same when the command is resent.
    pub id: OrderId,
    /// Bytes that the plan moves.
    pub bytes: u64,
}

/// Token bucket of the bytes that rebalancing may move in one group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Bucket {
    hourly: u64,
    level: u64,
    at: Time,
    /// Identifier of the last plan charged, so that a resent command is not charged again.
    last: Option<OrderId>,
}

/// Leases and token buckets of the whole deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    rate: u64,
    leases: BTreeMap<OrderId, Lease>,
    waiting: BTreeMap<OrderId, Time>,
    buckets: BTreeMap<GroupName, Bucket>,
}

impl Budget {
    /// Sets the rate of the store, bytes per second.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    /// Rate of the store, bytes per second.
    pub fn rate(&self) -> u64 {
        self.rate
    }

    /// Sum of the unexpired shares, bytes per second.
    pub fn used(&self, now: Time) -> u64 {
        let leases = self.leases.values().filter(|l| l.until > now);
        leases.map(|l| l.rate).sum()
    }

    /// Grants or renews a lease; `None` if no rate is available.
    ///
    /// A renewal replaces the lease with the same identifier. The granted rate may
    /// be below the requested one.
    pub fn lease(&mut self, request: &LeaseRequest, now: Time) -> Option<Lease> {
        self.expire(now);
        let held = self.leases.get(&request.id).map_or(0, |l| l.rate);
        let free = self.rate.saturating_sub(self.used(now) - held);
        let blocked = request.purpose == Purpose::Rebalance && !self.waiting.is_empty();
        let rate = if blocked { 0 } else { request.rate.min(free) };
        self.update_waiting(request, rate, now);
        let renewal = self.leases.contains_key(&request.id);
        if rate == 0 || (!renewal && self.leases.len() >= MAX_LEASES) {
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

    /// Releases a lease before it expires.
    pub fn release(&mut self, id: &OrderId) {
        self.leases.remove(id);
        self.waiting.remove(id);
    }

    /// Removes expired leases, and cold starts whose waiting time has expired.
    pub fn expire(&mut self, now: Time) {
        self.leases.retain(|_, l| l.until > now);
        self.waiting.retain(|_, until| *until > now);
    }

    /// Bytes that rebalancing may move in `group` now, at `hourly` bytes per hour.
    pub fn allowance(&self, group: &GroupName, hourly: u64, now: Time) -> u64 {
        let filled = |bucket: &Bucket| bucket.level_at(hourly, now);
        self.buckets.get(group).map_or(hourly, filled)
    }

    /// Charges a plan to the bucket of `group`; false if the bucket holds too little.
    ///
    /// A plan with the identifier of the last one was charged already.
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

    fn update_waiting(&mut self, request: &LeaseRequest, rate: u64, now: Time) {
        if request.purpose != Purpose::ColdStart {
            return;
        }
        if rate >= request.rate.min(self.rate) {
            self.waiting.remove(&request.id);
        } else if self.waiting.len() < MAX_LEASES || self.waiting.contains_key(&request.id) {
            self.waiting
                .insert(request.id.clone(), now + COLD_START_WAIT);
        }
    }
}

impl Bucket {
    /// Bytes in the bucket at `now` if it fills at `hourly` bytes per hour.
    fn level_at(&self, hourly: u64, now: Time) -> u64 {
        let elapsed = now.since(self.at).as_micros();
        let gained = u128::from(hourly) * elapsed / BUCKET_FILL_TIME.as_micros();
        let level = u128::from(self.level) + gained;
        u64::try_from(level).unwrap_or(u64::MAX).min(hourly)
    }
}
