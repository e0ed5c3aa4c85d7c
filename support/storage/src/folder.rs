//! Folder of the file system, locked against other processes.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::Disk;

/// Name of the lock file.
const LOCK: &str = "lock";

/// Folder locked by this process.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    files: BTreeMap<String, File>,
    /// Holds the lock until dropped.
    _lock: File,
}

impl Folder {
    /// Opens the folder, creating it if needed, and acquires its lock.
    ///
    /// Fails with [`io::ErrorKind::WouldBlock`] while another process holds the lock.
    pub fn open<P>(path: P) -> io::Result<Self>
    where
        P: AsRef<Path>,
    {
        let path = path.as_ref().to_path_buf();
        create_durably(&path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))?;
        lock.try_lock().map_err(|e| match e {
            TryLockError::WouldBlock => io::Error::new(
                io::ErrorKind::WouldBlock,
                format!("another process has {} open", path.display()),
            ),
            TryLockError::Error(e) => e,
        })?;
        Ok(Self {
            path,
            files: BTreeMap::new(),
            _lock: lock,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.files.contains_key(name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().append(true).open(path)?;
            self.files.insert(name.to_owned(), file);
        }
        self.files
            .get_mut(name)
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

/// Creates a folder and syncs its parent, so that its name is durable.
fn create_durably(path: &Path) -> io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(path)?;
    match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => File::open(parent)?.sync_all(),
        _ => File::open(".")?.sync_all(),
    }
}

impl Disk for Folder {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        File::create(self.path.join(name))?;
        self.files.remove(name);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        self.file(name)?.set_len(size)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.files.remove(from);
        self.files.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
