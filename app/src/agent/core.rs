//! State of an agent, shared by its handlers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pimentotide_instance::work::{
    BlockEvent, DemandAnswer, DemandOrder, HeldClaim, UpdateRequest, UpstreamUpdate, WorkOrder,
};
use pimentotide_instance::{Clock, Token, View};
use pimentotide_model::{
    Announcement, ErrorKind, Failure, Fence, Fingerprint, Incarnation, InstanceName, LoadReport,
    RequestId, Revision, Time, Warmth,
};
use pimentotide_observe::Metrics;
use pimentotide_outcome::{Conclusion, Finding, LedgerEpoch, Liveness};
use pimentotide_routing::{Completed, GatePolicy, Grant, Permit as GatePermit};
use pimentotide_upstream::{CacheChange, CacheEvent, EngineState};
use rand::RngExt;
use tokio::sync::{Notify, watch};

use super::AgentOptions;
use super::permit::Permit;
use super::slot::{AdmitOutcome, Slot, already_running};

/// Maximum time that a demand request waits for a grant.
const GRANT_WAIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of entries with a mailbox.
const MAX_MAILBOXES: usize = 1024;

/// Shared state of one agent.
pub(super) struct Core {
    options: AgentOptions,
    clock: Clock,
    epoch: LedgerEpoch,
    /// Latest announcement of the upstream, for crash detection.
    liveness: watch::Sender<Liveness>,
    /// Number of announcements that show progress of the upstream.
    activity: watch::Sender<u64>,
    announce: watch::Sender<Option<Announcement>>,
    warmth: watch::Sender<Warmth>,
    /// Highest revision received with a work order.
    highest_revision: watch::Sender<Revision>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
pub(super) struct Inner {
    address: Option<SocketAddr>,
    pub(super) slot: Option<Slot>,
    pub(super) running: BTreeMap<RequestId, RunningWork>,
    mailboxes: BTreeMap<InstanceName, Mailbox>,
    draining: bool,
}

/// A request that has been forwarded to the upstream.
pub(super) struct RunningWork {
    cancel: Arc<Notify>,
    pub(super) fingerprint: Fingerprint,
}

/// Grants that one entry has not collected yet.
#[derive(Default)]
struct Mailbox {
    grants: Vec<Grant>,
    ready: Arc<Notify>,
}

impl Core {
    pub(super) fn new(options: AgentOptions) -> Self {
        let announce = watch::Sender::new(None);
        Self {
            options,
            clock: Clock::start(),
            epoch: LedgerEpoch(rand::rng().random()),
            liveness: watch::Sender::default(),
            activity: watch::Sender::new(0),
            warmth: watch::Sender::new(Warmth::Cold),
            highest_revision: watch::Sender::new(Revision::default()),
            announce,
            inner: Mutex::default(),
        }
    }

    pub(super) fn options(&self) -> &AgentOptions {
        &self.options
    }

    /// Subscribes to the liveness of the upstream.
    pub(super) fn liveness(&self) -> watch::Receiver<Liveness> {
        self.liveness.subscribe()
    }

    /// Subscribes to the announcements that show progress of the upstream.
    pub(super) fn activity(&self) -> watch::Receiver<u64> {
        self.activity.subscribe()
    }

    pub(super) fn token(&self) -> &Token {
        &self.options.token
    }

    pub(super) fn metrics(&self) -> &Metrics {
        &self.options.metrics
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(super) fn announcements(&self) -> watch::Receiver<Option<Announcement>> {
        self.announce.subscribe()
    }

    pub(super) fn warmth(&self) -> watch::Receiver<Warmth> {
        self.warmth.subscribe()
    }

    pub(super) fn highest_revision(&self) -> watch::Receiver<Revision> {
        self.highest_revision.subscribe()
    }

    /// Also accepts orders for `incarnation`, under which the directory lists the upstream.
    pub(super) fn set_alias(&self, incarnation: Incarnation) {
        if let Some(slot) = &mut self.lock().slot {
            slot.alias = incarnation;
        }
    }

    pub(super) fn views(&self) -> watch::Receiver<View> {
        self.options.view.clone()
    }

    pub(super) fn set_address(&self, address: SocketAddr) {
        self.lock().address = Some(address);
    }

    pub(super) fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Refuses all new work and announces the drain.
    pub(super) fn drain(&self) {
        let mut inner = self.lock();
        inner.draining = true;
        if let Some(slot) = &mut inner.slot {
            slot.gate.drain();
        }
        drop(inner);
        self.publish();
    }

    /// Applies an announcement of the upstream.
    pub(super) fn update_engine(&self, state: EngineState) {
        let now = self.now();
        let mut inner = self.lock();
        let draining = inner.draining;
        self.liveness
            .send_modify(|l| l.record_announcement(Incarnation(state.started)));
        let before = inner.slot.as_ref().and_then(|slot| slot.engine.progress);
        // Without a progress counter, each announcement counts as progress.
        if state.progress.is_none() || state.progress != before {
            self.activity.send_modify(|count| *count += 1);
        }
        match &mut inner.slot {
            Some(slot) => slot.update(state, now),
            none => {
                let mut slot = self.open_slot(state, now);
                if draining {
                    slot.gate.drain();
                }
                *none = Some(slot);
            }
        }
        drop(inner);
        self.refresh();
    }

    /// Applies the latest configuration and lease to the gate.
    pub(super) fn refresh(&self) {
        let view = self.options.view.borrow().clone();
        let now = self.now();
        let mut inner = self.lock();
        let Some(slot) = &mut inner.slot else {
            return;
        };
        if view.current {
            slot.gate
                .renew(view.expiry.map_or(Time::MAX, |e| self.clock.at(e)));
        }
        let mut grants = Vec::new();
        if slot.revision < view.declarations.revision {
            let announcement = self.announcement_of(&slot.engine, SocketAddr::from(([0; 4], 0)));
            let policy = GatePolicy::of(&view.declarations, &announcement);
            slot.revision = policy.revision;
            grants = slot.gate.set_policy(policy, slot.engine.capacity, now);
        }
        inner.deliver(grants);
        drop(inner);
        self.publish();
    }

    /// Expires credits, grants free slots and publishes the warmth.
    pub(super) fn tick(&self) {
        let now = self.now();
        let mut inner = self.lock();
        let grants = inner
            .slot
            .as_mut()
            .map(|s| s.gate.tick(now))
            .unwrap_or_default();
        inner.deliver(grants);
        if let Some(slot) = &mut inner.slot {
            let warmth = slot.gate.report().warmth;
            self.warmth
                .send_if_modified(|current| std::mem::replace(current, warmth) != warmth);
        }
    }

    /// Admits, refuses or replays a request.
    pub(super) fn admit(self: &Arc<Self>, order: &WorkOrder) -> AdmitOutcome {
        let now = self.now();
        self.highest_revision.send_if_modified(|highest| {
            let newer = order.revision > *highest;
            *highest = order.revision.max(*highest);
            newer
        });
        let mut inner = self.lock();
        if inner.running.contains_key(&order.id) {
            return AdmitOutcome::Failed(already_running());
        }
        let Some(slot) = inner.slot.as_mut() else {
            let detail = "the upstream has not announced itself";
            return AdmitOutcome::Refused(Failure::new(ErrorKind::NoUpstream, detail));
        };
        if let Some(outcome) = slot.begin_claim(order, now) {
            return outcome;
        }
        let permit = match slot.admit(order, now) {
            Ok(permit) => permit,
            Err(failure) => {
                slot.finish_claim(order, Conclusion::Refused, now);
                return AdmitOutcome::Refused(failure);
            }
        };
        let engine = slot.engine.address;
        let cancel = Arc::new(Notify::new());
        let work = RunningWork {
            cancel: Arc::clone(&cancel),
            fingerprint: order.fingerprint,
        };
        inner.running.insert(order.id, work);
        AdmitOutcome::Admitted(Permit::new(
            Arc::clone(self),
            order.id,
            permit,
            engine,
            cancel,
        ))
    }

    /// Records the conclusion of a claimed request.
    pub(super) fn finish_claim(&self, order: &WorkOrder, conclusion: Conclusion) {
        let now = self.now();
        if let Some(slot) = &mut self.lock().slot {
            slot.finish_claim(order, conclusion, now);
        }
    }

    /// Returns the state of a claim; one that has not arrived yet is rejected if it arrives later.
    pub(super) fn inquire(&self, held: &HeldClaim) -> Option<Finding> {
        let now = self.now();
        let mut inner = self.lock();
        let slot = inner.slot.as_mut()?;
        Some(slot.ledger.inquire(held.claim, &held.place, now))
    }

    /// Records the first token of an admitted request.
    pub(super) fn first_token(&self, permit: &GatePermit) {
        let now = self.now();
        if let Some(slot) = &mut self.lock().slot {
            slot.gate.first_token(permit, now);
        }
    }

    /// Frees the slot of an admitted request.
    pub(super) fn complete(&self, id: RequestId, permit: GatePermit, done: Completed) {
        let now = self.now();
        let mut inner = self.lock();
        inner.running.remove(&id);
        let Some(slot) = &mut inner.slot else {
            return;
        };
        let grants = slot.gate.complete(permit, done, now);
        inner.deliver(grants);
    }

    /// Cancels a running request on behalf of its entry.
    pub(super) fn cancel(&self, id: RequestId) {
        if let Some(work) = self.lock().running.get(&id) {
            work.cancel.notify_one();
        }
    }

    /// Applies an entry's demand and waits for credits.
    pub(super) async fn demand(&self, order: DemandOrder) -> DemandAnswer {
        let entry = order.entry.clone();
        let waits = !order.demand.is_empty();
        let Some(ready) = self.apply_demand(order) else {
            return DemandAnswer::default();
        };
        if waits {
            // After a timeout the entry sends its demand again.
            let _ = tokio::time::timeout(GRANT_WAIT_TIMEOUT, ready.notified()).await;
        }
        let mut inner = self.lock();
        let grants = inner
            .mailboxes
            .get_mut(&entry)
            .map(|m| std::mem::take(&mut m.grants));
        DemandAnswer {
            grants: grants.unwrap_or_default(),
        }
    }

    /// Returns the load report and the cache events that the entry lacks.
    pub(super) fn upstream_update(&self, order: &UpdateRequest) -> Option<UpstreamUpdate> {
        let mut inner = self.lock();
        let slot = inner.slot.as_mut()?;
        let same_incarnation = order.incarnation == Incarnation(slot.engine.started);
        let since = if same_incarnation { order.sequence } else { 0 };
        let events = slot
            .events
            .iter()
            .filter(|e| e.sequence > since)
            .map(block_event)
            .collect();
        Some(UpstreamUpdate {
            epoch: slot.ledger.epoch(),
            report: slot.gate.report(),
            events,
        })
    }

    /// Load of the upstream as counted by the gate; default before its first announcement.
    pub(super) fn report(&self) -> LoadReport {
        let mut inner = self.lock();
        inner
            .slot
            .as_mut()
            .map(|s| s.gate.report())
            .unwrap_or_default()
    }

    fn apply_demand(&self, order: DemandOrder) -> Option<Arc<Notify>> {
        let now = self.now();
        let mut inner = self.lock();
        if !inner.mailboxes.contains_key(&order.entry) {
            if inner.mailboxes.len() >= MAX_MAILBOXES {
                inner.mailboxes.pop_first();
            }
            inner
                .mailboxes
                .insert(order.entry.clone(), Mailbox::default());
        }
        let slot = inner.slot.as_mut()?;
        let mut grants = Vec::new();
        for credit in order.returned {
            grants.extend(slot.gate.return_credit(credit, now));
        }
        grants.extend(slot.gate.demand(&order.entry, order.demand, now));
        inner.deliver(grants);
        inner
            .mailboxes
            .get(&order.entry)
            .map(|m| Arc::clone(&m.ready))
    }

    fn open_slot(&self, engine: EngineState, now: Time) -> Slot {
        let announcement = self.announcement_of(&engine, SocketAddr::from(([0; 4], 0)));
        let declarations = Arc::clone(&self.options.view.borrow().declarations);
        let policy = GatePolicy::of(&declarations, &announcement);
        Slot::open(engine, policy, self.epoch, now)
    }

    fn publish(&self) {
        let inner = self.lock();
        let announcement = inner
            .slot
            .as_ref()
            .zip(inner.address)
            .map(|(slot, address)| {
                let announcement = self.announcement_of(&slot.engine, address);
                Announcement {
                    leaving: inner.draining,
                    revision: slot.revision,
                    ..announcement
                }
            });
        drop(inner);
        self.announce.send_if_modified(|current| {
            let changed = *current != announcement;
            *current = announcement;
            changed
        });
    }

    fn announcement_of(&self, engine: &EngineState, address: SocketAddr) -> Announcement {
        let models = engine
            .models
            .iter()
            .map(|m| (m.name.clone(), m.version.clone()));
        Announcement {
            upstream: self.options.upstream.clone(),
            incarnation: Incarnation(engine.started),
            zone: self.options.zone.clone(),
            address: address.to_string(),
            kind: engine.kind,
            services: engine.services.clone(),
            models: models.collect(),
            adapters: engine.adapters.clone(),
            capacity: engine.capacity,
            group: engine.group.clone(),
            leaving: false,
            revision: Revision::default(),
            fence: Fence::default(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Puts grants into the mailboxes of their entries.
    fn deliver(&mut self, grants: Vec<Grant>) {
        for grant in grants {
            if let Some(mailbox) = self.mailboxes.get_mut(&grant.entry) {
                mailbox.grants.push(grant);
                mailbox.ready.notify_one();
            }
        }
    }
}

fn block_event(event: &CacheEvent) -> BlockEvent {
    BlockEvent {
        sequence: event.sequence,
        stored: event.change == CacheChange::Stored,
        block: event.block,
    }
}
