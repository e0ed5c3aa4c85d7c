//! What the operating system knows of this process.

use std::fs;

/// Resident memory, bytes; none where the system does not tell.
pub fn memory_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib << 10)
}

/// Open descriptors; none where the system does not tell.
pub fn open_descriptors() -> Option<u64> {
    let open = fs::read_dir("/proc/self/fd").ok()?;
    Some(open.count() as u64)
}
