//! A whole small deployment in one process.
//!
//! Three availability zones, each with an entry, two stand-in model engines and
//! a stand-in plain service behind an agent each. All talk over loopback
//! sockets, as separate processes would.

mod deployment;

use std::process::ExitCode;

use derive_more::{Display, From};
use pimentotide_model::Failure;
use pimentotide_observe::{LogError, Logs};
use pimentotide_standin::EngineError;

use crate::lines::{Ready, Stopped, Stopping};
use crate::options::LocalOptions;
use crate::run::RolesError;
use crate::signal;

pub use deployment::{Deployment, reserve_port};

/// Why a local deployment could not start.
#[derive(Debug, Display, From)]
pub enum LocalError {
    /// Logging could not start.
    Logs(LogError),
    /// A stand-in could not start.
    Engine(EngineError),
    /// An entry, an agent or the control replica could not start.
    Roles(RolesError),
    /// No folder for the data of the control replica.
    #[display("no temporary folder: {_0}")]
    Folder(std::io::Error),
    /// The built-in declarations could not be brought into force.
    #[display("the declarations are not in force: {_0}")]
    Declare(Failure),
    /// The built-in declarations are wrong.
    #[display("the declarations are wrong: {_0}")]
    #[from(ignore)]
    Document(String),
    /// The upstreams did not announce themselves in time.
    #[display("the upstreams did not announce themselves in time")]
    NotReady,
}

impl std::error::Error for LocalError {}

/// Runs a local deployment until it is told to stop.
pub fn run(options: &LocalOptions) -> ExitCode {
    match actix_rt::System::new().block_on(run_until_stopped(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pimentotide: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run_until_stopped(options: &LocalOptions) -> Result<(), LocalError> {
    let _logs = Logs::open(&options.log)?;
    let mut stop = signal::stops();
    let deployment = Deployment::spawn(options).await?;
    pimentotide_observe::event(&ready(&deployment.addresses()));
    stop.recv().await;
    pimentotide_observe::event(&Stopping {});
    deployment.stop().await;
    pimentotide_observe::event(&Stopped {});
    Ok(())
}

fn ready(addresses: &deployment::Addresses) -> Ready {
    let entries = addresses.entries.iter().enumerate();
    let entries = entries.map(|(n, a)| (format!("entry-{}", n + 1), a.to_string()));
    let upstreams = addresses.upstreams.iter().enumerate();
    let upstreams = upstreams.map(|(n, a)| (format!("upstream-{}", n + 1), a.to_string()));
    let operator = addresses
        .operator
        .map(|a| ("operator".to_owned(), a.to_string()));
    Ready {
        instance: "local".to_owned(),
        zone: String::new(),
        roles: vec!["local".to_owned()],
        addresses: entries.chain(upstreams).chain(operator).collect(),
    }
}
