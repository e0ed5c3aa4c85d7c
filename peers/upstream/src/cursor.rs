//! Position in a stream that may continue at another upstream.
//!
//! Only whole events are passed on. When a stream continues elsewhere, what the
//! interrupted upstream sent of an unfinished event is dropped, and events that
//! the caller has already are skipped.

use bytes::{Bytes, BytesMut};
use derive_more::Display;

use crate::sse::{EventError, EventSplitter};

/// Why a stream cannot be passed on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CursorError {
    /// An event is too long.
    #[display("{_0}")]
    Event(EventError),
    /// An event is missing.
    #[display("event {found} follows event {last}")]
    Gap {
        /// Last event passed on.
        last: u64,
        /// Event that came.
        found: u64,
    },
}

impl std::error::Error for CursorError {}

/// Position in a stream.
#[derive(Debug, Default)]
pub struct StreamCursor {
    splitter: EventSplitter,
    last: Option<u64>,
    passed: u64,
}

impl StreamCursor {
    /// Starts behind the event that the caller has.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Events passed on.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Whether part of an event has arrived without its end.
    pub fn is_partial(&self) -> bool {
        self.splitter.is_partial()
    }

    /// Drops what is left of an unfinished event.
    pub fn restart(&mut self) {
        self.splitter = EventSplitter::default();
    }

    /// Takes in bytes and returns the whole events that the caller lacks.
    ///
    /// # Errors
    ///
    /// Fails if an event is missing or too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, CursorError> {
        self.splitter.push(bytes);
        let mut out = BytesMut::new();
        while let Some(event) = self.splitter.next_event().map_err(CursorError::Event)? {
            let id = event_id(&event.0);
            match (id, self.last) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id > last + 1 => {
                    return Err(CursorError::Gap { last, found: id });
                }
                _ => {}
            }
            self.last = id.or(self.last);
            self.passed += 1;
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
