//! Resource usage of this process, from `/proc`.

use std::fs;

/// Returns the resident memory in bytes; `None` if `/proc` is unavailable.
pub fn memory_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib << 10)
}

/// Returns the number of open file descriptors; `None` if `/proc` is unavailable.
pub fn open_descriptors() -> Option<u64> {
    let open = fs::read_dir("/proc/self/fd").ok()?;
    Some(open.count() as u64)
}
