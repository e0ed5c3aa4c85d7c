//! Server-sent events, split as their bytes arrive.

use bytes::{Bytes, BytesMut};
use derive_more::Display;

/// Longest event accepted, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event of a stream: its raw bytes with the closing blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event(pub Bytes);

impl Event {
    /// Builds an event that carries `data`, which holds no line break.
    pub fn with_data(data: &str) -> Self {
        Self(Bytes::from(format!("data: {data}\n\n")))
    }

    /// Returns what the `data:` line carries, if there is one.
    pub fn data(&self) -> Option<&str> {
        let text = std::str::from_utf8(&self.0).ok()?;
        text.lines()
            .find_map(|line| line.strip_prefix("data:"))
            .map(str::trim)
    }
}

/// Why a stream cannot be split.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[display("event longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

impl std::error::Error for EventError {}

/// Splits bytes into events; keeps an unfinished event until the rest arrives.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Takes in bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes out the next whole event.
    ///
    /// # Errors
    ///
    /// Fails if an unfinished event is too long.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let Some(end) = self.event_end() else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLong);
            }
            self.scanned = self.buffer.len().saturating_sub(MAX_SEPARATOR - 1);
            return Ok(None);
        };
        self.scanned = 0;
        Ok(Some(Event(self.buffer.split_to(end).freeze())))
    }

    /// Whether bytes of an unfinished event are left.
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
const MAX_SEPARATOR: usize = 4;
