//! The replicated state, written by the log and read by everyone else.

use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use pimentotide_consensus::{Index, Machine as Replicated, RestoreError};
use pimentotide_control::Machine;
use pimentotide_model::{Revision, Time};
use tokio::sync::watch;

/// Replicated state that clones share.
///
/// One clone is given to the log, which applies commands to it; the others
/// read it and learn of each new revision.
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
    /// Reads the state.
    pub fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine) -> T,
    {
        read(&self.reader())
    }

    /// Revision in force, with every change of it.
    pub fn changes(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Tells the revision to those who wait for it, if it is another one.
    fn publish(&self, revision: Revision) {
        self.revision.send_if_modified(|known| {
            let changed = *known != revision;
            *known = revision;
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
