//! Reorders the pieces of a streamed answer.
//!
//! Every piece carries its request, attempt and position. Pieces in order are
//! delivered immediately; later ones are buffered within a bounded window. The
//! end carries the total, so a truncated answer is always reported as broken.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{RequestId, Time};

/// Maximum distance in tokens of a buffered token from the next one to deliver.
const REORDER_WINDOW_TOKENS: u64 = 1_024;
/// Maximum wait for a missing piece while later ones are buffered.
const GAP_TIMEOUT: Duration = Duration::from_secs(2);

/// One piece of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Piece<T> {
    /// One token.
    Token {
        /// Answered request.
        request: RequestId,
        /// Attempt that produced the piece.
        attempt: u32,
        /// Index of the token in the answer, starting at 0.
        position: u64,
        /// Content of the token.
        token: T,
    },
    /// End of the answer.
    End {
        /// Answered request.
        request: RequestId,
        /// Attempt that produced the piece.
        attempt: u32,
        /// Number of tokens in the complete answer.
        total: u64,
    },
}

/// Why an answer cannot be completed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A piece did not arrive in time although later ones did.
    #[display("token {_0} is missing")]
    Missing(u64),
    /// A piece is beyond the reorder window.
    #[display("token {_0} lies outside the window")]
    Ahead(u64),
    /// The end contradicts the pieces or another end.
    #[display("the end at {_0} contradicts the answer")]
    Contradiction(u64),
    /// The stream was closed before its end.
    #[display("the stream closed at token {_0} without its end")]
    Closed(u64),
}

/// State of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Further pieces are expected.
    Open,
    /// All tokens have been delivered.
    Whole,
    /// The answer is incomplete.
    Broken(Fault),
}

/// Streamed answer to one request.
#[derive(Clone, Debug, Hash)]
pub struct Assembly<T> {
    request: RequestId,
    attempt: u32,
    next: u64,
    total: Option<u64>,
    buffered: BTreeMap<u64, T>,
    gap_since: Option<Time>,
    fault: Option<Fault>,
}

impl<T> Assembly<T> {
    /// Starts an empty answer that accepts pieces of `attempt`.
    pub fn open(request: RequestId, attempt: u32) -> Self {
        Self {
            request,
            attempt,
            next: 0,
            total: None,
            buffered: BTreeMap::new(),
            gap_since: None,
            fault: None,
        }
    }

    /// Returns the number of tokens delivered, at which a resumed attempt begins.
    pub fn delivered(&self) -> u64 {
        self.next
    }

    /// Returns the state of the answer.
    pub fn progress(&self) -> Progress {
        if let Some(fault) = self.fault {
            return Progress::Broken(fault);
        }
        if self.total == Some(self.next) {
            Progress::Whole
        } else {
            Progress::Open
        }
    }

    /// Accepts a piece and appends the tokens now in order to `out`.
    pub fn push(&mut self, piece: Piece<T>, now: Time, out: &mut Vec<T>) -> Progress {
        if self.progress() != Progress::Open {
            return self.progress();
        }
        match piece {
            Piece::Token {
                request,
                attempt,
                position,
                token,
            } if self.expects(request, attempt) => self.accept(position, token, out),
            Piece::End {
                request,
                attempt,
                total,
            } if self.expects(request, attempt) => self.end(total),
            Piece::Token { .. } | Piece::End { .. } => {}
        }
        self.track_gap(now);
        self.progress()
    }

    /// Marks the answer broken if a piece has been missing for too long.
    pub fn tick(&mut self, now: Time) -> Progress {
        if self.progress() == Progress::Open
            && self.gap_since.is_some_and(|t| now.since(t) >= GAP_TIMEOUT)
        {
            self.fault = Some(Fault::Missing(self.next));
        }
        self.progress()
    }

    /// Records that the current attempt sends no further pieces.
    pub fn close(&mut self) -> Progress {
        if self.progress() == Progress::Open {
            self.fault = Some(Fault::Closed(self.next));
        }
        self.progress()
    }

    /// Continues with a later attempt that begins at [`Assembly::delivered`].
    ///
    /// Pieces of earlier attempts are ignored from then on, since the tokens of
    /// two attempts may differ.
    pub fn resume(&mut self, attempt: u32) {
        if self.progress() == Progress::Whole || attempt <= self.attempt {
            return;
        }
        self.attempt = attempt;
        self.total = None;
        self.buffered.clear();
        self.gap_since = None;
        self.fault = None;
    }

    fn expects(&self, request: RequestId, attempt: u32) -> bool {
        request == self.request && attempt == self.attempt
    }

    fn accept(&mut self, position: u64, token: T, out: &mut Vec<T>) {
        if position < self.next {
            return;
        }
        if self.total.is_some_and(|total| position >= total) {
            self.fault = Some(Fault::Contradiction(position));
            return;
        }
        if position - self.next >= REORDER_WINDOW_TOKENS {
            self.fault = Some(Fault::Ahead(position));
            return;
        }
        if position > self.next {
            self.buffered.entry(position).or_insert(token);
            return;
        }
        out.push(token);
        self.next += 1;
        while let Some(token) = self.buffered.remove(&self.next) {
            out.push(token);
            self.next += 1;
        }
        self.gap_since = None;
    }

    fn end(&mut self, total: u64) {
        let last = self
            .buffered
            .last_key_value()
            .map_or(self.next, |(p, _)| p + 1);
        if total < last || self.total.is_some_and(|total_before| total_before != total) {
            self.fault = Some(Fault::Contradiction(total));
            return;
        }
        self.total = Some(total);
    }

    fn track_gap(&mut self, now: Time) {
        let gap = !self.buffered.is_empty() || self.total.is_some_and(|total| total > self.next);
        if gap && self.gap_since.is_none() {
            self.gap_since = Some(now);
        }
    }
}
