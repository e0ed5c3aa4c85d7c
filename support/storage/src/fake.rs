//! In-memory disk for tests with injected crashes, errors and data loss.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Disk;

/// Fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process crashes in the middle of the operation.
    Crash,
    /// The operation and all later ones fail.
    Fail,
    /// This operation and all later ones fail as the disk is full.
    Fill,
}

/// In-memory disk; clones share the content.
#[derive(Clone, Debug)]
pub struct FakeDisk {
    shared: Arc<Mutex<Content>>,
}

#[derive(Debug)]
struct Content {
    rng: ChaCha8Rng,
    files: Vec<File>,
    /// Names visible to a running process.
    names: BTreeMap<String, usize>,
    /// Names as of the last sync of the folder.
    durable: BTreeMap<String, usize>,
    /// Changes of names since the last sync of the folder.
    changes: Vec<Change>,
    /// Injected fault and the number of operations before it occurs.
    countdown: Option<(u64, Fault)>,
    state: State,
    /// Whether every writing operation is refused, also after a restart.
    full: bool,
    /// Whether a write has been stored in part since the disk was filled.
    partial: bool,
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
    Working,
    Crashed,
    Failed,
    Full,
}

impl FakeDisk {
    /// Creates an empty disk; `seed` determines what survives a crash.
    pub fn new(seed: u64) -> Self {
        Self {
            shared: Arc::new(Mutex::new(Content {
                rng: ChaCha8Rng::seed_from_u64(seed),
                files: Vec::new(),
                names: BTreeMap::new(),
                durable: BTreeMap::new(),
                changes: Vec::new(),
                countdown: None,
                state: State::Working,
                full: false,
                partial: false,
                operations: 0,
            })),
        }
    }

    /// Injects a fault into a writing operation, after `operations` further ones.
    pub fn arm(&self, operations: u64, fault: Fault) {
        self.lock().countdown = Some((operations, fault));
    }

    /// Cancels a fault that has not occurred yet.
    pub fn disarm(&self) {
        self.lock().countdown = None;
    }

    /// Fills the disk, so that it refuses every writing operation until it is freed again.
    ///
    /// The content stays as the process sees it.
    pub fn fill(&self) {
        self.lock().full = true;
    }

    /// Frees a disk that was filled by [`FakeDisk::fill`] or [`Fault::Fill`].
    pub fn free(&self) {
        let mut content = self.lock();
        content.full = false;
        content.partial = false;
        if content.state == State::Full {
            content.state = State::Working;
        }
    }

    /// Returns the number of writing operations so far.
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// Returns whether the disk is full.
    pub fn is_full(&self) -> bool {
        let content = self.lock();
        content.full || content.state == State::Full
    }

    /// Returns whether an injected crash has occurred.
    pub fn is_crashed(&self) -> bool {
        self.lock().state == State::Crashed
    }

    /// Restarts after a crash: keeps durable data and a random part of the unsynced data.
    pub fn restart(&self) {
        self.lock().restart();
    }

    /// Removes all files, as if the disk had been replaced.
    pub fn wipe(&self) {
        let mut content = self.lock();
        content.files.clear();
        content.names.clear();
        content.durable.clear();
        content.changes.clear();
        content.countdown = None;
        content.state = State::Working;
        content.full = false;
    }

    /// Corrupts the byte at offset `at` of a file.
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
    /// Counts a writing operation; returns whether the process crashes in it.
    fn count(&mut self) -> io::Result<bool> {
        self.operations += 1;
        match self.state {
            State::Working if !self.full => {}
            State::Working | State::Full => {
                return Err(io::Error::from(io::ErrorKind::StorageFull));
            }
            State::Crashed | State::Failed => return Err(io::Error::other("the disk has failed")),
        }
        match &mut self.countdown {
            Some((0, fault)) => {
                let fault = *fault;
                self.countdown = None;
                self.inject(fault)
            }
            Some((left, _)) => {
                *left -= 1;
                Ok(false)
            }
            None => Ok(false),
        }
    }

    fn inject(&mut self, fault: Fault) -> io::Result<bool> {
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

    fn change_name(&mut self, change: Change) {
        apply(&mut self.names, &change);
        self.changes.push(change);
    }

    /// Frees the content of files without a name.
    fn clear_unnamed(&mut self) {
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
        self.state = State::Working;
    }
}

impl File {
    /// Keeps the durable bytes and a random part of the bytes written after them.
    fn tear(&mut self, rng: &mut ChaCha8Rng) {
        const SECTOR_BYTES: usize = 64;
        if self.data == self.durable {
            return;
        }
        let common = self.durable.len().min(self.data.len());
        let appended = self.data.starts_with(&self.durable);
        if appended && self.data.len() > common {
            let kept = rng.random_range(common..=self.data.len());
            let mut torn = self.data[..kept].to_vec();
            // Unsynced sectors reach the disk in any order.
            for sector in torn[common..].chunks_mut(SECTOR_BYTES) {
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

fn crash_error() -> io::Error {
    io::Error::other("the process crashed")
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
        let crashes = content.count()?;
        content.files.push(File::default());
        let number = content.files.len() - 1;
        content.change_name(Change::Set(name.to_owned(), number));
        if crashes { Err(crash_error()) } else { Ok(()) }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.lock();
        let counted = content.count();
        let stored = match &counted {
            Ok(false) => bytes.len(),
            // The first write that does not fit is stored in part.
            Err(e) if e.kind() == io::ErrorKind::StorageFull && !content.partial => {
                content.partial = true;
                content.rng.random_range(0..=bytes.len())
            }
            Ok(true) => content.rng.random_range(0..=bytes.len()),
            Err(_) => 0,
        };
        content.file(name)?.data.extend_from_slice(&bytes[..stored]);
        if counted? { Err(crash_error()) } else { Ok(()) }
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        let mut content = self.lock();
        let crashes = content.count()?;
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        content.file(name)?.data.truncate(size);
        if crashes { Err(crash_error()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut content = self.lock();
        if content.count()? {
            return Err(crash_error());
        }
        let file = content.file(name)?;
        file.durable = file.data.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut content = self.lock();
        let crashes = content.count()?;
        let number = content
            .names
            .get(from)
            .copied()
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        content.change_name(Change::Rename(from.to_owned(), to.to_owned(), number));
        if crashes { Err(crash_error()) } else { Ok(()) }
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut content = self.lock();
        let crashes = content.count()?;
        content.change_name(Change::Remove(name.to_owned()));
        if crashes { Err(crash_error()) } else { Ok(()) }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut content = self.lock();
        if content.count()? {
            return Err(crash_error());
        }
        content.durable = content.names.clone();
        content.changes.clear();
        content.clear_unnamed();
        Ok(())
    }
}
