//! Commands `run` and `check` of a settings file.

mod roles;

use std::path::Path;
use std::process::ExitCode;

use crate::options::EXIT_USAGE;
use crate::settings::Settings;

pub use roles::{Roles, RolesError};

/// Checks a settings file and prints every problem.
pub fn check(path: &Path) -> ExitCode {
    match Settings::open(path) {
        Ok(_) => {
            println!("{}: ok", path.display());
            ExitCode::SUCCESS
        }
        Err(e) => reject(path, &e),
    }
}

/// Runs the roles of a settings file until the process receives a stop signal.
pub fn run(path: &Path) -> ExitCode {
    match Settings::open(path) {
        Ok(settings) => roles::run(settings),
        Err(e) => reject(path, &e),
    }
}

fn reject(path: &Path, error: &crate::settings::SettingsError) -> ExitCode {
    eprintln!("{}:\n{error}", path.display());
    ExitCode::from(EXIT_USAGE)
}
