//! Detection of pauses of the process, by a signal or a suspension of its instance.
//!
//! Requests that arrive during a pause are read after it, when their senders may have left and given
//! newer orders to other instances. Their age cannot be read from them, so that the time after a
//! pause is refused as a whole to orders that must not be old.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use actix_rt::task::JoinHandle;

use crate::BootInstant;

/// Interval at which the process notes that it runs.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Gap between two ticks that counts as a pause; half of the second after which senders leave.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Time after a pause within which requests that arrived during it are read.
const BACKLOG_TIME: Duration = Duration::from_secs(2);

/// Pauses of this process; clones share them.
#[derive(Clone, Debug)]
pub struct Pauses {
    state: Arc<Mutex<PauseState>>,
}

#[derive(Debug)]
struct PauseState {
    last_tick: BootInstant,
    resumed: Option<BootInstant>,
}

impl Pauses {
    /// Starts to observe the process, until the returned task is aborted.
    pub fn spawn() -> (Self, JoinHandle<()>) {
        let state = PauseState {
            last_tick: BootInstant::now(),
            resumed: None,
        };
        let pauses = Self {
            state: Arc::new(Mutex::new(state)),
        };
        let observed = pauses.clone();
        let task = actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(TICK_INTERVAL).await;
                observed.tick();
            }
        });
        (pauses, task)
    }

    /// Whether a request that is read now may have arrived before or during a pause.
    pub fn is_recent(&self) -> bool {
        // The request may be read before the task has noticed the pause.
        self.tick()
    }

    /// Notes that the process runs; returns whether it has resumed within [`BACKLOG_TIME`].
    fn tick(&self) -> bool {
        let now = BootInstant::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let gap = now.since(state.last_tick);
        if gap >= MIN_PAUSE {
            log::warn!("resumed after a pause of {} ms", gap.as_millis());
            state.resumed = Some(now);
        }
        state.last_tick = now;
        state
            .resumed
            .is_some_and(|resumed| now.since(resumed) < BACKLOG_TIME)
    }
}
