//! Small but complete deployment in one process.
//!
//! Three availability zones, each with an entry, two stand-in model engines and
//! one stand-in plain service, each behind its own agent. The parts communicate
//! over loopback sockets, as separate processes do.

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

/// Reason why a local deployment fails to start.
#[derive(Debug, Display, From)]
pub enum LocalError {
    /// The logger fails to start.
    Logs(LogError),
    /// A stand-in engine fails to start.
    Engine(EngineError),
    /// An entry, an agent or the control replica fails to start.
    Roles(RolesError),
    /// The temporary data folder of the control replica cannot be created.
    #[display("cannot create a temporary data folder: {_0}")]
    Folder(std::io::Error),
    /// The control replica fails to apply the built-in declarations.
    #[display("cannot apply the built-in declarations: {_0}")]
    Declare(Failure),
    /// The built-in declarations are invalid.
    #[display("the built-in declarations are invalid: {_0}")]
    #[from(ignore)]
    Document(String),
    /// A process has no lease, or an entry lacks an upstream, when the time limit expires.
    #[display("the upstreams did not announce themselves in time")]
    NotReady,
}

impl std::error::Error for LocalError {}

/// Runs a local deployment until the process receives a stop signal.
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
