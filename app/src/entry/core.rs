//! Placement state of an entry, shared by its threads.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use pimentotide_caller::{Call, EntryAdvice};
use pimentotide_instance::View;
use pimentotide_model::{
    Announcement, ErrorKind, Failure, InstanceName, ModelName, RequestMeta, Time, UpstreamName,
};
use pimentotide_observe::Metrics;

use super::EntryOptions;
use super::decision::Placed;
use super::resolve::{Job, resolve};

/// One entry.
pub(super) struct Core {
    options: EntryOptions,
    start: Instant,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    flying: BTreeMap<UpstreamName, u32>,
    running: usize,
    leaving: bool,
}

/// Counts a request as running until it is dropped.
pub(super) struct Running(Arc<Core>);

/// Counts an attempt against its upstream until it is dropped.
pub(super) struct Flight {
    core: Arc<Core>,
    upstream: UpstreamName,
}

impl Core {
    pub(super) fn new(options: EntryOptions) -> Self {
        Self {
            options,
            start: Instant::now(),
            inner: Mutex::default(),
        }
    }

    pub(super) fn name(&self) -> &InstanceName {
        &self.options.instance
    }

    pub(super) fn metrics(&self) -> &Metrics {
        &self.options.metrics
    }

    /// Time since the entry started.
    pub(super) fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    pub(super) fn view(&self) -> View {
        self.options.view.borrow().clone()
    }

    pub(super) fn running(&self) -> usize {
        self.lock().running
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

    /// Chooses an upstream other than those in `tried`.
    pub(super) fn place(
        &self,
        meta: &RequestMeta,
        tried: &[UpstreamName],
    ) -> Result<Placed, Failure> {
        let view = self.view();
        let inner = self.lock();
        let fits = |a: &&Announcement| {
            serves(a, meta)
                && !a.leaving
                && !tried.contains(&a.upstream)
                && view.declarations.admits(&a.zone, &a.upstream)
        };
        let candidates: Vec<_> = view.upstreams.values().filter(fits).collect();
        let load = |a: &Announcement| {
            let flying = inner.flying.get(&a.upstream).copied().unwrap_or(0);
            (
                flying * 1_000 / a.capacity.max(1),
                a.zone != self.options.zone,
            )
        };
        let chosen = candidates.iter().min_by_key(|a| load(a)).ok_or_else(|| {
            Failure::new(ErrorKind::NoUpstream, "no upstream in service offers this")
        })?;
        let agent = chosen.address.parse().map_err(|_| {
            Failure::new(ErrorKind::NoUpstream, "the agent announced a bad address")
        })?;
        Ok(Placed {
            upstream: chosen.upstream.clone(),
            incarnation: chosen.incarnation,
            agent,
            considered: candidates.iter().map(|a| a.upstream.clone()).collect(),
            reason: "least requests in flight",
            revision: view.declarations.revision,
        })
    }

    /// Counts an attempt against its upstream.
    pub(super) fn fly(self: &Arc<Self>, upstream: &UpstreamName) -> Flight {
        *self.lock().flying.entry(upstream.clone()).or_default() += 1;
        Flight {
            core: Arc::clone(self),
            upstream: upstream.clone(),
        }
    }

    /// Names the entries that a caller in `zone` should use.
    pub(super) fn advice(&self, zone: Option<&str>) -> EntryAdvice {
        let near = zone.unwrap_or(&self.options.zone);
        let mut entries: Vec<_> = self.options.entries.iter().collect();
        entries.sort_by_key(|e| (e.zone.as_str() != near, &e.name));
        EntryAdvice {
            addresses: entries
                .iter()
                .map(|e| (e.address, e.zone.clone()))
                .collect(),
            keep: self.options.settings.keep,
        }
    }

    /// Names the models in service.
    pub(super) fn models(&self) -> Vec<ModelName> {
        let view = self.view();
        let declared = view.declarations.services.keys();
        let profiles = declared.filter_map(|s| view.declarations.profile_of(s));
        let mut models: Vec<_> = profiles.filter_map(|p| p.model.clone()).collect();
        models.sort();
        models.dedup();
        models
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let Some(flying) = self.core.lock().flying.get_mut(&self.upstream) {
            *flying -= 1;
        }
    }
}

fn serves(announcement: &Announcement, meta: &RequestMeta) -> bool {
    match &meta.model {
        Some(model) => announcement.models.iter().any(|(name, version)| {
            name == model && meta.version.as_ref().is_none_or(|v| v == version)
        }),
        None => announcement.services.contains(&meta.service),
    }
}
