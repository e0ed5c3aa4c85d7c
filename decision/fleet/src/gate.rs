//! Gate that delays requests to a service while all of its upstreams refuse them.
//!
//! Engines that have just started or whose group is forming refuse each request
//! at once. Retrying all waiting requests would use up the retry budget and fail
//! callers that could be served a moment later. After several consecutive refusals
//! only one probe at a time is sent, and the others wait until one is accepted. The
//! gate starts closed: requests queued during start-up would all be sent at once.

use std::time::Duration;

use pimentotide_model::Time;

/// Consecutive refusals that close the gate; a single full upstream does not.
const REFUSAL_THRESHOLD: u32 = 3;
/// Interval between probes; a probe that is not refused within it counts as accepted.
const PROBE_INTERVAL: Duration = Duration::from_millis(120);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent now.
    Send,
    /// Check again after this time.
    Wait(Duration),
}

/// Gate of one service at one entry.
#[derive(Clone, Copy, Debug)]
pub struct ServiceGate {
    /// Consecutive refusals.
    refusals: u32,
    /// Time of the last refusal.
    last_refusal: Time,
    /// Time at which the current probe was sent; `None` if there is none.
    probe_sent: Option<Time>,
}

impl ServiceGate {
    /// Decides whether a request may be sent now.
    pub fn admit(&mut self, now: Time) -> Admission {
        if self.refusals < REFUSAL_THRESHOLD {
            return Admission::Send;
        }
        let last = self.probe_sent.unwrap_or(self.last_refusal);
        let until = last + PROBE_INTERVAL;
        if now < until {
            return Admission::Wait(until.since(now));
        }
        if self.probe_sent.is_some() {
            // The probe was not refused in time.
            self.record_accepted();
        } else {
            self.probe_sent = Some(now);
        }
        Admission::Send
    }

    /// Records a request that an upstream refused.
    pub fn record_refused(&mut self, now: Time) {
        self.refusals = self.refusals.saturating_add(1);
        self.last_refusal = now;
        self.probe_sent = None;
    }

    /// Records a request that an upstream accepted; opens the gate.
    pub fn record_accepted(&mut self) {
        self.refusals = 0;
        self.probe_sent = None;
    }
}

impl Default for ServiceGate {
    /// Creates a closed gate, which admits one probe.
    fn default() -> Self {
        Self {
            refusals: REFUSAL_THRESHOLD,
            last_refusal: Time::ZERO,
            probe_sent: None,
        }
    }
}
