//! Holds requests to a service back while all of its upstreams refuse them.
//!
//! Engines whose group is being formed, or that have just started, refuse each
//! request at once. Sending all that wait again and again would use up the budget
//! of repeats and have callers refused who would be served a moment later. After
//! some refusals in a row only one request at a time is sent, and the others wait
//! until one is not refused. A process begins like that, because the requests
//! that waited for its start would all be sent at once.

use std::time::Duration;

use pimentotide_model::Time;

/// Refusals in a row after which requests are held back; one full upstream alone is none.
const MOST_REFUSED: u32 = 3;
/// Time within which a refusal arrives, and between two requests that try.
const TRY_PAUSE: Duration = Duration::from_millis(120);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Send,
    /// Ask again after this time.
    Wait(Duration),
}

/// What one entry knows of the refusals of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceGate {
    /// Refusals since the last request that was not refused.
    refused: u32,
    /// Time of the last refusal.
    last: Time,
    /// Time at which a request was sent to try, while others are held back.
    tried: Option<Time>,
}

impl ServiceGate {
    /// Decides whether a request may be sent now.
    pub fn admit(&mut self, now: Time) -> Admission {
        if self.refused < MOST_REFUSED {
            return Admission::Send;
        }
        let since = self.tried.unwrap_or(self.last);
        let until = since + TRY_PAUSE;
        if now < until {
            return Admission::Wait(until.since(now));
        }
        if self.tried.is_some() {
            // The one that tried was not refused in time.
            self.record_accepted();
        } else {
            self.tried = Some(now);
        }
        Admission::Send
    }

    /// Notes that an upstream refused a request.
    pub fn record_refused(&mut self, now: Time) {
        self.refused = self.refused.saturating_add(1);
        self.last = now;
        self.tried = None;
    }

    /// Notes that an upstream took a request.
    pub fn record_accepted(&mut self) {
        self.refused = 0;
        self.tried = None;
    }
}

impl Default for ServiceGate {
    /// Holds back all requests but the first until that is not refused.
    fn default() -> Self {
        Self {
            refused: MOST_REFUSED,
            last: Time::ZERO,
            tried: None,
        }
    }
}
