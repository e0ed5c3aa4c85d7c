//! Short soak test of real processes with a fixed seed.

use std::path::PathBuf;
use std::time::Duration;

use pimentotide_soak::{SoakOptions, run};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_soak_violates_no_guarantee() {
    let options = SoakOptions {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_pimentotide")),
        seed: 7,
        faults: Duration::from_secs(6),
        network: 200,
    };
    let report = run(&options).await.expect("the deployment serves");
    assert!(
        report.violations.is_empty(),
        "{:?}\n{:#?}\nlogs: {:?}",
        report.violations,
        report.faults,
        report.logs
    );
    let served = report
        .outcomes
        .iter()
        .find(|(outcome, _)| outcome == "Whole");
    assert!(
        served.is_some_and(|(_, count)| *count > 100),
        "{:?}",
        report.outcomes
    );
}
