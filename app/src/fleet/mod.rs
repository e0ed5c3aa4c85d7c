//! Roles of a deployment whose upstreams announce themselves.
//!
//! Control replicas keep the shared state, take announcements and orders, and
//! say which entries to use. Entries follow a replica and send each request
//! straight to an upstream.

mod agent;
mod beacon;
mod control;
mod datagram;
mod directory;
mod entry;
mod news;
mod replicas;
mod scrape;
mod settings;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::SystemTime;

use derive_more::{Display, From};
use pimentotide_model::Failure;
use pimentotide_observe::{LogError, Logs};
use serde::Serialize;

use crate::options::EXIT_USAGE;

pub use settings::{FleetSettings, FleetSettingsError, RoleKind};

/// Why a process could not start.
#[derive(Debug, Display, From)]
pub enum FleetError {
    /// Logging could not start.
    Logs(LogError),
    /// The settings cannot be used.
    Settings(FleetSettingsError),
    /// The settings lack an address that the role needs.
    #[display("the settings lack the address `{_0}`")]
    #[from(ignore)]
    NoAddress(&'static str),
    /// An address could not be bound.
    Address(std::io::Error),
    /// The replica could not start.
    Replica(Failure),
    /// The methods for other processes could not be registered.
    #[display("{_0}")]
    #[from(ignore)]
    Methods(String),
}

impl std::error::Error for FleetError {}

/// Time of day, ms of the Unix epoch; zero for a clock before it.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

#[derive(Serialize)]
struct Ready<'a> {
    instance: &'a str,
    zone: &'a str,
    role: RoleKind,
}

/// Runs the role that a settings file gives until the process is told to stop.
pub fn run(path: &Path) -> ExitCode {
    let settings = match FleetSettings::open(path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: {e}", path.display());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match actix_rt::System::new().block_on(serve(path, settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pimentotide: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(path: &Path, settings: FleetSettings) -> Result<(), FleetError> {
    let _logs = Logs::open(&settings.log)?;
    let mut stop = crate::signal::stops();
    actix_rt::spawn(note_reloads(path.to_owned()));
    let metrics = scrape::serve(settings.metrics)?;
    let ready = Ready {
        instance: &settings.instance,
        zone: &settings.zone,
        role: settings.role,
    };
    match settings.role {
        RoleKind::Control => {
            let role = control::ControlRole::spawn(&settings, path, metrics).await?;
            pimentotide_observe::event("ready", &ready);
            stop.recv().await;
            pimentotide_observe::event("stopping", &());
            role.stop().await;
        }
        RoleKind::Entry => {
            let role = entry::EntryRole::spawn(&settings, path, metrics)?;
            pimentotide_observe::event("ready", &ready);
            stop.recv().await;
            pimentotide_observe::event("stopping", &());
            role.stop().await;
        }
        RoleKind::Agent => {
            let role = agent::AgentRole::spawn(&settings, path, metrics).await?;
            pimentotide_observe::event("ready", &ready);
            stop.recv().await;
            pimentotide_observe::event("stopping", &());
            role.stop().await;
        }
    }
    pimentotide_observe::event("stopped", &());
    Ok(())
}

/// Checks changed settings and says so; the roles read what may change when they need it.
async fn note_reloads(path: PathBuf) {
    let mut reloads = crate::signal::reloads();
    while reloads.recv().await.is_some() {
        match FleetSettings::open(&path) {
            Ok(settings) => log::info!("settings reloaded, seeds {:?}", settings.seeds),
            Err(e) => log::error!("changed settings are not used: {}: {e}", path.display()),
        }
    }
}
