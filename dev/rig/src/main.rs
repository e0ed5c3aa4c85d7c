//! Real-process rig: a whole deployment on loopback, open-loop load, one fault.
//!
//! Starts the shipped binary as separate processes with stand-in upstreams, offers load, injects one
//! fault and ends it. Latency counts from the intended start of a request. Which requests ran is
//! read from the ledgers of the stand-ins, independently of the binary under test.

mod caller;
mod deployment;
mod fault;
mod options;
mod report;
mod settings;
mod verdict;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use crate::caller::{Callers, Sample};
use crate::deployment::Deployment;
use crate::options::Options;
use crate::report::{Phases, Report};

/// Load before the steady phase, excluded from its figures.
const WARM_UP: Duration = Duration::from_secs(8);

/// Load of the steady phase, before the fault.
const STEADY: Duration = Duration::from_secs(10);

/// Duration of the fault.
const FAULT_DURATION: Duration = Duration::from_secs(12);

/// Load after the end of the fault.
const RECOVERY: Duration = Duration::from_secs(12);

fn main() -> ExitCode {
    let options = match options::parse(lexopt::Parser::from_env()) {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{}", options::USAGE);
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("pimentotide-rig: {e}\n\n{}", options::USAGE);
            return ExitCode::from(2);
        }
    };
    match actix_rt::System::new().block_on(run_all(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pimentotide-rig: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run_all(options: &Options) -> Result<(), String> {
    let mut reports = Vec::new();
    for binary in &options.binaries {
        let report = run(options, binary).await?;
        print!("{}", report.table());
        reports.push(report);
    }
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(&reports).map_err(|e| e.to_string())?;
        std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(())
}

async fn run(options: &Options, binary: &std::path::Path) -> Result<Report, String> {
    let mut deployment = Deployment::spawn(options, binary).await?;
    deployment.wait_until_ready().await?;
    let callers = Callers::spawn(options, deployment.entry_addresses(), deployment.zones());
    let start = Instant::now();
    tokio::time::sleep(WARM_UP + STEADY).await;
    let fault_start = start.elapsed();
    fault::inject(options.fault, &mut deployment).await?;
    tokio::time::sleep(FAULT_DURATION).await;
    let fault_end = start.elapsed();
    fault::heal(options.fault, &mut deployment).await?;
    tokio::time::sleep(RECOVERY).await;
    let samples: Vec<Sample> = callers.stop().await;
    let phases = Phases {
        steady: WARM_UP,
        fault_start,
        fault_end,
        end: start.elapsed(),
    };
    let ledgers = deployment.ledgers();
    let usage = deployment.usage();
    deployment.stop().await;
    Ok(Report::new(
        options, binary, &phases, &samples, &ledgers, usage,
    ))
}
