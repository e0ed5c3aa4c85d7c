//! A whole small deployment in one process.
//!
//! Three availability zones, each with an entry, two stand-in model engines and
//! a stand-in plain service behind an agent each. All talk over loopback
//! sockets, as separate processes would.

mod declared;
mod deployment;

use std::process::ExitCode;

use derive_more::{Display, From};
use pimentotide_caller::CallerError;
use pimentotide_observe::{LogError, Logs};
use pimentotide_standin::EngineError;

use crate::agent::AgentError;
use crate::options::LocalOptions;
use crate::signal;

pub use deployment::Deployment;

/// Why a local deployment could not start.
#[derive(Debug, Display, From)]
pub enum LocalError {
    /// Logging could not start.
    Logs(LogError),
    /// A stand-in could not start.
    Engine(EngineError),
    /// An agent could not start.
    Agent(AgentError),
    /// An entry could not start.
    Entry(CallerError),
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
    pimentotide_observe::event("ready", &deployment.addresses());
    stop.recv().await;
    pimentotide_observe::event("stopping", &());
    deployment.stop().await;
    pimentotide_observe::event("stopped", &());
    Ok(())
}
