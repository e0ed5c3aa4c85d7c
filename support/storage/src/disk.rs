//! File operations used by the storage.

use std::io;

/// Flat folder of files.
///
/// The content of a file is durable once [`Disk::sync`] has returned; created,
/// renamed and removed names are durable once [`Disk::sync_folder`] has returned.
pub trait Disk {
    /// Returns the names of all files, sorted.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads a complete file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates an existing one.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to an existing file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to its first `size` bytes.
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing an existing file at the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; durable after the next [`Disk::sync_folder`].
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}
