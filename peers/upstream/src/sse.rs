//! Incremental splitting of a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};
use derive_more::Display;

/// Maximum size of an event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

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
        let text = std::str::from_utf8(&self.0).ok()?;
        text.lines()
            .find_map(|line| line.strip_prefix("data:"))
            .map(str::trim)
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
    /// Length of the prefix of `buffer` in which no separator starts.
    scanned: usize,
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
    /// Fails if an incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let Some(end) = self.event_end() else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLong);
            }
            self.scanned = self.buffer.len().saturating_sub(MAX_SEPARATOR_BYTES - 1);
            return Ok(None);
        };
        self.scanned = 0;
        Ok(Some(Event(self.buffer.split_to(end).freeze())))
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn event_end(&self) -> Option<usize> {
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
