//! Faults that a test or an experiment sets on a stand-in engine.

use serde::{Deserialize, Serialize};

/// How the engine behaves from now on; posted as JSON to `/control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Restarts cold at once; what runs is broken off.
    pub restart: bool,
    /// Accepts work and makes no progress.
    pub stall: bool,
    /// Factor on all delays.
    pub slowness: f64,
    /// Requests whose body holds this text crash the engine.
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
