//! Choice of the entries that one answer of the directory lists.
//!
//! With more entries than fit in an answer, each caller gets its own part of them. The
//! part of a caller stays the same while entries come and go, because callers close
//! their connections to entries that are no longer listed.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Returns up to `limit` of the entries for one caller, by the hash of caller and entry.
pub fn list_entries<C>(mut entries: Vec<SocketAddr>, caller: &C, limit: usize) -> Vec<SocketAddr>
where
    C: Hash,
{
    if entries.len() > limit {
        entries.sort_by_cached_key(|entry| hash(&(caller, entry)));
        entries.truncate(limit);
    }
    entries
}

fn hash<T>(value: &T) -> u64
where
    T: Hash,
{
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
