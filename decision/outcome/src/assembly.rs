//! Puts the pieces of a streamed answer in order.
//!
//! Every piece says which request and which attempt it belongs to and which
//! position it has. Pieces in order pass at once; early ones wait within a
//! bounded window. The end carries the total, so an answer is whole or it is
//! broken, never merely short.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{RequestId, Time};

/// Pieces that may wait for an earlier one.
const MAX_WAITING: u64 = 1_024;
/// Time that a missing piece may take while later ones are here.
const MAX_GAP: Duration = Duration::from_secs(2);

/// One piece of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Piece<T> {
    /// One token.
    Token {
        /// Request that it answers.
        request: RequestId,
        /// Attempt that made it.
        attempt: u32,
        /// Index in the answer.
        position: u64,
        /// The token.
        token: T,
    },
    /// End of the answer.
    End {
        /// Request that it answers.
        request: RequestId,
        /// Attempt that made it.
        attempt: u32,
        /// Tokens in the whole answer.
        total: u64,
    },
}

/// Why an answer cannot become whole.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A piece did not come while later ones did.
    #[display("token {_0} is missing")]
    Missing(u64),
    /// A piece lies too far ahead.
    #[display("token {_0} lies outside the window")]
    Ahead(u64),
    /// The end contradicts the pieces or another end.
    #[display("the end at {_0} contradicts the answer")]
    Contradiction(u64),
    /// The stream was closed before its end.
    #[display("the stream closed at token {_0} without its end")]
    Closed(u64),
}

/// How far an answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// More is to come.
    Open,
    /// All of it has been delivered.
    Whole,
    /// It broke off.
    Broken(Fault),
}

/// Answer to one request while it arrives.
#[derive(Clone, Debug, Hash)]
pub struct Assembly<T> {
    request: RequestId,
    attempt: u32,
    next: u64,
    total: Option<u64>,
    waiting: BTreeMap<u64, T>,
    stuck: Option<Time>,
    fault: Option<Fault>,
}

impl<T> Assembly<T> {
    /// Opens the answer of a request's first attempt.
    pub fn open(request: RequestId, attempt: u32) -> Self {
        Self {
            request,
            attempt,
            next: 0,
            total: None,
            waiting: BTreeMap::new(),
            stuck: None,
            fault: None,
        }
    }

    /// Tokens delivered: the position at which a resumed attempt begins.
    pub fn delivered(&self) -> u64 {
        self.next
    }

    /// How far the answer has come.
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

    /// Takes in a piece and appends to `out` all that is now in order.
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
            } if self.expects(request, attempt) => self.take(position, token, out),
            Piece::End {
                request,
                attempt,
                total,
            } if self.expects(request, attempt) => self.end(total),
            Piece::Token { .. } | Piece::End { .. } => {}
        }
        self.watch_gap(now);
        self.progress()
    }

    /// Breaks the answer if a piece has been missing for too long.
    pub fn tick(&mut self, now: Time) -> Progress {
        if self.progress() == Progress::Open && self.stuck.is_some_and(|t| now.since(t) >= MAX_GAP)
        {
            self.fault = Some(Fault::Missing(self.next));
        }
        self.progress()
    }

    /// Notes that the current attempt sends no more.
    pub fn close(&mut self) -> Progress {
        if self.progress() == Progress::Open {
            self.fault = Some(Fault::Closed(self.next));
        }
        self.progress()
    }

    /// Goes on with a later attempt that begins at [`Assembly::delivered`].
    ///
    /// Pieces of earlier attempts are ignored from now on, since two attempts
    /// need not agree on what follows.
    pub fn resume(&mut self, attempt: u32) {
        if self.progress() == Progress::Whole || attempt <= self.attempt {
            return;
        }
        self.attempt = attempt;
        self.total = None;
        self.waiting.clear();
        self.stuck = None;
        self.fault = None;
    }

    fn expects(&self, request: RequestId, attempt: u32) -> bool {
        request == self.request && attempt == self.attempt
    }

    fn take(&mut self, position: u64, token: T, out: &mut Vec<T>) {
        if position < self.next {
            return;
        }
        if self.total.is_some_and(|total| position >= total) {
            self.fault = Some(Fault::Contradiction(position));
            return;
        }
        if position - self.next >= MAX_WAITING {
            self.fault = Some(Fault::Ahead(position));
            return;
        }
        if position > self.next {
            self.waiting.entry(position).or_insert(token);
            return;
        }
        out.push(token);
        self.next += 1;
        while let Some(token) = self.waiting.remove(&self.next) {
            out.push(token);
            self.next += 1;
        }
        self.stuck = None;
    }

    fn end(&mut self, total: u64) {
        let last = self
            .waiting
            .last_key_value()
            .map_or(self.next, |(p, _)| p + 1);
        if total < last || self.total.is_some_and(|known| known != total) {
            self.fault = Some(Fault::Contradiction(total));
            return;
        }
        self.total = Some(total);
    }

    fn watch_gap(&mut self, now: Time) {
        let gap = !self.waiting.is_empty() || self.total.is_some_and(|total| total > self.next);
        if gap && self.stuck.is_none() {
            self.stuck = Some(now);
        }
    }
}
