//! The thread that writes and syncs, so that no sync holds up the actor.

use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use pimentotide_consensus::{Ticket, Write};
use pimentotide_storage::{Folder, Storage, StorageError};

/// Most writes in one group.
const GROUP: usize = 1_024;

/// The writer thread of one replica.
#[derive(Debug)]
pub(super) struct Writer {
    queue: Option<Sender<Write>>,
    thread: Option<JoinHandle<()>>,
    waiting: VecDeque<(Ticket, Instant)>,
}

impl Writer {
    /// Starts the thread; `report` hears of each synced group and of the error that ends it.
    pub(super) fn spawn<F>(storage: Storage<Folder>, report: F) -> std::io::Result<Self>
    where
        F: Fn(Result<Ticket, StorageError>) + Send + 'static,
    {
        let (queue, writes) = channel();
        let thread = thread::Builder::new()
            .name("replica-writer".to_owned())
            .spawn(move || run(storage, &writes, report))?;
        Ok(Self {
            queue: Some(queue),
            thread: Some(thread),
            waiting: VecDeque::new(),
        })
    }

    /// Queues a write.
    pub(super) fn write(&mut self, write: Write) {
        self.waiting.push_back((write.ticket, Instant::now()));
        if let Some(queue) = &self.queue {
            // A thread that has ended has reported its error.
            let _ = queue.send(write);
        }
    }

    /// Notes that all writes up to `ticket` are synced.
    pub(super) fn synced(&mut self, ticket: Ticket) {
        while self.waiting.front().is_some_and(|(t, _)| *t <= ticket) {
            self.waiting.pop_front();
        }
    }

    /// Whether the oldest write has waited for longer than `limit`.
    pub(super) fn is_stalled(&self, limit: Duration) -> bool {
        self.waiting
            .front()
            .is_some_and(|(_, since)| since.elapsed() > limit)
    }

    /// Ends the thread after the queued writes; returns it to be joined.
    pub(super) fn close(&mut self) -> Option<JoinHandle<()>> {
        self.queue = None;
        self.thread.take()
    }
}

fn run<F>(mut storage: Storage<Folder>, writes: &Receiver<Write>, report: F)
where
    F: Fn(Result<Ticket, StorageError>),
{
    while let Ok(first) = writes.recv() {
        let mut group = vec![first];
        group.extend(writes.try_iter().take(GROUP - 1));
        let done = storage.write(&group);
        let failed = done.is_err();
        report(done);
        if failed {
            return;
        }
    }
}
