//! Replicated state that the log writes and the rest of the process reads.

use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use pimentotide_consensus::{Index, Machine as Replicated, RestoreError};
use pimentotide_control::Machine;
use pimentotide_model::{Revision, Time};
use tokio::sync::watch;

/// Handle to the replicated state; clones share it.
///
/// The log applies commands through one clone; the others read the state and
/// subscribe to its revision.
#[derive(Clone, Debug)]
pub struct SharedMachine {
    machine: Arc<RwLock<Machine>>,
    revision: watch::Sender<Revision>,
}

impl Default for SharedMachine {
    fn default() -> Self {
        Self {
            machine: Arc::default(),
            revision: watch::Sender::new(Revision(0)),
        }
    }
}

impl SharedMachine {
    /// Runs `read` on the state under a read lock.
    pub fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine) -> T,
    {
        read(&self.reader())
    }

    /// Subscribes to the revision in force.
    pub fn changes(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Notifies subscribers if the revision has changed.
    fn publish(&self, revision: Revision) {
        self.revision.send_if_modified(|current| {
            let changed = *current != revision;
            *current = revision;
            changed
        });
    }

    fn reader(&self) -> RwLockReadGuard<'_, Machine> {
        self.machine.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn writer(&self) -> RwLockWriteGuard<'_, Machine> {
        self.machine.write().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Replicated for SharedMachine {
    fn apply(&mut self, index: Index, time: Time, command: &[u8]) -> Vec<u8> {
        let mut machine = self.writer();
        let response = Replicated::apply(&mut *machine, index, time, command);
        let revision = machine.revision();
        drop(machine);
        self.publish(revision);
        response
    }

    fn snapshot(&self) -> Vec<u8> {
        Replicated::snapshot(&*self.reader())
    }

    fn restore(&mut self, state: &[u8]) -> Result<(), RestoreError> {
        let mut machine = self.writer();
        Replicated::restore(&mut *machine, state)?;
        let revision = machine.revision();
        drop(machine);
        self.publish(revision);
        Ok(())
    }
}
