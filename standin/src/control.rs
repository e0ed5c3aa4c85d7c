//! Faults that tests and experiments inject into a stand-in engine.

use serde::{Deserialize, Serialize};

/// Faults in effect from now on; posted as JSON to `/control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Restarts the engine cold at once and aborts its runs.
    pub restart: bool,
    /// Accepts requests but makes no progress on them.
    pub stall: bool,
    /// Factor applied to all delays, at least 0.01.
    pub slowness: f64,
    /// Requests whose body contains this text crash the engine; `None` disables it.
    pub crash_on: Option<String>,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            restart: false,
            stall: false,
            slowness: 1.0,
            crash_on: None,
        }
    }
}
