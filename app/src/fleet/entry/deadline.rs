//! Stream that ends at a deadline also if nothing reads it.
//!
//! A server reads a body only as fast as its caller takes it. Without a timer of its own, a stream
//! whose caller has stopped reading would keep its place at the upstream for as long as the
//! connection stays open.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use actix_rt::task::JoinHandle;
use futures_util::Stream;
use futures_util::stream::LocalBoxStream;
use tokio::time::Instant;

/// Stream that is dropped at its deadline; its next item is then the last.
pub(super) struct DeadlineStream<T> {
    state: Rc<RefCell<State<T>>>,
    timer: JoinHandle<()>,
}

enum State<T> {
    /// Before the deadline, with the task that waits for an item.
    Open(LocalBoxStream<'static, T>, Option<Waker>),
    /// After the deadline; holds the last item until it is read.
    Ended(Option<T>),
}

impl<T> DeadlineStream<T>
where
    T: 'static,
{
    /// Passes `items` on until `deadline`, after which `last` is the last item.
    pub(super) fn new<S, F>(items: S, deadline: Instant, last: F) -> Self
    where
        S: Stream<Item = T> + 'static,
        F: FnOnce() -> T + 'static,
    {
        let state = Rc::new(RefCell::new(State::Open(Box::pin(items), None)));
        let ended = state.clone();
        let timer = actix_rt::spawn(async move {
            tokio::time::sleep_until(deadline).await;
            let open = ended.replace(State::Ended(Some(last())));
            if let State::Open(_, Some(waiting)) = open {
                waiting.wake();
            }
        });
        Self { state, timer }
    }
}

impl<T> Stream for DeadlineStream<T> {
    type Item = T;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<T>> {
        let mut state = self.state.borrow_mut();
        let item = match &mut *state {
            State::Open(items, waiting) => {
                *waiting = Some(cx.waker().clone());
                items.as_mut().poll_next(cx)
            }
            State::Ended(last) => return Poll::Ready(last.take()),
        };
        if let Poll::Ready(None) = item {
            self.timer.abort();
            *state = State::Ended(None);
        }
        item
    }
}

impl<T> Drop for DeadlineStream<T> {
    fn drop(&mut self) {
        self.timer.abort();
    }
}
