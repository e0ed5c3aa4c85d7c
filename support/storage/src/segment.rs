//! Log segments: encoding, names and detection of a torn tail.

use pimentotide_consensus::{Entry, Index};
use serde::{Deserialize, Serialize};

use crate::StorageError;
use crate::record;

/// Prefix of segment file names.
const PREFIX: &str = "log-";

/// Returns the file name of segment `number`.
pub(crate) fn name(number: u64) -> String {
    format!("{PREFIX}{number:016}")
}

/// Parses the number of a segment from its file name.
pub(crate) fn number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// Payload of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Content {
    /// First record of a segment, with the index of its first entry.
    Start(Index),
    /// Log entry; replaces all earlier entries from its index on.
    Entry(Entry),
}

/// Body of a record in a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Body {
    /// Bytes of this segment that were synced when the record was written.
    pub(crate) synced: u64,
    /// Payload.
    pub(crate) content: Content,
}

/// Result of scanning a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Scan {
    /// Index in its first record; `None` if that record is incomplete.
    pub(crate) start: Option<Index>,
    /// Entries in the order in which they were written.
    pub(crate) entries: Vec<Entry>,
    /// Bytes of complete records at the start of the file.
    pub(crate) valid: u64,
    /// Size of the file in bytes.
    pub(crate) size: u64,
}

impl Scan {
    /// Returns whether bytes follow the complete records.
    pub(crate) fn is_torn(&self) -> bool {
        self.valid < self.size
    }
}

/// Encodes a body as a record with length and checksum.
pub(crate) fn encode(body: &Body) -> Result<Vec<u8>, StorageError> {
    let bytes = postcard::to_stdvec(body)
        .map_err(|e| StorageError::corrupt(format!("cannot encode a record: {e}")))?;
    let mut out = Vec::with_capacity(bytes.len() + record::HEAD_BYTES);
    record::encode(&bytes, &mut out);
    Ok(out)
}

/// Reads the records of a segment up to the first incomplete or damaged one.
///
/// Fails if a later record proves that the damaged bytes had been synced.
pub(crate) fn scan(name: &str, bytes: &[u8]) -> Result<Scan, StorageError> {
    let mut scan = Scan {
        start: None,
        entries: Vec::new(),
        valid: 0,
        size: bytes.len() as u64,
    };
    let mut at = 0;
    while let Some((body, size)) = read(&bytes[at..]) {
        match body.content {
            Content::Start(index) => scan.start = Some(index),
            Content::Entry(entry) => scan.entries.push(entry),
        }
        at += size;
    }
    scan.valid = at as u64;
    if proves_synced(&bytes[at..], scan.valid) {
        return Err(StorageError::corrupt(format!(
            "{name}: the record at byte {at} is damaged, and a later one shows that it was synced"
        )));
    }
    Ok(scan)
}

fn read(bytes: &[u8]) -> Option<(Body, usize)> {
    let raw = record::decode(bytes)?;
    let body = postcard::from_bytes(raw).ok()?;
    Some((body, raw.len() + record::HEAD_BYTES))
}

/// Returns whether a complete record in `tail` shows that bytes beyond `offset` were synced.
fn proves_synced(tail: &[u8], offset: u64) -> bool {
    (1..tail.len()).any(|at| read(&tail[at..]).is_some_and(|(body, _)| body.synced > offset))
}
