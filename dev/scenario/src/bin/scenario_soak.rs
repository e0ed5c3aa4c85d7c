//! Runs scripts under seeds from 1 up to `SEEDS` and prints the failures of each run.
//!
//! Usage: `scenario_soak SEEDS FILE...`

use std::process::ExitCode;

use pimentotide_scenario::{Script, run};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let seeds: u64 = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(10);
    let (mut runs, mut failed) = (0, 0);
    for path in arguments {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let Ok(script) = Script::parse(&text) else {
            println!("{path}: not a script");
            return ExitCode::FAILURE;
        };
        for seed in 1..=seeds {
            let report = run(&script.with_seed(seed));
            runs += 1;
            failed += u64::from(!report.failures.is_empty());
            for failure in report.failures.iter().take(3) {
                println!("{path}, seed {seed}: {failure}");
            }
        }
    }
    println!("{failed} of {runs} runs failed");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
