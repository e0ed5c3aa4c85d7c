//! Position in an event stream that may resume on another upstream.
//!
//! Only complete events are forwarded. Those before a fault are the caller's, and a resumed stream goes
//! on after them. When a stream resumes on another
//! upstream, the partial event from the interrupted one is discarded, and events
//! that the caller has already received are skipped.

use bytes::{Bytes, BytesMut};
use derive_more::Display;

use crate::sse::{Event, EventError, EventSplitter, MAX_EVENT_BYTES};

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
    /// A block has no field of an event.
    #[display("a block is no event")]
    Malformed,
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
    /// Events without an identifier that follow `last`.
    held: BytesMut,
    held_count: u64,
    fault: Option<CursorError>,
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

    /// Discards incomplete and held events before the stream resumes on another upstream.
    pub fn discard_partial(&mut self) {
        self.splitter = EventSplitter::default();
        self.skipped = None;
        self.held.clear();
        self.held_count = 0;
        self.fault = None;
    }

    /// Returns whether complete events without an identifier are held back.
    pub fn is_holding(&self) -> bool {
        !self.held.is_empty()
    }

    /// Returns the fault that ends the current upstream's part of the stream.
    ///
    /// The events before it were returned by [`push`](Self::push) and are the caller's.
    pub fn fault(&self) -> Option<CursorError> {
        self.fault
    }

    /// Appends received bytes and returns the complete events that the caller has not received.
    ///
    /// The events before a fault are returned without an error; [`fault`](Self::fault) then reports it.
    ///
    /// # Errors
    ///
    /// Fails if the event identifiers have a gap, or an event is malformed or too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, CursorError> {
        self.splitter.push(bytes);
        let mut out = BytesMut::new();
        while self.fault.is_none() {
            match self.next_event() {
                Ok(Some(event)) => out.extend_from_slice(&event),
                Ok(None) => break,
                Err(fault) => self.fault = Some(fault),
            }
        }
        match self.fault {
            Some(fault) if out.is_empty() => Err(fault),
            _ => Ok(out.freeze()),
        }
    }

    /// Returns the events that were held back, at the regular end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.forwarded += std::mem::take(&mut self.held_count);
        self.held.split().freeze()
    }

    /// Returns the next event for the caller, after those that were held back for it.
    fn next_event(&mut self) -> Result<Option<Bytes>, CursorError> {
        while let Some(event) = self.splitter.next_event().map_err(CursorError::Event)? {
            let id = event.id();
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
                (None, _) if !event.has_field() => return Err(CursorError::Malformed),
                (None, Some(_)) => {
                    self.hold(&event)?;
                    continue;
                }
                _ => {}
            }
            self.last = id.or(self.last);
            self.progress += 1;
            self.forwarded += 1;
            if self.held.is_empty() {
                return Ok(Some(event.0));
            }
            self.held.extend_from_slice(&event.0);
            return Ok(Some(self.finish()));
        }
        Ok(None)
    }

    /// Holds back an event without an identifier in a stream whose events have identifiers.
    ///
    /// It may stand in place of a spoilt one, as the next identifier shows.
    fn hold(&mut self, event: &Event) -> Result<(), CursorError> {
        if self.held.len() + event.0.len() > MAX_EVENT_BYTES {
            return Err(CursorError::Event(EventError::TooLong));
        }
        self.held.extend_from_slice(&event.0);
        self.held_count += 1;
        self.progress += 1;
        Ok(())
    }
}
