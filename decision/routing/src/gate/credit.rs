//! Credits leased to entries, and the demands for which they are granted.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{InstanceName, Priority, ServiceName, Time, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::share::Shares;

/// Time for which a credit reserves its slot.
const CREDIT_LEASE: Duration = Duration::from_millis(200);
/// Time after which a demand expires unless it is repeated.
const DEMAND_LEASE: Duration = Duration::from_secs(1);
/// Largest number of demands kept per entry.
const MAX_DEMANDS: usize = 32;
/// Largest number of entries whose demands are kept.
const MAX_ENTRIES: usize = 1_024;

/// Identifier of a credit, unique at the gate that granted it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CreditId(pub u64);

/// Requests of one workspace that are queued in an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Service that they request.
    pub service: ServiceName,
    /// Workspace on whose behalf they wait.
    pub workspace: WorkspaceName,
    /// Highest priority among them.
    pub priority: Priority,
    /// Time left until the first deadline among them.
    pub remaining: Duration,
    /// Number of queued requests.
    pub count: u32,
}

/// All demands of one entry, one per service, workspace and priority.
pub type EntryDemand = Vec<Demand>;

/// A credit granted to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Entry that may use it.
    pub entry: InstanceName,
    /// Identifier to send with the request.
    pub credit: CreditId,
    /// Service that it was granted for.
    pub service: ServiceName,
    /// Time for which it reserves its slot, from the grant.
    pub lease: Duration,
}

/// Demand selected for the next free slot.
#[derive(Clone, Debug)]
pub(super) struct SelectedDemand {
    pub(super) entry: InstanceName,
    pub(super) service: ServiceName,
    pub(super) workspace: WorkspaceName,
    /// Index in the entry's list of pending demands.
    position: usize,
}

#[derive(Debug)]
struct LeasedCredit {
    entry: InstanceName,
    service: ServiceName,
    expires_at: Time,
}

#[derive(Debug)]
struct PendingDemand {
    demand: Demand,
    deadline: Time,
    expires_at: Time,
}

/// Leased credits and unmet demands.
#[derive(Debug, Default)]
pub(super) struct Credits {
    leased: BTreeMap<CreditId, LeasedCredit>,
    pending: BTreeMap<InstanceName, Vec<PendingDemand>>,
    next_id: u64,
}

impl Credits {
    /// Returns the number of leased credits.
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.leased.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of credits leased for `service`.
    pub(super) fn leased_for(&self, service: &ServiceName) -> u32 {
        let count = self
            .leased
            .values()
            .filter(|c| c.service == *service)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Revokes all credits; demands remain.
    pub(super) fn clear(&mut self) {
        self.leased.clear();
    }

    /// Replaces the demand of `entry`.
    pub(super) fn demand(&mut self, entry: &InstanceName, demand: Vec<Demand>, now: Time) {
        self.pending.remove(entry);
        if demand.is_empty() || self.pending.len() >= MAX_ENTRIES {
            return;
        }
        let pending = demand
            .into_iter()
            .take(MAX_DEMANDS)
            .map(|d| PendingDemand {
                deadline: now + d.remaining,
                expires_at: now + DEMAND_LEASE,
                demand: d,
            })
            .collect();
        self.pending.insert(entry.clone(), pending);
    }

    /// Removes the credits and demands of `entry`.
    pub(super) fn remove_entry(&mut self, entry: &InstanceName) {
        self.pending.remove(entry);
        self.leased.retain(|_, c| c.entry != *entry);
    }

    /// Removes a credit that its entry returned.
    pub(super) fn remove(&mut self, credit: CreditId) {
        self.leased.remove(&credit);
    }

    /// Redeems a credit, unless it expired or belongs to another entry.
    pub(super) fn redeem(&mut self, credit: CreditId, entry: &InstanceName) {
        let owned = self.leased.get(&credit).is_some_and(|c| c.entry == *entry);
        if owned {
            self.leased.remove(&credit);
        }
    }

    /// Removes expired credits and demands.
    pub(super) fn expire(&mut self, now: Time) {
        self.leased.retain(|_, c| c.expires_at > now);
        self.pending.retain(|_, list| {
            list.retain(|p| p.expires_at > now && p.deadline > now && p.demand.count > 0);
            !list.is_empty()
        });
    }

    /// Revokes the newest credits beyond `max`.
    pub(super) fn trim(&mut self, max: u32) {
        while self.len() > max {
            self.leased.pop_last();
        }
    }

    /// Returns the earliest expiry of a credit.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        self.leased.values().map(|c| c.expires_at).min()
    }

    /// Selects the next demand to serve: by priority, fair share, then deadline.
    pub(super) fn select<F>(&self, shares: &Shares, admissible: F) -> Option<SelectedDemand>
    where
        F: Fn(&ServiceName) -> bool,
    {
        self.pending
            .iter()
            .flat_map(|(entry, list)| list.iter().enumerate().map(move |(i, p)| (entry, i, p)))
            .filter(|(_, _, p)| p.demand.count > 0 && admissible(&p.demand.service))
            .min_by_key(|(entry, _, p)| {
                let start = shares.start(&p.demand.workspace);
                (Reverse(p.demand.priority), start, p.deadline, *entry)
            })
            .map(|(entry, position, p)| SelectedDemand {
                entry: entry.clone(),
                service: p.demand.service.clone(),
                workspace: p.demand.workspace.clone(),
                position,
            })
    }

    /// Leases a credit for the demand selected by [`Credits::select`].
    pub(super) fn grant(&mut self, selected: &SelectedDemand, now: Time) -> Grant {
        if let Some(list) = self.pending.get_mut(&selected.entry) {
            list[selected.position].demand.count -= 1;
        }
        self.next_id += 1;
        let credit = CreditId(self.next_id);
        let leased = LeasedCredit {
            entry: selected.entry.clone(),
            service: selected.service.clone(),
            expires_at: now + CREDIT_LEASE,
        };
        self.leased.insert(credit, leased);
        Grant {
            entry: selected.entry.clone(),
            credit,
            service: selected.service.clone(),
            lease: CREDIT_LEASE,
        }
    }
}
