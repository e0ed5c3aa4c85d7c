//! Token bucket.

use pimentotide_model::Time;

/// Bucket that fills at a steady rate up to its size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    size: f64,
    rate: f64,
    held: f64,
    filled: Time,
}

impl RateLimit {
    /// Starts a full bucket of `size` tokens that gains `rate` tokens a second.
    pub fn new(size: f64, rate: f64, now: Time) -> Self {
        Self {
            size,
            rate,
            held: size,
            filled: now,
        }
    }

    /// Changes size and rate, and keeps what is held up to the new size.
    pub fn resize(&mut self, size: f64, rate: f64, now: Time) {
        self.fill(now);
        self.size = size;
        self.rate = rate;
        self.held = self.held.min(size);
    }

    /// Tokens held.
    pub fn available(&mut self, now: Time) -> f64 {
        self.fill(now);
        self.held
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        self.fill(now);
        let enough = self.held >= 1.0;
        if enough {
            self.held -= 1.0;
        }
        enough
    }

    /// Adds `tokens` beside the steady rate.
    pub fn add(&mut self, tokens: f64) {
        self.held = (self.held + tokens).min(self.size);
    }

    fn fill(&mut self, now: Time) {
        let gained = now.since(self.filled).as_secs_f64() * self.rate;
        self.held = (self.held + gained).min(self.size);
        self.filled = self.filled.max(now);
    }
}
