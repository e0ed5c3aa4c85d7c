//! The few operations on files that the storage is built on.

use std::io;

/// Files of one folder, without subfolders.
///
/// Content counts as durable once `sync` of its file returned; the existence of
/// a name counts as durable once `sync_folder` returned.
pub trait Disk {
    /// Names of all files, sorted.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or empties an existing one.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to a file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to its first `size` bytes.
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing one of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}
