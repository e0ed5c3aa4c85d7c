//! Placement state of an entry, shared by its threads.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pimentotide_caller::{Call, EntryAdvice};
use pimentotide_instance::{Clock, Submitter, View};
use pimentotide_model::{
    AdminState, Announcement, ErrorKind, Failure, Fingerprint, InstanceName, LoadReport, ModelName,
    RequestMeta, RetryPolicy, ServiceName, Time, UpstreamName, ZoneName,
};
use pimentotide_observe::Metrics;
use pimentotide_outcome::LedgerEpoch;
use pimentotide_routing::{
    EntryState, FailedAttempt, FairQueue, Finished, Placer, PlacerSettings, Retry, RetryBudget,
    Ticket, advise,
};
use tokio::sync::{Notify, watch};

use super::EntryOptions;
use super::resolve::{Job, resolve};
use super::waiting::Waiting;

/// Shared state of one entry.
pub(super) struct Core {
    options: EntryOptions,
    clock: Clock,
    inner: Mutex<Inner>,
}

/// State of an entry that its mutex guards.
pub(super) struct Inner {
    pub(super) placer: Placer,
    pub(super) budget: RetryBudget,
    pub(super) queues: BTreeMap<ServiceName, FairQueue<Waiting>>,
    /// Services for which credits are requested from each upstream's agent.
    pub(super) demanded: BTreeMap<UpstreamName, BTreeSet<ServiceName>>,
    /// Notifies the attempts at an upstream when it is ejected.
    pub(super) stalls: BTreeMap<UpstreamName, Arc<Notify>>,
    pub(super) entries: Vec<EntryState>,
    /// Ledger epoch reported by each agent.
    pub(super) epochs: BTreeMap<UpstreamName, LedgerEpoch>,
    /// Fingerprints of requests suspected of crashing upstreams.
    pub(super) suspects: BTreeSet<Fingerprint>,
    /// Announcements that the placer has received.
    announced: Arc<BTreeMap<UpstreamName, Announcement>>,
    running: usize,
    draining: bool,
}

/// Counts a request as running until it is dropped.
pub(super) struct Running(Arc<Core>);

impl Core {
    pub(super) fn new(options: EntryOptions) -> Self {
        let settings = PlacerSettings::new(options.instance.clone(), options.zone.clone());
        let states = options.entries.iter().map(|peer| EntryState {
            instance: peer.name.clone(),
            address: peer.address.to_string(),
            zone: peer.zone.clone(),
            stopping: false,
            last_seen: Time::ZERO,
        });
        let inner = Inner {
            placer: Placer::open(settings),
            budget: RetryBudget::default(),
            queues: BTreeMap::new(),
            demanded: BTreeMap::new(),
            stalls: BTreeMap::new(),
            entries: states.collect(),
            epochs: BTreeMap::new(),
            suspects: BTreeSet::new(),
            announced: Arc::default(),
            running: 0,
            draining: false,
        };
        Self {
            options,
            clock: Clock::start(),
            inner: Mutex::new(inner),
        }
    }

    pub(super) fn name(&self) -> &InstanceName {
        &self.options.instance
    }

    pub(super) fn control(&self) -> Option<&Submitter> {
        self.options.control.as_ref()
    }

    pub(super) fn metrics(&self) -> &Metrics {
        &self.options.metrics
    }

    /// Time since the entry started.
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(super) fn view(&self) -> View {
        self.options.view.borrow().clone()
    }

    pub(super) fn views(&self) -> watch::Receiver<View> {
        self.options.view.clone()
    }

    pub(super) fn running(&self) -> usize {
        self.lock().running
    }

    pub(super) fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Refuses all new requests.
    pub(super) fn drain(&self) {
        self.lock().draining = true;
    }

    /// Resolves a request and counts it as running; fails while draining.
    pub(super) fn accept(self: &Arc<Self>, call: Call) -> Result<(Job, Running), Failure> {
        let view = self.view();
        let workspace = self.options.settings.workspace.as_ref();
        let job = resolve(call, workspace, &view.declarations, self.now())?;
        let mut inner = self.lock();
        if inner.draining {
            return Err(Failure::new(ErrorKind::Stopping, "this entry is stopping"));
        }
        inner.running += 1;
        Ok((job, Running(Arc::clone(self))))
    }

    /// Applies the latest configuration and membership.
    pub(super) fn refresh(&self) {
        let view = self.view();
        let mut inner = self.lock();
        if inner.placer.revision() < view.declarations.revision {
            inner.placer.declare((*view.declarations).clone());
            for (service, queue) in &mut inner.queues {
                if let Some(profile) = view.declarations.profile_of(service) {
                    queue.set_policy(profile.queue.clone(), profile.shares.clone());
                }
            }
        }
        let announced = Arc::clone(&inner.announced);
        for (name, announcement) in view.upstreams.iter() {
            if announced.get(name) != Some(announcement) {
                inner.placer.announce(announcement.clone());
            }
        }
        for name in announced
            .keys()
            .filter(|n| !view.upstreams.contains_key(*n))
        {
            inner.placer.remove_upstream(name);
            inner.stalls.remove(name);
            inner.epochs.remove(name);
        }
        inner.announced = Arc::clone(&view.upstreams);
    }

    /// Applies a load report of an agent.
    pub(super) fn observe_report(&self, upstream: &UpstreamName, report: &LoadReport) {
        let now = self.now();
        self.lock().placer.observe_report(upstream, report, now);
    }

    /// Releases a booking and records its outcome.
    pub(super) fn finish(&self, ticket: Ticket, meta: &RequestMeta, done: &Finished) {
        let now = self.now();
        let mut inner = self.lock();
        inner.placer.finish(ticket, meta, done, now);
        if let Some(queue) = inner.queues.get_mut(&meta.service) {
            queue.observe_answer(done.total);
        }
    }

    /// Records a complete answer, which adds to the retry budget.
    pub(super) fn record_success(&self, meta: &RequestMeta, policy: &RetryPolicy) {
        let now = self.now();
        self.lock()
            .budget
            .success(&meta.service, &meta.workspace, policy, now);
    }

    /// Whether requests with this content are suspected of crashing upstreams.
    pub(super) fn is_suspect(&self, content: &Fingerprint) -> bool {
        self.lock().suspects.contains(content)
    }

    /// Delay before the next attempt; `None` if the retry is denied.
    pub(super) fn retry_delay(&self, job: &Job, attempt: u32) -> Option<Duration> {
        let failed = FailedAttempt {
            service: &job.meta.service,
            workspace: &job.meta.workspace,
            policy: &job.profile.retry,
            attempt,
            idempotent: job.meta.idempotent,
            deadline: job.meta.deadline,
        };
        match self
            .lock()
            .budget
            .decide(&failed, self.now(), &mut rand::rng())
        {
            Retry::After(delay) => Some(delay),
            Retry::Denied(_) => None,
        }
    }

    /// Returns the entries that a caller in `zone` should use.
    pub(super) fn advice(&self, zone: Option<&str>) -> EntryAdvice {
        let near = zone.map_or_else(|| self.options.zone.clone(), ZoneName::from);
        let view = self.view();
        let now = self.now();
        let inner = self.lock();
        let mut entries = inner.entries.clone();
        // This entry is answering, so it is alive.
        for own in entries
            .iter_mut()
            .filter(|e| e.instance == self.options.instance)
        {
            own.last_seen = now;
            own.stopping = inner.draining;
        }
        let admin_state = |zone: &ZoneName| {
            view.declarations
                .zones
                .get(zone)
                .copied()
                .unwrap_or(AdminState::In)
        };
        let advice = advise(Some(&near), &entries, admin_state, now, &mut rand::rng());
        let addresses = advice.addresses.iter().filter_map(|address| {
            let entry = entries.iter().find(|e| e.address == *address)?;
            Some((address.parse().ok()?, entry.zone.clone()))
        });
        let keep = advice.ttl.min(self.options.settings.keep);
        EntryAdvice {
            addresses: addresses.collect(),
            keep,
        }
    }

    /// Returns the models of all declared services.
    pub(super) fn models(&self) -> Vec<ModelName> {
        let view = self.view();
        let declared = view.declarations.services.keys();
        let profiles = declared.filter_map(|s| view.declarations.profile_of(s));
        let models: BTreeSet<_> = profiles.filter_map(|p| p.model.clone()).collect();
        models.into_iter().collect()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Returns the signal that is notified when the upstream is ejected.
    pub(super) fn stall_signal(&mut self, upstream: &UpstreamName) -> Arc<Notify> {
        Arc::clone(self.stalls.entry(upstream.clone()).or_default())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}
