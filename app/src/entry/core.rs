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

/// One entry.
pub(super) struct Core {
    options: EntryOptions,
    clock: Clock,
    inner: Mutex<Inner>,
}

/// What the threads of an entry share.
pub(super) struct Inner {
    pub(super) placer: Placer,
    pub(super) budget: RetryBudget,
    pub(super) queues: BTreeMap<ServiceName, FairQueue<Waiting>>,
    /// Services for which each upstream's agent is being asked for credits.
    pub(super) asked: BTreeMap<UpstreamName, BTreeSet<ServiceName>>,
    /// Wakes the attempts at an upstream that has been ejected.
    pub(super) stalls: BTreeMap<UpstreamName, Arc<Notify>>,
    pub(super) entries: Vec<EntryState>,
    /// Memory of claims that each agent said it has.
    pub(super) epochs: BTreeMap<UpstreamName, LedgerEpoch>,
    /// Contents under suspicion of crashing upstreams.
    pub(super) suspects: BTreeSet<Fingerprint>,
    known: Arc<BTreeMap<UpstreamName, Announcement>>,
    running: usize,
    leaving: bool,
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
            asked: BTreeMap::new(),
            stalls: BTreeMap::new(),
            entries: states.collect(),
            epochs: BTreeMap::new(),
            suspects: BTreeSet::new(),
            known: Arc::default(),
            running: 0,
            leaving: false,
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

    pub(super) fn is_leaving(&self) -> bool {
        self.lock().leaving
    }

    /// Refuses new requests from now on.
    pub(super) fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Takes a request in.
    pub(super) fn accept(self: &Arc<Self>, call: Call) -> Result<(Job, Running), Failure> {
        let view = self.view();
        let workspace = self.options.settings.workspace.as_ref();
        let job = resolve(call, workspace, &view.declarations, self.now())?;
        let mut inner = self.lock();
        if inner.leaving {
            return Err(Failure::new(ErrorKind::Stopping, "this entry is stopping"));
        }
        inner.running += 1;
        Ok((job, Running(Arc::clone(self))))
    }

    /// Puts the latest configuration and membership into force.
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
        let known = Arc::clone(&inner.known);
        for (name, announcement) in view.upstreams.iter() {
            if known.get(name) != Some(announcement) {
                inner.placer.announce(announcement.clone());
            }
        }
        for name in known.keys().filter(|n| !view.upstreams.contains_key(*n)) {
            inner.placer.remove_upstream(name);
            inner.stalls.remove(name);
            inner.epochs.remove(name);
        }
        inner.known = Arc::clone(&view.upstreams);
    }

    /// Takes the load that an agent reported.
    pub(super) fn observe_report(&self, upstream: &UpstreamName, report: &LoadReport) {
        let now = self.now();
        self.lock().placer.observe_report(upstream, report, now);
    }

    /// Gives a booking back.
    pub(super) fn finish(&self, ticket: Ticket, meta: &RequestMeta, done: &Finished) {
        let now = self.now();
        let mut inner = self.lock();
        inner.placer.finish(ticket, meta, done, now);
        if let Some(queue) = inner.queues.get_mut(&meta.service) {
            queue.observe_answer(done.total);
        }
    }

    /// Notes an answer in full, which earns a part of a retry.
    pub(super) fn succeeded(&self, meta: &RequestMeta, policy: &RetryPolicy) {
        let now = self.now();
        self.lock()
            .budget
            .success(&meta.service, &meta.workspace, policy, now);
    }

    /// Whether a content is under suspicion of crashing upstreams.
    pub(super) fn is_suspect(&self, content: &Fingerprint) -> bool {
        self.lock().suspects.contains(content)
    }

    /// Pause before another attempt; none if there may be no other.
    pub(super) fn may_retry(&self, job: &Job, attempt: u32) -> Option<Duration> {
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
            Retry::After(pause) => Some(pause),
            Retry::Denied(_) => None,
        }
    }

    /// Names the entries that a caller in `zone` should use.
    pub(super) fn advice(&self, zone: Option<&str>) -> EntryAdvice {
        let near = zone.map_or_else(|| self.options.zone.clone(), ZoneName::from);
        let view = self.view();
        let now = self.now();
        let inner = self.lock();
        let mut entries = inner.entries.clone();
        // This entry answers, so it is alive.
        for own in entries
            .iter_mut()
            .filter(|e| e.instance == self.options.instance)
        {
            own.last_seen = now;
            own.stopping = inner.leaving;
        }
        let standing = |zone: &ZoneName| {
            view.declarations
                .zones
                .get(zone)
                .copied()
                .unwrap_or(AdminState::In)
        };
        let advice = advise(Some(&near), &entries, standing, now, &mut rand::rng());
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

    /// Names the models in service.
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
    /// Wakes when the upstream has been ejected.
    pub(super) fn stall_of(&mut self, upstream: &UpstreamName) -> Arc<Notify> {
        Arc::clone(self.stalls.entry(upstream.clone()).or_default())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}
