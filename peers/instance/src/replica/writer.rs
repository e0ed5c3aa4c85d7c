//! Writer thread, which keeps syncs from blocking the actor.

use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use pimentotide_consensus::{Ticket, Write};
use pimentotide_storage::{Folder, Storage, StorageError};

/// Maximum number of writes in one synced group.
const MAX_GROUP_WRITES: usize = 1_024;

/// Writer thread of one replica.
#[derive(Debug)]
pub(super) struct Writer {
    queue: Option<Sender<Write>>,
    thread: Option<JoinHandle<()>>,
    /// Writes that are not synced yet, with the time of queueing, oldest first.
    unsynced: VecDeque<(Ticket, Instant)>,
}

impl Writer {
    /// Starts the thread; it calls `report` after each synced group and with a final error.
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
            unsynced: VecDeque::new(),
        })
    }

    /// Queues a write.
    pub(super) fn write(&mut self, write: Write) {
        self.unsynced.push_back((write.ticket, Instant::now()));
        if let Some(queue) = &self.queue {
            // Fails only if the thread has ended, which reported its error.
            let _ = queue.send(write);
        }
    }

    /// Removes the writes up to `ticket`, which are synced.
    pub(super) fn synced(&mut self, ticket: Ticket) {
        while self.unsynced.front().is_some_and(|(t, _)| *t <= ticket) {
            self.unsynced.pop_front();
        }
    }

    /// Whether the oldest unsynced write was queued more than `limit` ago.
    pub(super) fn is_stalled(&self, limit: Duration) -> bool {
        self.unsynced
            .front()
            .is_some_and(|(_, since)| since.elapsed() > limit)
    }

    /// Closes the queue; the thread ends after the queued writes.
    pub(super) fn close(&mut self) {
        self.queue = None;
    }

    /// Whether the thread has ended, so that nothing writes to the folder any more.
    pub(super) fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Closes the queue and waits for the end of the thread.
    pub(super) fn join(&mut self) -> thread::Result<()> {
        self.close();
        self.thread.take().map_or(Ok(()), JoinHandle::join)
    }
}

fn run<F>(mut storage: Storage<Folder>, writes: &Receiver<Write>, report: F)
where
    F: Fn(Result<Ticket, StorageError>),
{
    while let Ok(first) = writes.recv() {
        let mut group = vec![first];
        group.extend(writes.try_iter().take(MAX_GROUP_WRITES - 1));
        let result = storage.write(&group);
        let failed = result.is_err();
        report(result);
        if failed {
            return;
        }
    }
}
