//! Runs soaks from the command line, one seed after another.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt};
use pimentotide_soak::{Report, SoakOptions, run};

const USAGE: &str = "\
Randomized fault soak of real processes: kills, stops, pauses and reloads processes, disturbs
connections and upstreams, and checks the guarantees of the deployment.

Usage: soak [OPTION]...

Options:
      --seed N       First seed [random]
      --seeds N      Number of consecutive seeds [1]
      --seconds N    Seconds of fault injection per seed [14]
      --loss N       Disks that may be lost at once, of 2 N + 1 [1, 2 for each fifth seed]
      --network N    Third octet of the loopback addresses [1]
      --binary PATH  Binary under test [pimentotide beside this program]
  -h, --help         Show this help

Exits with 1 if a guarantee was violated; prints the seed and a folder with the logs.";

/// Parsed command line.
struct Arguments {
    first: u64,
    count: u64,
    loss: Option<usize>,
    options: SoakOptions,
}

/// One in so many seeds runs a deployment that bears the loss of two disks.
const LARGE_INTERVAL: u64 = 5;

fn main() -> ExitCode {
    let arguments = match parse(Parser::from_env()) {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("soak: {e}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("soak: {e}");
            return ExitCode::FAILURE;
        }
    };
    let mut failed = Vec::new();
    for seed in arguments.first..arguments.first.saturating_add(arguments.count) {
        let options = SoakOptions {
            seed,
            loss: arguments.loss.unwrap_or_else(|| default_loss(seed)),
            ..arguments.options.clone()
        };
        match runtime.block_on(run(&options)) {
            Ok(report) if report.violations.is_empty() => print(seed, &report),
            Ok(report) => {
                print(seed, &report);
                failed.push(seed);
            }
            Err(e) => {
                println!("seed {seed}: {e}");
                failed.push(seed);
            }
        }
    }
    println!("{} seeds, failed: {failed:?}", arguments.count);
    ExitCode::from(u8::from(!failed.is_empty()))
}

fn parse(mut parser: Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let executable = std::env::current_exe().ok();
    let mut arguments = Arguments {
        first: rand::random_range(0..u64::from(u32::MAX)),
        count: 1,
        loss: None,
        options: SoakOptions {
            binary: executable.map_or_else(PathBuf::new, |p| p.with_file_name("pimentotide")),
            seed: 0,
            faults: Duration::from_secs(14),
            loss: 1,
            network: 1,
        },
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("seed") => arguments.first = parser.value()?.parse()?,
            Arg::Long("seeds") => arguments.count = parser.value()?.parse()?,
            Arg::Long("seconds") => {
                arguments.options.faults = Duration::from_secs(parser.value()?.parse()?);
            }
            Arg::Long("loss") => arguments.loss = Some(parser.value()?.parse()?),
            Arg::Long("network") => arguments.options.network = parser.value()?.parse()?,
            Arg::Long("binary") => arguments.options.binary = parser.value()?.into(),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(arguments))
}

fn default_loss(seed: u64) -> usize {
    if seed.is_multiple_of(LARGE_INTERVAL) {
        2
    } else {
        1
    }
}

fn print(seed: u64, report: &Report) {
    let outcomes: Vec<String> = report
        .outcomes
        .iter()
        .map(|(outcome, count)| format!("{outcome} {count}"))
        .collect();
    println!(
        "seed {seed}: {} faults; calls: {}",
        report.faults.len(),
        outcomes.join(", ")
    );
    for violation in &report.violations {
        println!("  violated: {violation}");
    }
    if let Some(logs) = &report.logs {
        for fault in &report.faults {
            println!("  {fault}");
        }
        println!("  logs: {}", logs.display());
    }
}
