//! Incremental splitting of a byte stream into server-sent events.
//!
//! Comment lines and blank lines alone are no event. They stay in front of the next event, so that
//! a peer that sends nothing else makes no progress.

use bytes::{Bytes, BytesMut};
use derive_more::Display;

/// Maximum size of an event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Names of the fields of an event.
const FIELDS: [&[u8]; 4] = [b"data", b"id", b"event", b"retry"];

/// Raw bytes of one event, including the terminating blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event(pub Bytes);

impl Event {
    /// Builds an event with one `data:` line; `data` must not contain a line break.
    pub fn with_data(data: &str) -> Self {
        Self(Bytes::from(format!("data: {data}\n\n")))
    }

    /// Returns the trimmed value of the first `data:` line, if any.
    pub fn data(&self) -> Option<&str> {
        self.value("data:")
    }

    /// Returns the number in the first `id:` line, if any.
    pub fn id(&self) -> Option<u64> {
        self.value("id:")?.parse().ok()
    }

    /// Returns whether a line begins with the name of a field of an event.
    pub fn has_field(&self) -> bool {
        self.0.split(|byte| *byte == b'\n').any(|line| {
            let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
            FIELDS.contains(&name.trim_ascii_end())
        })
    }

    fn value(&self, field: &str) -> Option<&str> {
        let text = std::str::from_utf8(&self.0).ok()?;
        let mut lines = text.lines();
        let value = lines.find_map(|line| line.strip_prefix(field))?;
        Some(value.trim())
    }
}

/// Failure to split a stream into events.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[display("event longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

impl std::error::Error for EventError {}

/// Splits bytes into events and buffers an incomplete event until the rest arrives.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the prefix of `buffer` in which no separator starts, or only those of comments.
    scanned: usize,
    /// Length of the prefix of `buffer` that consists of complete comments.
    comments: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or `None` until it has arrived.
    ///
    /// # Errors
    ///
    /// Fails if an incomplete event and the comments before it exceed [`MAX_EVENT_BYTES`].
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        while let Some(end) = self.block_end() {
            if is_comment(&self.buffer[self.comments..end]) {
                self.comments = end;
                self.scanned = end;
                continue;
            }
            self.scanned = 0;
            self.comments = 0;
            return Ok(Some(Event(self.buffer.split_to(end).freeze())));
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        let unscanned = self.buffer.len().saturating_sub(MAX_SEPARATOR_BYTES - 1);
        self.scanned = unscanned.max(self.comments);
        Ok(None)
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn is_partial(&self) -> bool {
        !is_comment(&self.buffer[self.comments..])
    }

    fn block_end(&self) -> Option<usize> {
        let rest = &self.buffer[self.scanned..];
        let ends = SEPARATORS.iter().filter_map(|s| {
            let at = rest.windows(s.len()).position(|w| w == *s)?;
            Some(self.scanned + at + s.len())
        });
        ends.min()
    }
}

const SEPARATORS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
const MAX_SEPARATOR_BYTES: usize = 4;

/// Returns whether `block` has only comment lines and blank lines.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}
