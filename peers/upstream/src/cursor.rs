//! Position in an event stream that may resume on another upstream.
//!
//! Only complete events are forwarded. When a stream resumes on another
//! upstream, the partial event from the interrupted one is discarded, and events
//! that the caller has already received are skipped.

use bytes::{Bytes, BytesMut};
use derive_more::Display;

use crate::sse::{EventError, EventSplitter};

/// Failure to forward a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CursorError {
    /// An event is too long.
    #[display("{_0}")]
    Event(EventError),
    /// The event identifiers have a gap.
    #[display("event {found} follows event {last}")]
    Gap {
        /// Identifier of the last forwarded event.
        last: u64,
        /// Identifier of the received event.
        found: u64,
    },
}

impl std::error::Error for CursorError {}

/// Position in an event stream.
#[derive(Debug, Default)]
pub struct StreamCursor {
    splitter: EventSplitter,
    last: Option<u64>,
    forwarded: u64,
    /// Identifier of the last skipped event of the current upstream.
    skipped: Option<u64>,
    progress: u64,
}

impl StreamCursor {
    /// Creates a cursor positioned after event `last`; `None` starts at the beginning.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Returns the identifier of the last event that the caller has received.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of forwarded events.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Returns the number of events that brought the stream forward: those forwarded, and those
    /// skipped in ascending order.
    ///
    /// An upstream that repeats one event makes no progress.
    pub fn progress(&self) -> u64 {
        self.progress
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        self.splitter.is_partial()
    }

    /// Discards an incomplete event before the stream resumes on another upstream.
    pub fn discard_partial(&mut self) {
        self.splitter = EventSplitter::default();
        self.skipped = None;
    }

    /// Appends received bytes and returns the complete events that the caller has not received.
    ///
    /// # Errors
    ///
    /// Fails if the event identifiers have a gap or an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, CursorError> {
        self.splitter.push(bytes);
        let mut out = BytesMut::new();
        while let Some(event) = self.splitter.next_event().map_err(CursorError::Event)? {
            let id = event_id(&event.0);
            match (id, self.last) {
                (Some(id), Some(last)) if id <= last => {
                    if self.skipped.is_none_or(|skipped| id > skipped) {
                        self.skipped = Some(id);
                        self.progress += 1;
                    }
                    continue;
                }
                (Some(id), Some(last)) if id > last + 1 => {
                    return Err(CursorError::Gap { last, found: id });
                }
                _ => {}
            }
            self.last = id.or(self.last);
            self.forwarded += 1;
            self.progress += 1;
            out.extend_from_slice(&event.0);
        }
        Ok(out.freeze())
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}
