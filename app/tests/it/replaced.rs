//! Replacement of control replicas.

use std::time::Duration;

use crate::deployment::{Deployment, WAIT_TIMEOUT, fixture, send_request, wait_for_answer};

/// Time after which the replicas have to bear the next loss; the default of `bounds.settle_ms`.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Host of the replacement.
const REPLACEMENT: u8 = 9;

fn declare(version: &str) -> String {
    fixture(
        "keys/declare.http",
        &[("version", version), ("keys", "\"k1\"")],
    )
}

/// Guards against control without a leader for good, after a replica was replaced and the disk of
/// another one was lost once the replicas had settled.
#[tokio::test]
async fn disk_is_lost_soon_after_a_replica_was_replaced() {
    let mut deployment = Deployment::start(26, 1);
    wait_for_answer(deployment.control(1), &declare("7"), "HTTP/1.1 200").await;
    deployment.add_control(REPLACEMENT);
    deployment
        .wait_for_control_log(REPLACEMENT, "\"role\":\"follower\"")
        .await;
    for host in 1..=3 {
        let log = deployment.control_log(host);
        assert!(!log.contains("\"change\":\"remove\""), "{log}");
    }
    deployment.controls[2].kill();
    tokio::time::sleep(SETTLE_TIME).await;
    wait_for_answer(deployment.control(2), &declare("8"), "HTTP/1.1 200").await;
    deployment.wipe_control(1);

    let read = fixture("read.http", &[]);
    let limit = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = send_request(deployment.control(2), &read).await;
        let answer = answer.unwrap_or_default();
        if answer.starts_with("HTTP/1.1 200") {
            assert!(answer.contains("\"version\":8"), "{answer}");
            break;
        }
        assert!(tokio::time::Instant::now() < limit, "{answer}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a replica that has lost its disk, was removed meanwhile, and never joins again because
/// it knows only replicas that do not lead.
#[tokio::test]
async fn replica_without_its_disk_joins_through_one_that_does_not_lead() {
    let mut deployment = Deployment::start(33, 1);
    wait_for_answer(deployment.control(1), &declare("7"), "HTTP/1.1 200").await;
    deployment.add_control(REPLACEMENT);
    deployment
        .wait_for_control_log(REPLACEMENT, "\"role\":\"follower\"")
        .await;
    let leads = |host: &u8| {
        let log = deployment.control_log(*host);
        log.contains("\"role\":\"leader\"")
    };
    let leader = (1..=3).find(leads).unwrap();
    let followers: Vec<u8> = (1..=3).filter(|host| *host != leader).collect();
    let (wiped, seed) = (followers[0], followers[1]);
    deployment.controls[usize::from(wiped) - 1].kill();
    deployment
        .wait_for_control_log(leader, "it has been silent")
        .await;
    deployment.set_seed(wiped, seed);
    deployment.wipe_control(wiped);
    deployment
        .wait_for_control_log(wiped, "admitted this replica")
        .await;
}
