//! State of an agent, shared by its handlers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentotide_instance::work::WorkOrder;
use pimentotide_instance::{Token, View};
use pimentotide_model::{
    Announcement, ErrorKind, Failure, Fence, Incarnation, LoadReport, RequestId, Warmth,
};
use pimentotide_observe::Metrics;
use pimentotide_upstream::EngineState;
use tokio::sync::{Notify, watch};

use super::AgentOptions;

/// One agent.
pub(super) struct Core {
    options: AgentOptions,
    announce: watch::Sender<Option<Announcement>>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    address: Option<SocketAddr>,
    engine: Option<EngineState>,
    running: HashMap<RequestId, Arc<Notify>>,
    leaving: bool,
    sequence: u64,
}

/// Right to pass one request on; gives its place back when dropped.
pub(super) struct Permit {
    core: Arc<Core>,
    id: RequestId,
    /// Address of the upstream.
    pub(super) engine: SocketAddr,
    /// Wakes when the entry gives the request up.
    pub(super) cancel: Arc<Notify>,
}

impl Core {
    pub(super) fn new(options: AgentOptions) -> Self {
        let announce = watch::Sender::new(None);
        Self {
            options,
            announce,
            inner: Mutex::default(),
        }
    }

    pub(super) fn token(&self) -> &Token {
        &self.options.token
    }

    pub(super) fn metrics(&self) -> &Metrics {
        &self.options.metrics
    }

    pub(super) fn announcements(&self) -> watch::Receiver<Option<Announcement>> {
        self.announce.subscribe()
    }

    pub(super) fn set_address(&self, address: SocketAddr) {
        self.lock().address = Some(address);
    }

    pub(super) fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Refuses new work from now on.
    pub(super) fn leave(&self) {
        self.lock().leaving = true;
        self.publish();
    }

    /// Takes in what the upstream says of itself.
    pub(super) fn engine_announced(&self, state: EngineState) {
        self.lock().engine = Some(state);
        self.publish();
    }

    /// Admits a request or says why not.
    pub(super) fn admit(self: &Arc<Self>, order: &WorkOrder) -> Result<Permit, Failure> {
        let view = self.view();
        let mut inner = self.lock();
        let engine = check(&inner, order)?;
        if !view
            .declarations
            .admits(&self.options.zone, &self.options.upstream)
        {
            return Err(Failure::new(
                ErrorKind::OutOfService,
                "taken out by operators",
            ));
        }
        let cancel = Arc::new(Notify::new());
        inner.running.insert(order.id, Arc::clone(&cancel));
        Ok(Permit {
            core: Arc::clone(self),
            id: order.id,
            engine,
            cancel,
        })
    }

    /// Gives up a running request on behalf of its entry.
    pub(super) fn cancel(&self, id: RequestId) {
        if let Some(cancel) = self.lock().running.get(&id) {
            cancel.notify_one();
        }
    }

    /// Load of the upstream as seen here.
    pub(super) fn report(&self) -> LoadReport {
        let mut inner = self.lock();
        inner.sequence += 1;
        let engine = inner.engine.as_ref();
        LoadReport {
            incarnation: Incarnation(engine.map_or(0, |e| e.started)),
            sequence: inner.sequence,
            running: u32::try_from(inner.running.len()).unwrap_or(u32::MAX),
            waiting: engine.map_or(0, |e| e.waiting),
            allowance: engine.map_or(0, |e| e.capacity),
            warmth: Warmth::Warm,
            first_token: 0,
            token_gap: 0,
        }
    }

    fn publish(&self) {
        let announcement = self.announcement();
        self.announce.send_if_modified(|current| {
            let changed = *current != announcement;
            *current = announcement;
            changed
        });
    }

    fn announcement(&self) -> Option<Announcement> {
        let revision = self.view().declarations.revision;
        let inner = self.lock();
        let engine = inner.engine.as_ref()?;
        let address = inner.address?;
        let models = engine
            .models
            .iter()
            .map(|m| (m.name.clone(), m.version.clone()));
        Some(Announcement {
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
            leaving: inner.leaving,
            revision,
            fence: Fence::default(),
        })
    }

    fn view(&self) -> View {
        self.options.view.borrow().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.core.lock().running.remove(&self.id);
    }
}

fn check(inner: &Inner, order: &WorkOrder) -> Result<SocketAddr, Failure> {
    if inner.leaving {
        return Err(Failure::new(ErrorKind::Stopping, "the agent is stopping"));
    }
    let Some(engine) = &inner.engine else {
        return Err(Failure::new(
            ErrorKind::NoUpstream,
            "the upstream has not announced itself",
        ));
    };
    if order.incarnation != Incarnation(engine.started) {
        return Err(Failure::new(
            ErrorKind::NoUpstream,
            "the upstream has restarted",
        ));
    }
    if inner.running.len() >= engine.capacity as usize {
        return Err(Failure::new(
            ErrorKind::Overloaded,
            "the upstream runs all it can bear",
        ));
    }
    if inner.running.contains_key(&order.id) {
        return Err(Failure::new(
            ErrorKind::StillRunning,
            "the request runs here already",
        ));
    }
    Ok(engine.address)
}
