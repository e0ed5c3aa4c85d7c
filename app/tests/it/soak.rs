//! Short soak tests of real processes with fixed seeds.

use std::path::PathBuf;
use std::time::Duration;

use pimentotide_soak::{SoakOptions, run};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_soak_violates_no_guarantee() {
    assert_no_violation(7, 1, 200).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_soak_of_five_replicas_violates_no_guarantee() {
    assert_no_violation(8, 2, 201).await;
}

/// A replica was killed for good 5.3 s after its replacement had started, which lost its disk 0.3 s later: two of four
/// voters were left, and no replica led again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replacement_that_loses_its_disk_leaves_control_with_a_leader() {
    assert_no_violation(11, 1, 202).await;
}

async fn assert_no_violation(seed: u64, loss: usize, network: u8) {
    let options = SoakOptions {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_pimentotide")),
        seed,
        faults: Duration::from_secs(6),
        loss,
        network,
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
