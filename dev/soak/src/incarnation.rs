//! Incarnations of a stand-in upstream, one after the other, and their drains.
//!
//! Faults overlap: the incarnation that one of them drains may have ended and been replaced
//! before the drain is over.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Number of the present incarnation, and whether it drains.
#[derive(Debug, Default)]
pub struct IncarnationState {
    number: u64,
    draining: Arc<AtomicBool>,
}

impl IncarnationState {
    /// Begins the next incarnation and returns its number, from 1.
    pub fn start(&mut self) -> u64 {
        self.number += 1;
        self.draining = Arc::default();
        self.number
    }

    /// Begins the drain of the present incarnation and returns its number; `None` if it drains already.
    pub fn start_drain(&self) -> Option<u64> {
        let drains = self.draining.swap(true, Ordering::SeqCst);
        (!drains).then_some(self.number)
    }

    /// Whether the incarnation `number` is the present one.
    pub fn is_present(&self, number: u64) -> bool {
        self.number == number
    }

    /// Returns the flag that is set once the present incarnation drains.
    pub fn draining(&self) -> Arc<AtomicBool> {
        self.draining.clone()
    }
}
