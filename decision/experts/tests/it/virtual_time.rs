//! Executor that runs futures in virtual time: a sleep takes no time of its own.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Wake, Waker};
use std::time::Duration;

/// Clock that advances to the next timer when nothing else can run.
#[derive(Default)]
pub(crate) struct VirtualClock {
    now: Cell<Duration>,
    timers: RefCell<Vec<(Duration, Waker)>>,
}

struct Notified(AtomicBool);

impl Wake for Notified {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl VirtualClock {
    /// Time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.now.get()
    }

    /// Sleeps for `length`.
    pub(crate) async fn sleep(&self, length: Duration) {
        self.sleep_until(self.now() + length).await;
    }

    /// Sleeps until `end`.
    pub(crate) async fn sleep_until(&self, end: Duration) {
        std::future::poll_fn(|context| {
            if self.now() >= end {
                return Poll::Ready(());
            }
            let timer = (end, context.waker().clone());
            self.timers.borrow_mut().push(timer);
            Poll::Pending
        })
        .await;
    }

    /// Runs a future to its end.
    pub(crate) fn run<F>(&self, future: F) -> F::Output
    where
        F: Future,
    {
        let notified = Arc::new(Notified(AtomicBool::new(true)));
        let waker = Waker::from(notified.clone());
        let mut context = Context::from_waker(&waker);
        let mut future = pin!(future);
        loop {
            if notified.0.swap(false, Ordering::Relaxed) {
                if let Poll::Ready(output) = future.as_mut().poll(&mut context) {
                    return output;
                }
                continue;
            }
            let next = self.timers.borrow().iter().map(|(end, _)| *end).min();
            self.now.set(next.expect("a future waits for a timer"));
            let due = |timer: &(Duration, Waker)| timer.0 <= self.now();
            let (due, rest) = self.timers.take().into_iter().partition(due);
            self.timers.replace(rest);
            let due: Vec<(Duration, Waker)> = due;
            due.into_iter().for_each(|(_, waker)| waker.wake());
        }
    }
}
