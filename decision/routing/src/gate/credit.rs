//! Leased credits, and the demand of entries that they are granted for.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{InstanceName, Priority, ServiceName, Time, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::share::Shares;

/// Time for which a credit holds its place.
const CREDIT_LEASE: Duration = Duration::from_millis(200);
/// Time for which a demand stands unless it is repeated.
const DEMAND_LEASE: Duration = Duration::from_secs(1);
/// Most demands kept of one entry.
const MAX_DEMANDS: usize = 32;
/// Most entries whose demand is kept.
const MAX_ENTRIES: usize = 1_024;

/// Identifier of a credit at the gate that granted it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CreditId(pub u64);

/// Requests of one workspace that wait in an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Service that they ask.
    pub service: ServiceName,
    /// Workspace on whose behalf they wait.
    pub workspace: WorkspaceName,
    /// Highest priority among them.
    pub priority: Priority,
    /// Time left until the first deadline among them.
    pub remaining: Duration,
    /// How many wait.
    pub count: u32,
}

/// All demands of one entry.
pub type EntryDemand = Vec<Demand>;

/// A credit granted to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Entry that may use it.
    pub entry: InstanceName,
    /// Identifier to send along with the request.
    pub credit: CreditId,
    /// Service that it was granted for.
    pub service: ServiceName,
    /// Time for which it holds its place, from when it was granted.
    pub lease: Duration,
}

/// Demand that a place is granted for.
#[derive(Clone, Debug)]
pub(super) struct Best {
    pub(super) entry: InstanceName,
    pub(super) service: ServiceName,
    pub(super) workspace: WorkspaceName,
    position: usize,
}

#[derive(Debug)]
struct Held {
    entry: InstanceName,
    service: ServiceName,
    until: Time,
}

#[derive(Debug)]
struct Pending {
    demand: Demand,
    deadline: Time,
    until: Time,
}

/// Credits out on lease and demands not yet met.
#[derive(Debug, Default)]
pub(super) struct Credits {
    held: BTreeMap<CreditId, Held>,
    pending: BTreeMap<InstanceName, Vec<Pending>>,
    next: u64,
}

impl Credits {
    /// Credits out on lease.
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.held.len()).unwrap_or(u32::MAX)
    }

    /// Credits out on lease for `service`.
    pub(super) fn held_for(&self, service: &ServiceName) -> u32 {
        let count = self.held.values().filter(|h| h.service == *service).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Withdraws all credits; demands stand.
    pub(super) fn clear(&mut self) {
        self.held.clear();
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
            .map(|d| Pending {
                deadline: now + d.remaining,
                until: now + DEMAND_LEASE,
                demand: d,
            })
            .collect();
        self.pending.insert(entry.clone(), pending);
    }

    /// Drops all that belongs to `entry`.
    pub(super) fn forget(&mut self, entry: &InstanceName) {
        self.pending.remove(entry);
        self.held.retain(|_, h| h.entry != *entry);
    }

    /// Takes a credit back.
    pub(super) fn take(&mut self, credit: CreditId) {
        self.held.remove(&credit);
    }

    /// Uses a credit up, unless it lapsed or belongs to another entry.
    pub(super) fn redeem(&mut self, credit: CreditId, entry: &InstanceName) {
        let owned = self.held.get(&credit).is_some_and(|h| h.entry == *entry);
        if owned {
            self.held.remove(&credit);
        }
    }

    /// Drops credits and demands whose lease has run out.
    pub(super) fn expire(&mut self, now: Time) {
        self.held.retain(|_, h| h.until > now);
        self.pending.retain(|_, list| {
            list.retain(|p| p.until > now && p.deadline > now && p.demand.count > 0);
            !list.is_empty()
        });
    }

    /// Withdraws the newest credits beyond `most`.
    pub(super) fn trim(&mut self, most: u32) {
        while self.len() > most {
            self.held.pop_last();
        }
    }

    /// Time of the next lease to run out.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        self.held.values().map(|h| h.until).min()
    }

    /// Picks the demand to serve next: priority, fair share, then deadline.
    pub(super) fn best<F>(&self, shares: &Shares, open: F) -> Option<Best>
    where
        F: Fn(&ServiceName) -> bool,
    {
        self.pending
            .iter()
            .flat_map(|(entry, list)| list.iter().enumerate().map(move |(i, p)| (entry, i, p)))
            .filter(|(_, _, p)| p.demand.count > 0 && open(&p.demand.service))
            .min_by_key(|(entry, _, p)| {
                let start = shares.start(&p.demand.workspace);
                (Reverse(p.demand.priority), start, p.deadline, *entry)
            })
            .map(|(entry, position, p)| Best {
                entry: entry.clone(),
                service: p.demand.service.clone(),
                workspace: p.demand.workspace.clone(),
                position,
            })
    }

    /// Leases a credit for the demand picked by [`Credits::best`].
    pub(super) fn grant(&mut self, best: &Best, now: Time) -> Grant {
        if let Some(list) = self.pending.get_mut(&best.entry) {
            list[best.position].demand.count -= 1;
        }
        self.next += 1;
        let credit = CreditId(self.next);
        let held = Held {
            entry: best.entry.clone(),
            service: best.service.clone(),
            until: now + CREDIT_LEASE,
        };
        self.held.insert(credit, held);
        Grant {
            entry: best.entry.clone(),
            credit,
            service: best.service.clone(),
            lease: CREDIT_LEASE,
        }
    }
}
