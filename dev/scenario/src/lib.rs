//! Scenario language for failure tests under virtual time.
//!
//! A script names instances and upstreams, starts them, makes faults, offers
//! load and says what is expected; `docs/SCENARIOS.md` has the language. The
//! pure machines of the decision packages run underneath, between small fakes:
//! a table of links, disks in memory, clocks and engines with ledgers of their
//! own. One seed leads to one run.

mod script;
mod world;

use std::fmt;

pub use script::{Script, ScriptError};

/// Most failures that a report shows.
const MAX_SHOWN: usize = 6;

/// What a run left behind.
#[derive(Clone, Debug)]
pub struct Report {
    /// What happened, one line each.
    pub trace: Vec<String>,
    /// Expectations that failed and rules that were broken.
    pub failures: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.trace
            .iter()
            .try_for_each(|line| writeln!(f, "{line}"))?;
        if self.failures.is_empty() {
            return writeln!(f, "passed");
        }
        writeln!(f, "failed")?;
        let shown = self.failures.iter().take(MAX_SHOWN);
        shown.into_iter().try_for_each(|l| writeln!(f, "  {l}"))?;
        match self.failures.len().saturating_sub(MAX_SHOWN) {
            0 => Ok(()),
            more => writeln!(f, "  and {more} more"),
        }
    }
}

/// Runs a script to its end.
pub fn run(script: &Script) -> Report {
    world::play(script)
}
