//! Token bucket that limits a rate.

use std::time::Duration;

use pimentotide_model::Time;

/// Token bucket that refills at a steady rate up to its size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    size: f64,
    rate: f64,
    available: f64,
    refilled_at: Time,
}

impl RateLimit {
    /// Creates a full bucket of `size` tokens that gains `rate` tokens per second.
    pub fn new(size: f64, rate: f64, now: Time) -> Self {
        Self {
            size,
            rate,
            available: size,
            refilled_at: now,
        }
    }

    /// Creates an empty bucket of `size` tokens that gains `rate` tokens per second.
    pub fn empty(size: f64, rate: f64, now: Time) -> Self {
        Self {
            available: 0.0,
            ..Self::new(size, rate, now)
        }
    }

    /// Returns the time until a token is available; `None` if there never is.
    pub fn time_until_one(&mut self, now: Time) -> Option<Duration> {
        self.refill(now);
        let missing = (1.0 - self.available).max(0.0);
        if missing > 0.0 && (self.rate <= 0.0 || self.size < 1.0) {
            return None;
        }
        Duration::try_from_secs_f64(missing / self.rate.max(f64::MIN_POSITIVE)).ok()
    }

    /// Changes size and rate; tokens beyond the new size are dropped.
    pub fn resize(&mut self, size: f64, rate: f64, now: Time) {
        self.refill(now);
        self.size = size;
        self.rate = rate;
        self.available = self.available.min(size);
    }

    /// Returns the tokens available, which may be a fraction.
    pub fn available(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.available
    }

    /// Takes one token; false if there is none.
    pub fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        let enough = self.available >= 1.0;
        if enough {
            self.available -= 1.0;
        }
        enough
    }

    /// Adds `tokens` on top of the steady rate, up to the size.
    pub fn add(&mut self, tokens: f64) {
        self.available = (self.available + tokens).min(self.size);
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.available = (self.available + gained).min(self.size);
        self.refilled_at = self.refilled_at.max(now);
    }
}
