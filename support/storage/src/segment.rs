//! Segments of the log: which records a file holds and where a torn tail starts.

use pimentotide_consensus::{Entry, Index};
use serde::{Deserialize, Serialize};

use crate::StorageError;
use crate::record;

/// Start of the names of segments.
const PREFIX: &str = "log-";

/// Name of segment `number`.
pub(crate) fn name(number: u64) -> String {
    format!("{PREFIX}{number:016}")
}

/// Number in the name of a segment.
pub(crate) fn number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Content {
    /// First record of a segment: the position that its first entry will have.
    Start(Index),
    /// An entry; it replaces all entries from its position on.
    Entry(Entry),
}

/// A record of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Body {
    /// Bytes of this segment that were synced when the record was written.
    pub(crate) synced: u64,
    /// Content.
    pub(crate) content: Content,
}

/// What a segment holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Scan {
    /// Position in its first record; none if not even that is whole.
    pub(crate) start: Option<Index>,
    /// Its entries in the order of writing.
    pub(crate) entries: Vec<Entry>,
    /// Bytes of whole records.
    pub(crate) whole: u64,
    /// Bytes of the file.
    pub(crate) size: u64,
}

impl Scan {
    /// Whether something follows the whole records.
    pub(crate) fn is_torn(&self) -> bool {
        self.whole < self.size
    }
}

/// Encodes a record.
pub(crate) fn encode(body: &Body) -> Result<Vec<u8>, StorageError> {
    let bytes = postcard::to_stdvec(body)
        .map_err(|e| StorageError::corrupt(format!("cannot encode a record: {e}")))?;
    let mut out = Vec::with_capacity(bytes.len() + record::HEAD_BYTES);
    record::encode(&bytes, &mut out);
    Ok(out)
}

/// Reads the records of a segment up to the first that is not whole.
///
/// Fails if a later record proves that what is broken had been synced.
pub(crate) fn scan(name: &str, bytes: &[u8]) -> Result<Scan, StorageError> {
    let mut scan = Scan {
        start: None,
        entries: Vec::new(),
        whole: 0,
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
    scan.whole = at as u64;
    if proves_synced(&bytes[at..], scan.whole) {
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

/// Whether a whole record in `tail` says that bytes beyond `offset` were synced.
fn proves_synced(tail: &[u8], offset: u64) -> bool {
    (1..tail.len()).any(|at| read(&tail[at..]).is_some_and(|(body, _)| body.synced > offset))
}
