//! Scenario language for failure tests under virtual time.
//!
//! A script declares instances and upstreams, starts them, injects faults,
//! generates load and checks expectations; `docs/SCENARIOS.md` specifies the
//! language. The pure state machines of the decision packages run between small
//! fakes: network links, in-memory disks, clocks and engines that record what
//! they ran. A run is determined by its seed.

mod script;
mod world;

use std::fmt;

pub use script::{Script, ScriptError};

/// Failures that a report prints before it abbreviates the rest.
const MAX_SHOWN_FAILURES: usize = 6;

/// Trace and failures of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Events of the run, one line each.
    pub trace: Vec<String>,
    /// Failed expectations and violated invariants.
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
        let shown = self.failures.iter().take(MAX_SHOWN_FAILURES);
        shown.into_iter().try_for_each(|l| writeln!(f, "  {l}"))?;
        match self.failures.len().saturating_sub(MAX_SHOWN_FAILURES) {
            0 => Ok(()),
            more => writeln!(f, "  and {more} more"),
        }
    }
}

/// Runs a script to its end.
pub fn run(script: &Script) -> Report {
    world::run_script(script)
}
