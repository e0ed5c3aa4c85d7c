//! Roles of a deployment whose upstreams announce themselves.
//!
//! Control replicas keep the shared state, accept announcements and orders, and
//! serve the directory of entries. Entries follow a replica and send each
//! request directly to an upstream. Agents manage model engines.

mod agent;
mod beacon;
mod compact;
mod control;
mod datagram;
mod directory;
mod entry;
mod replicas;
mod rpc;
mod scrape;
mod settings;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::SystemTime;

use derive_more::{Display, From};
use pimentotide_model::Failure;
use pimentotide_observe::{LogError, Logs};

use crate::lines::{Ready, Reloaded, Stopped, Stopping};
use crate::options::EXIT_USAGE;
use scrape::Scraped;

pub use settings::{FleetSettings, FleetSettingsError, RoleKind};

/// Reason why a process could not start.
#[derive(Debug, Display, From)]
pub enum FleetError {
    /// Logging could not start.
    Logs(LogError),
    /// The settings are unusable.
    Settings(FleetSettingsError),
    /// The settings lack an address that the role needs.
    #[display("the settings lack the address `{_0}`")]
    #[from(ignore)]
    NoAddress(&'static str),
    /// An address could not be bound.
    Address(std::io::Error),
    /// The replica could not start.
    Replica(Failure),
    /// The RPC methods could not be registered.
    #[display("{_0}")]
    #[from(ignore)]
    Methods(String),
}

impl std::error::Error for FleetError {}

/// Returns the time of day, ms since the Unix epoch; zero if the clock is before it.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Runs the role of a settings file until a signal stops the process.
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
    let logs = Logs::open(&settings.log)?;
    let mut stop = crate::signal::stops();
    actix_rt::spawn(log_reloads(path.to_owned()));
    let scraped = scrape::serve(settings.metrics, logs.drops())?;
    let role = Role::spawn(&settings, path, &scraped).await?;
    pimentotide_observe::event(&ready(&settings));
    stop.recv().await;
    pimentotide_observe::event(&Stopping {});
    role.stop().await;
    pimentotide_observe::event(&Stopped {});
    Ok(())
}

/// Role that this process runs.
enum Role {
    Entry(entry::EntryRole),
    Control(Box<control::ControlRole>),
    Agent(agent::AgentRole),
}

impl Role {
    async fn spawn(
        settings: &FleetSettings,
        path: &Path,
        scraped: &Scraped,
    ) -> Result<Self, FleetError> {
        Ok(match settings.role {
            RoleKind::Entry => Self::Entry(entry::EntryRole::spawn(settings, path, scraped)?),
            RoleKind::Control => {
                let role = control::ControlRole::spawn(settings, path, scraped).await?;
                Self::Control(Box::new(role))
            }
            RoleKind::Agent => Self::Agent(agent::AgentRole::spawn(settings, path, scraped).await?),
        })
    }

    async fn stop(self) {
        match self {
            Self::Entry(role) => role.stop().await,
            Self::Control(role) => role.stop().await,
            Self::Agent(role) => role.stop().await,
        }
    }
}

fn ready(settings: &FleetSettings) -> Ready {
    let listen = &settings.listen;
    let served = [
        ("callers", listen.callers),
        ("ready", listen.ready),
        ("control", listen.control),
        ("directory", listen.directory),
        ("calls", Some(settings.calls())),
        ("metrics", settings.metrics),
    ];
    let addresses = served
        .into_iter()
        .filter_map(|(name, address)| Some((name.to_owned(), address?.to_string())));
    Ready {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        roles: vec![settings.role.to_string()],
        addresses: addresses.collect(),
    }
}

/// Validates the settings on each reload signal and logs the result.
///
/// The roles read settings that may change when they need them.
async fn log_reloads(path: PathBuf) {
    let mut reloads = crate::signal::reloads();
    while reloads.recv().await.is_some() {
        let read = FleetSettings::open(&path);
        pimentotide_observe::event(&Reloaded {
            valid: read.is_ok(),
            detail: match read {
                Ok(settings) => format!("seeds {:?}", settings.seeds),
                Err(e) => e.to_string(),
            },
        });
    }
}
