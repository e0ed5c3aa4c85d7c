//! A disk in memory that crashes, fills up, fails and vanishes on demand.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Disk;

/// What the disk does when its countdown ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process dies in the middle of the operation.
    Crash,
    /// The operation and all later ones fail.
    Fail,
    /// There is no room from now on.
    Fill,
}

/// A disk in memory; clones share the content.
#[derive(Clone, Debug)]
pub struct FakeDisk {
    shared: Arc<Mutex<Content>>,
}

#[derive(Debug)]
struct Content {
    rng: ChaCha8Rng,
    files: Vec<File>,
    /// Names as a running process sees them.
    names: BTreeMap<String, usize>,
    /// Names as of the last sync of the folder.
    durable: BTreeMap<String, usize>,
    /// Changes of names since then.
    changes: Vec<Change>,
    countdown: Option<(u64, Fault)>,
    state: State,
    operations: u64,
}

#[derive(Clone, Debug, Default)]
struct File {
    data: Vec<u8>,
    durable: Vec<u8>,
}

#[derive(Clone, Debug)]
enum Change {
    Set(String, usize),
    Rename(String, String, usize),
    Remove(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Works,
    Crashed,
    Failed,
    Full,
}

impl FakeDisk {
    /// Builds an empty disk whose crashes are drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            shared: Arc::new(Mutex::new(Content {
                rng: ChaCha8Rng::seed_from_u64(seed),
                files: Vec::new(),
                names: BTreeMap::new(),
                durable: BTreeMap::new(),
                changes: Vec::new(),
                countdown: None,
                state: State::Works,
                operations: 0,
            })),
        }
    }

    /// Arms a fault for the operation after `operations` more ones.
    pub fn arm(&self, operations: u64, fault: Fault) {
        self.lock().countdown = Some((operations, fault));
    }

    /// Takes back a fault that has not happened yet.
    pub fn disarm(&self) {
        self.lock().countdown = None;
    }

    /// Writing operations performed so far.
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// Whether an armed crash has happened.
    pub fn is_crashed(&self) -> bool {
        self.lock().state == State::Crashed
    }

    /// Keeps what is durable, and of the rest what chance leaves; then works again.
    pub fn restart(&self) {
        self.lock().restart();
    }

    /// Loses everything, as if the disk had been replaced.
    pub fn wipe(&self) {
        let mut content = self.lock();
        content.files.clear();
        content.names.clear();
        content.durable.clear();
        content.changes.clear();
        content.countdown = None;
        content.state = State::Works;
    }

    /// Changes one byte of a file, as a failing medium would.
    pub fn damage(&self, name: &str, at: usize) {
        let mut content = self.lock();
        let Some(file) = content.names.get(name).copied() else {
            return;
        };
        let file = &mut content.files[file];
        for bytes in [&mut file.data, &mut file.durable] {
            if let Some(byte) = bytes.get_mut(at) {
                *byte ^= 0x5a;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Content {
    /// Counts a writing operation; returns whether it is the one to die in.
    fn count(&mut self) -> io::Result<bool> {
        self.operations += 1;
        match self.state {
            State::Works => {}
            State::Full => return Err(io::Error::from(io::ErrorKind::StorageFull)),
            State::Crashed | State::Failed => return Err(io::Error::other("the disk is gone")),
        }
        match &mut self.countdown {
            Some((0, fault)) => {
                let fault = *fault;
                self.countdown = None;
                self.trip(fault)
            }
            Some((left, _)) => {
                *left -= 1;
                Ok(false)
            }
            None => Ok(false),
        }
    }

    fn trip(&mut self, fault: Fault) -> io::Result<bool> {
        match fault {
            Fault::Crash => {
                self.state = State::Crashed;
                Ok(true)
            }
            Fault::Fail => {
                self.state = State::Failed;
                Err(io::Error::other("the disk failed"))
            }
            Fault::Fill => {
                self.state = State::Full;
                Err(io::Error::from(io::ErrorKind::StorageFull))
            }
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let number = self
            .names
            .get(name)
            .copied()
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        Ok(&mut self.files[number])
    }

    fn set(&mut self, change: Change) {
        apply(&mut self.names, &change);
        self.changes.push(change);
    }

    /// Frees the content of files that no name leads to.
    fn forget_unnamed(&mut self) {
        let named: BTreeSet<usize> = self.names.values().copied().collect();
        for (number, file) in self.files.iter_mut().enumerate() {
            if !named.contains(&number) {
                *file = File::default();
            }
        }
    }

    fn restart(&mut self) {
        let changes = std::mem::take(&mut self.changes);
        for change in changes {
            if self.rng.random_bool(0.5) {
                apply(&mut self.durable, &change);
            }
        }
        let rng = &mut self.rng;
        for file in &mut self.files {
            file.tear(rng);
        }
        self.names = self.durable.clone();
        self.countdown = None;
        self.state = State::Works;
    }
}

impl File {
    /// Keeps the durable bytes and an arbitrary part of what was written after them.
    fn tear(&mut self, rng: &mut ChaCha8Rng) {
        const SECTOR_BYTES: usize = 64;
        if self.data == self.durable {
            return;
        }
        let shared = self.durable.len().min(self.data.len());
        let grown = self.data.starts_with(&self.durable);
        if grown && self.data.len() > shared {
            let kept = rng.random_range(shared..=self.data.len());
            let mut torn = self.data[..kept].to_vec();
            // Sectors of the unsynced part reach the disk in any order.
            for sector in torn[shared..].chunks_mut(SECTOR_BYTES) {
                if rng.random_bool(0.3) {
                    sector.fill(0);
                }
            }
            self.durable = torn;
        } else if rng.random_bool(0.5) {
            self.durable = self.data.clone();
        }
        self.data = self.durable.clone();
    }
}

fn apply(names: &mut BTreeMap<String, usize>, change: &Change) {
    match change {
        Change::Set(name, file) => {
            names.insert(name.clone(), *file);
        }
        Change::Rename(from, to, file) => {
            names.remove(from);
            names.insert(to.clone(), *file);
        }
        Change::Remove(name) => {
            names.remove(name);
        }
    }
}

fn gone() -> io::Error {
    io::Error::other("the process died")
}

impl Disk for FakeDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.lock().names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.lock().file(name).map(|f| f.data.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut content = self.lock();
        let dies = content.count()?;
        content.files.push(File::default());
        let number = content.files.len() - 1;
        content.set(Change::Set(name.to_owned(), number));
        if dies { Err(gone()) } else { Ok(()) }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.lock();
        let dies = content.count()?;
        let kept = if dies {
            content.rng.random_range(0..=bytes.len())
        } else {
            bytes.len()
        };
        content.file(name)?.data.extend_from_slice(&bytes[..kept]);
        if dies { Err(gone()) } else { Ok(()) }
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        let mut content = self.lock();
        let dies = content.count()?;
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        content.file(name)?.data.truncate(size);
        if dies { Err(gone()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut content = self.lock();
        if content.count()? {
            return Err(gone());
        }
        let file = content.file(name)?;
        file.durable = file.data.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut content = self.lock();
        let dies = content.count()?;
        let number = content
            .names
            .get(from)
            .copied()
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        content.set(Change::Rename(from.to_owned(), to.to_owned(), number));
        if dies { Err(gone()) } else { Ok(()) }
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut content = self.lock();
        let dies = content.count()?;
        content.set(Change::Remove(name.to_owned()));
        if dies { Err(gone()) } else { Ok(()) }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut content = self.lock();
        if content.count()? {
            return Err(gone());
        }
        content.durable = content.names.clone();
        content.changes.clear();
        content.forget_unnamed();
        Ok(())
    }
}
