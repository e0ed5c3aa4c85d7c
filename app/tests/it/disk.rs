//! Disks of control replicas that refuse writes for a while.

use std::fs;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, WAIT_TIMEOUT, fixture, wait_for_answer};

fn declare(version: &str) -> String {
    fixture(
        "keys/declare.http",
        &[("version", version), ("keys", "\"k1\"")],
    )
}

/// Guards against a control process that ends, and ends again at each start, because its disk has room
/// for a probe but not for what opening its folder writes.
#[tokio::test]
async fn replica_whose_folder_does_not_open_at_once_takes_part_later() {
    let mut deployment = Deployment::start(146, 1);
    wait_for_answer(deployment.control(1), &declare("7"), "HTTP/1.1 200").await;
    let leads = |host: &u8| {
        let log = deployment.control_log(*host);
        let last = log.lines().rfind(|l| l.contains("\"role_changed\""));
        last.is_some_and(|l| l.contains("\"role\":\"leader\""))
    };
    let limit = Instant::now() + WAIT_TIMEOUT;
    let leader = loop {
        if let Some(leader) = (1..=3).find(leads) {
            break leader;
        }
        assert!(Instant::now() < limit, "no replica leads");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    let failing = leader % 3 + 1;
    // A folder in the place of the temporary file makes the vote of the next election and the removal
    // of temporary files fail.
    let obstacle = deployment.data(failing).join("state.tmp");
    fs::create_dir(&obstacle).unwrap();
    deployment.restart_control(leader);
    deployment
        .wait_for_control_log(failing, "membership check failed: disk_failed")
        .await;
    fs::remove_dir(&obstacle).unwrap();
    deployment
        .wait_for_control_log(failing, "works again")
        .await;
    wait_for_answer(deployment.control(failing), &declare("8"), "HTTP/1.1 200").await;
    assert!(
        !deployment
            .control_log(failing)
            .contains("exiting for a restart")
    );
}
