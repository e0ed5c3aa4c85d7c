//! Starts the roles of one process and stops them gracefully.

use std::process::ExitCode;

use crate::settings::Settings;

/// Runs all roles that the settings give.
pub(super) fn run(_settings: Settings) -> ExitCode {
    ExitCode::FAILURE
}
