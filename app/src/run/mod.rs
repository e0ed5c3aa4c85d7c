//! Runs the roles that a settings file gives.

mod roles;

use std::path::Path;
use std::process::ExitCode;

use crate::options::EXIT_USAGE;
use crate::settings::Settings;

pub use roles::{Roles, RolesError};

/// Checks a settings file and says all that is wrong with it.
pub fn check(path: &Path) -> ExitCode {
    match Settings::open(path) {
        Ok(_) => {
            println!("{}: ok", path.display());
            ExitCode::SUCCESS
        }
        Err(e) => refuse(path, &e),
    }
}

/// Runs the roles of a settings file until the process is told to stop.
pub fn run(path: &Path) -> ExitCode {
    match Settings::open(path) {
        Ok(settings) => roles::run(settings),
        Err(e) => refuse(path, &e),
    }
}

fn refuse(path: &Path, error: &crate::settings::SettingsError) -> ExitCode {
    eprintln!("{}:\n{error}", path.display());
    ExitCode::from(EXIT_USAGE)
}
