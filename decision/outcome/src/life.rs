//! Tells the death of an upstream from the failure of one request.
//!
//! A request that breaks off may have lost only its connection. The upstream's
//! next announcements tell: a newer start means that it died, and so does
//! silence. One more announcement of the same start proves nothing, since it may
//! have been sent before the break; the one after it was sent later, because an
//! upstream sends an announcement only once the one before it is answered.

use pimentotide_model::Incarnation;

/// Announcements of the same start after a break that prove that it lives on.
const PROOF: u64 = 2;

/// Announcements of an upstream so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignOfLife {
    /// Start that it announced last.
    pub start: Incarnation,
    /// Number of announcements.
    pub count: u64,
}

impl SignOfLife {
    /// Takes in one announcement.
    pub fn announced(&mut self, start: Incarnation) {
        self.start = start;
        self.count += 1;
    }

    /// Whether the start `incarnation` died; none while that is open.
    ///
    /// `at_break` is the sign of life when the request broke off.
    pub fn has_died(self, at_break: Self, incarnation: Incarnation) -> Option<bool> {
        if self.start > incarnation {
            Some(true)
        } else if self.count >= at_break.count + PROOF {
            Some(false)
        } else {
            None
        }
    }
}
