//! Replica side of the directory: answers watches and receives reports.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::ErrorObjectOwned;
use pimentotide_control::currency::{
    LONG_POLL_TIMEOUT, WatchAnswer, WatchRequest, grant, has_update,
};
use pimentotide_control::directory::{Registry, Report, ReportAnswer};
use pimentotide_model::Failure;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use super::confirm::Confirmations;
use super::{REPORT, Source, WATCH};
use crate::{Clock, rpc_error};

/// Interval of the check for upstreams whose heartbeats have stopped.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Directory of one control replica; clones share the state.
#[derive(Clone)]
pub struct Directory<S> {
    shared: Arc<Shared<S>>,
}

struct Shared<S> {
    source: S,
    clock: Clock,
    registry: Mutex<Registry>,
    confirmations: Confirmations,
    changed: watch::Sender<u64>,
    expiry_task: JoinHandle<()>,
}

impl<S> Directory<S>
where
    S: Source,
{
    /// Starts an empty directory; `epoch` must differ between all starts of all replicas.
    ///
    /// Must be called within a runtime.
    pub fn spawn(source: S, epoch: u64) -> Self {
        let clock = Clock::start();
        let shared = Arc::new_cyclic(|weak: &std::sync::Weak<Shared<S>>| {
            let weak = weak.clone();
            let expiry_task = tokio::spawn(async move {
                loop {
                    sleep(EXPIRY_INTERVAL).await;
                    let Some(shared) = weak.upgrade() else {
                        return;
                    };
                    shared.expire();
                }
            });
            Shared {
                source,
                clock,
                registry: Mutex::new(Registry::new(epoch, clock.now())),
                confirmations: Confirmations::new(clock),
                changed: watch::Sender::new(0),
                expiry_task,
            }
        });
        Self { shared }
    }

    /// Builds the methods of this protocol.
    ///
    /// # Errors
    ///
    /// Fails if a method is registered twice.
    pub fn module(&self) -> Result<RpcModule<Self>, RegisterMethodError> {
        let mut module = RpcModule::new(self.clone());
        module.register_async_method(WATCH, |params, directory, _| async move {
            let request: WatchRequest = params.one()?;
            let answer = directory.shared.watch(&request).await;
            answer.map_err(|failure| rpc_error(&failure))
        })?;
        module.register_method(REPORT, |params, directory, _| {
            let report: Report = params.one()?;
            Ok::<ReportAnswer, ErrorObjectOwned>(directory.shared.receive(report))
        })?;
        Ok(module)
    }

    /// Runs `read` on the registry, which stays locked meanwhile.
    pub fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Registry) -> T,
    {
        read(&self.shared.registry())
    }
}

impl<S> Shared<S>
where
    S: Source,
{
    /// Waits for an update or the long-poll timeout, then answers with a confirmed state.
    async fn watch(&self, request: &WatchRequest) -> Result<WatchAnswer, Failure> {
        if !request.eager {
            self.wait(request).await;
        }
        let confirmation = self.confirmations.get(&self.source).await?;
        self.source.read(|machine| {
            let registry = self.registry();
            let now = self.clock.now();
            grant(machine, &registry, confirmation, request, now)
                .map_err(|kind| Failure::new(kind, "this replica cannot vouch for its state"))
        })
    }

    async fn wait(&self, request: &WatchRequest) {
        let end = Instant::now() + LONG_POLL_TIMEOUT;
        let mut states = self.source.changes();
        let mut directories = self.changed.subscribe();
        loop {
            let updated = self
                .source
                .read(|machine| has_update(machine, &self.registry(), request, self.clock.now()));
            if updated {
                return;
            }
            tokio::select! {
                changed = states.changed() => if changed.is_err() { return },
                changed = directories.changed() => if changed.is_err() { return },
                () = sleep_until(end) => return,
            }
        }
    }
}

impl<S> Shared<S> {
    fn receive(&self, report: Report) -> ReportAnswer {
        let mut registry = self.registry();
        let before = registry.version();
        let answer = registry.receive(report, self.clock.now());
        let changed = registry.version() != before;
        drop(registry);
        if changed {
            self.changed.send_modify(|count| *count += 1);
        }
        answer
    }

    fn expire(&self) {
        let changed = self.registry().expire(self.clock.now());
        if changed {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S> Drop for Shared<S> {
    fn drop(&mut self) {
        self.expiry_task.abort();
    }
}
