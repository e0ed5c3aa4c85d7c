//! Follower side of the directory: watches one replica at a time and publishes a view.

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

/// Limit for the answer of one replica.
const POLL_TIMEOUT: Duration = LONG_POLL_TIMEOUT.saturating_add(LONG_POLL_MARGIN);

/// Settings of a follower.
#[derive(Clone)]
pub struct FollowOptions {
    /// Name of the instance that follows.
    pub instance: InstanceName,
    /// Upstream of an agent; `None` for an entry.
    pub upstream: Option<UpstreamName>,
    /// Whether to receive the directory of upstreams.
    pub directory: bool,
    /// Clients of the control replicas.
    pub replicas: Vec<PeerClient>,
}

/// Background task that keeps a view up to date; stops when dropped.
pub struct Follower {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    options: FollowOptions,
    clock: Clock,
    state: Mutex<State>,
    view: watch::Sender<View>,
    outdated: Notify,
}

#[derive(Default)]
struct State {
    watch: Watch,
    upstreams: Upstreams,
    fences: FenceGate,
}

impl Follower {
    /// Starts the task. Must be called within a runtime.
    pub fn spawn(options: FollowOptions) -> Self {
        let shared = Arc::new(Shared {
            options,
            clock: Clock::start(),
            state: Mutex::default(),
            view: watch::Sender::new(View::default()),
            outdated: Notify::new(),
        });
        let task = tokio::spawn(Arc::clone(&shared).run());
        Self { shared, task }
    }

    /// Subscribes to the view; it is not current before the first answer.
    pub fn view(&self) -> watch::Receiver<View> {
        self.shared.view.subscribe()
    }

    /// Records a revision received in a message of another process.
    ///
    /// If it is newer than the one in force, the next replica is polled at once.
    pub fn observe_revision(&self, revision: Revision) {
        if self.shared.lock().watch.observe_revision(revision) {
            self.shared.outdated.notify_one();
        }
    }

    /// Accepts the fencing token of an order to the upstream.
    ///
    /// # Errors
    ///
    /// Fails with `Fenced` if a higher token was received before, and with
    /// `NotCurrent` before the first answer of a replica.
    pub fn accept(&self, fence: Fence) -> Result<(), ErrorKind> {
        self.shared.lock().fences.accept(fence)
    }

    /// Highest fencing token received; zero before the first.
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
                outcome = self.poll(replica, eager) => outcome,
                () = self.outdated.notified() => {
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
                    log::debug!("watch of replica {} failed: {failure}", replica.address());
                    sleep(rotation.fail()).await;
                    eager = true;
                }
            }
        }
    }

    async fn poll(&self, replica: &PeerClient, eager: bool) -> Result<(), Failure> {
        let sent = self.clock.now();
        let request = self.request(eager);
        let call = replica.call_within::<_, WatchAnswer>(POLL_TIMEOUT, WATCH, [request]);
        let Ok(answer) = timeout(POLL_TIMEOUT, call).await else {
            return Err(Failure::new(
                ErrorKind::DeadlineExceeded,
                "no answer in time",
            ));
        };
        self.receive(sent, &answer?)
    }

    fn request(&self, eager: bool) -> WatchRequest {
        let state = self.lock();
        WatchRequest {
            instance: self.options.instance.clone(),
            upstream: self.options.upstream.clone(),
            held: state.watch.held(),
            mark: state.upstreams.mark(),
            directory: self.options.directory,
            eager,
        }
    }

    fn receive(&self, sent: Time, answer: &WatchAnswer) -> Result<(), Failure> {
        let mut state = self.lock();
        match state.watch.receive(sent, answer) {
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
        state.fences.raise_floor(answer.floor);
        let update = answer.directory.as_ref();
        let events = update.map(|update| state.upstreams.receive(update));
        self.publish(&state, events.is_some_and(|e| !e.is_empty()));
        Ok(())
    }

    fn publish(&self, state: &State, directory_changed: bool) {
        self.view.send_modify(|view| {
            view.current = true;
            view.expiry = Some(self.clock.boot_instant(state.watch.expiry()));
            if let Some(declarations) = state.watch.declarations()
                && (declarations.revision != view.declarations.revision
                    || *declarations != *view.declarations)
            {
                view.declarations = Arc::new(declarations.clone());
            }
            if directory_changed {
                let announcements = state.upstreams.announcements().cloned();
                let by_name = announcements.map(|a| (a.upstream.clone(), a));
                view.upstreams = Arc::new(by_name.collect::<BTreeMap<_, _>>());
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Hash of the instance name; selects the first replica, so that followers start at different
/// ones.
fn seed(name: &InstanceName) -> usize {
    let mixed = name.bytes().fold(0_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    mixed as usize
}
