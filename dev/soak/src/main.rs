//! Runs soaks from the command line, one seed after another.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt};
use pimentotide_soak::{Report, SoakOptions, run};

const USAGE: &str = "\
Randomized fault soak of real processes: kills, stops, pauses and reloads processes, disturbs
connections and upstreams, and checks what the deployment promises.

Usage: soak [OPTION]...

Options:
      --seed N       First seed [drawn]
      --seeds N      Number of seeds, one after another [1]
      --seconds N    Time for which faults are injected, for each seed [14]
      --network N    Second to last number of the loopback addresses [1]
      --binary PATH  Binary under test [pimentotide beside this program]
  -h, --help         Show this help

Exits with 1 if a promise was broken; the seed and a folder with the logs are printed.";

/// What the command line asks for.
struct Asked {
    first: u64,
    count: u64,
    options: SoakOptions,
}

fn main() -> ExitCode {
    let asked = match parse(Parser::from_env()) {
        Ok(Some(asked)) => asked,
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
    for seed in asked.first..asked.first.saturating_add(asked.count) {
        let options = SoakOptions {
            seed,
            ..asked.options.clone()
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
    println!("{} seeds, failed: {failed:?}", asked.count);
    ExitCode::from(u8::from(!failed.is_empty()))
}

fn parse(mut parser: Parser) -> Result<Option<Asked>, lexopt::Error> {
    let beside = std::env::current_exe().ok();
    let mut asked = Asked {
        first: rand::random_range(0..u64::from(u32::MAX)),
        count: 1,
        options: SoakOptions {
            binary: beside.map_or_else(PathBuf::new, |p| p.with_file_name("pimentotide")),
            seed: 0,
            faults: Duration::from_secs(14),
            network: 1,
        },
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("seed") => asked.first = parser.value()?.parse()?,
            Arg::Long("seeds") => asked.count = parser.value()?.parse()?,
            Arg::Long("seconds") => {
                asked.options.faults = Duration::from_secs(parser.value()?.parse()?);
            }
            Arg::Long("network") => asked.options.network = parser.value()?.parse()?,
            Arg::Long("binary") => asked.options.binary = parser.value()?.into(),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(asked))
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
        println!("  broken: {violation}");
    }
    if let Some(logs) = &report.logs {
        for fault in &report.faults {
            println!("  {fault}");
        }
        println!("  logs: {}", logs.display());
    }
}
