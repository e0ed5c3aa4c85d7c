//! Holder side: follows one replica at a time and publishes a view.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pimentotide_control::currency::{
    FenceGate, LONG_POLL_MARGIN, LONG_POLL_TIMEOUT, Rotation, Watch, WatchAnswer, WatchOutcome,
    WatchRequest,
};
use pimentotide_control::directory::View as Upstreams;
use pimentotide_model::{ErrorKind, Failure, Fence, InstanceName, Revision, Time, UpstreamName};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::WATCH;
use crate::{Clock, PeerClient, View};

/// Time that one replica has for an answer.
const ATTEMPT: Duration = LONG_POLL_TIMEOUT.saturating_add(LONG_POLL_MARGIN);

/// Who follows, and whom.
#[derive(Clone)]
pub struct FollowOptions {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Upstream of an agent; none for an entry.
    pub upstream: Option<UpstreamName>,
    /// Whether the directory of upstreams is wanted.
    pub directory: bool,
    /// Control replicas.
    pub replicas: Vec<PeerClient>,
}

/// Running follower; stops when dropped.
pub struct Follower {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    options: FollowOptions,
    clock: Clock,
    held: Mutex<Holding>,
    view: watch::Sender<View>,
    behind: Notify,
}

#[derive(Default)]
struct Holding {
    watch: Watch,
    upstreams: Upstreams,
    fences: FenceGate,
}

impl Follower {
    /// Starts to follow. Must be called within a runtime.
    pub fn spawn(options: FollowOptions) -> Self {
        let shared = Arc::new(Shared {
            options,
            clock: Clock::start(),
            held: Mutex::default(),
            view: watch::Sender::new(View::default()),
            behind: Notify::new(),
        });
        let task = tokio::spawn(Arc::clone(&shared).run());
        Self { shared, task }
    }

    /// Latest view; not current before the first answer.
    pub fn view(&self) -> watch::Receiver<View> {
        self.shared.view.subscribe()
    }

    /// Notes a revision that came with a message of another process.
    ///
    /// If it is newer than the one in force, the next replica is asked at once.
    pub fn hear(&self, revision: Revision) {
        if self.shared.lock().watch.observe_revision(revision) {
            self.shared.behind.notify_one();
        }
    }

    /// Accepts an order to the upstream, unless a newer one has been seen.
    ///
    /// # Errors
    ///
    /// Fails with `Fenced` on an old number and with `NotCurrent` before the
    /// first answer of a replica.
    pub fn accept(&self, fence: Fence) -> Result<(), ErrorKind> {
        self.shared.lock().fences.accept(fence)
    }

    /// Highest fencing number seen.
    pub fn fence(&self) -> Fence {
        self.shared.lock().fences.highest().unwrap_or_default()
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    async fn run(self: Arc<Self>) {
        let replicas = &self.options.replicas;
        if replicas.is_empty() {
            return;
        }
        let mut rotation = Rotation::new(replicas.len(), seed(&self.options.instance));
        let mut eager = true;
        loop {
            let replica = &replicas[rotation.position()];
            let outcome = tokio::select! {
                outcome = self.ask(replica, eager) => outcome,
                () = self.behind.notified() => {
                    rotation.fail();
                    continue;
                }
            };
            match outcome {
                Ok(()) => {
                    rotation.succeed();
                    eager = false;
                }
                Err(failure) => {
                    log::debug!("replica {} did not answer: {failure}", replica.address());
                    sleep(rotation.fail()).await;
                    eager = true;
                }
            }
        }
    }

    async fn ask(&self, replica: &PeerClient, eager: bool) -> Result<(), Failure> {
        let sent = self.clock.now();
        let request = self.request(eager);
        let call = replica.call_within::<_, WatchAnswer>(ATTEMPT, WATCH, [request]);
        let Ok(answer) = timeout(ATTEMPT, call).await else {
            return Err(Failure::new(
                ErrorKind::DeadlineExceeded,
                "no answer in time",
            ));
        };
        self.take(sent, &answer?)
    }

    fn request(&self, eager: bool) -> WatchRequest {
        let held = self.lock();
        WatchRequest {
            instance: self.options.instance.clone(),
            upstream: self.options.upstream.clone(),
            held: held.watch.held(),
            mark: held.upstreams.mark(),
            directory: self.options.directory,
            eager,
        }
    }

    fn take(&self, sent: Time, answer: &WatchAnswer) -> Result<(), Failure> {
        let mut held = self.lock();
        match held.watch.receive(sent, answer) {
            WatchOutcome::Stale => {
                let detail = format!("its revision {} is old", answer.revision);
                return Err(Failure::new(ErrorKind::StaleRevision, detail));
            }
            WatchOutcome::Repair => {
                let detail = "its changes do not lead to its digest";
                return Err(Failure::new(ErrorKind::Internal, detail));
            }
            WatchOutcome::Changed => log::info!("revision {} is in force", answer.revision),
            WatchOutcome::Renewed => {}
        }
        held.fences.raise_floor(answer.floor);
        let moved = answer.directory.as_ref();
        let events = moved.map(|update| held.upstreams.receive(update));
        self.publish(&held, events.is_some_and(|e| !e.is_empty()));
        Ok(())
    }

    fn publish(&self, held: &Holding, moved: bool) {
        self.view.send_modify(|view| {
            view.current = true;
            view.expiry = Some(self.clock.instant(held.watch.expiry()));
            if let Some(declarations) = held.watch.declarations()
                && (declarations.revision != view.declarations.revision
                    || *declarations != *view.declarations)
            {
                view.declarations = Arc::new(declarations.clone());
            }
            if moved {
                let announcements = held.upstreams.announcements().cloned();
                let named = announcements.map(|a| (a.upstream.clone(), a));
                view.upstreams = Arc::new(named.collect::<BTreeMap<_, _>>());
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Holding> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Spreads holders over the replicas by their names.
fn seed(name: &InstanceName) -> usize {
    let mixed = name.bytes().fold(0_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    mixed as usize
}
