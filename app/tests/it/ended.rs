//! Control replicas that end without notice while others are being replaced, so that a part of the voters acts
//! by a grant of the entries.

use std::time::Duration;

use crate::deployment::{Deployment, fixture, send_request, wait_for_answer};
use crate::replaced::{REPLACEMENT, declare, start_successors, wait_for_version};

/// Replica that ends, by its role when the first one does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    Leader,
    Follower,
    Successor,
}

/// Time until a killed process is back.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Host of the replica that comes in place of the second one that ended.
const LATE: u8 = 10;

fn kill(deployment: &mut Deployment, host: u8) {
    let number = deployment.control_number(host);
    deployment.controls[number].kill();
}

/// Ends a replica whose successor votes and, after `delay`, another one for good.
///
/// All others are killed in between, and are back, if `all` is set. The configuration that was acknowledged
/// last is read back, and another one is accepted.
async fn end_two(network: u8, ended: [Ended; 2], delay: Duration, all: bool) {
    let (mut deployment, leader, others) = start_successors(network, &[REPLACEMENT]).await;
    let mut followers = others.to_vec();
    let gone = ended.map(|role| match role {
        Ended::Leader => leader,
        Ended::Follower => followers.remove(0),
        Ended::Successor => REPLACEMENT,
    });
    let hosts = [leader, others[0], others[1], REPLACEMENT];
    let left: Vec<u8> = hosts.into_iter().filter(|h| !gone.contains(h)).collect();
    kill(&mut deployment, gone[0]);
    tokio::time::sleep(delay).await;
    kill(&mut deployment, gone[1]);
    if all {
        for host in &left {
            kill(&mut deployment, *host);
        }
        tokio::time::sleep(DOWN_TIME).await;
        for host in &left {
            deployment.restart_control(*host);
        }
    }
    wait_for_version(&deployment, left[0], "7").await;
    wait_for_answer(deployment.control(left[1]), &declare("8"), "HTTP/1.1 200").await;
    deployment.add_control(LATE);
    deployment
        .wait_for_control_log(LATE, "\"role\":\"follower\"")
        .await;
}

/// Guards against the incident: a replaced replica and another one end without notice, half a second apart, and no
/// replica leads again.
#[tokio::test]
async fn another_replica_is_gone_after_a_replaced_one_was_killed() {
    let ended = [Ended::Follower, Ended::Follower];
    end_two(180, ended, Duration::from_millis(500), false).await;
}

/// Guards against the same if both end at once, the leader among them.
#[tokio::test]
async fn leader_and_another_replica_are_killed_at_once() {
    let ended = [Ended::Leader, Ended::Follower];
    end_two(181, ended, Duration::ZERO, false).await;
}

/// Guards against the same if the successor is the one that is lost.
#[tokio::test]
async fn successor_is_gone_after_the_replaced_replica_was_killed() {
    let ended = [Ended::Follower, Ended::Successor];
    end_two(182, ended, Duration::from_millis(100), false).await;
}

/// Guards against the same if the others are killed at that moment.
#[tokio::test]
async fn all_are_killed_as_another_replica_is_gone() {
    let ended = [Ended::Follower, Ended::Leader];
    end_two(183, ended, Duration::from_millis(300), true).await;
}

/// Guards against the same after two replaced replicas, where two of five voters are left.
#[tokio::test]
async fn third_replica_is_gone_after_two_replaced_ones_were_killed() {
    let (mut deployment, leader, others) = start_successors(184, &[8, REPLACEMENT]).await;
    for host in [others[0], others[1], leader] {
        kill(&mut deployment, host);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    wait_for_version(&deployment, 8, "7").await;
    wait_for_answer(
        deployment.control(REPLACEMENT),
        &declare("8"),
        "HTTP/1.1 200",
    )
    .await;
}

/// Guards against halves that both act: one is frozen while the other one acts by a grant, and must not
/// answer with what it held when it wakes up.
#[tokio::test]
async fn half_that_was_frozen_does_not_show_an_older_configuration() {
    let (deployment, leader, others) = start_successors(185, &[REPLACEMENT]).await;
    let frozen = [leader, others[0]];
    let numbers = frozen.map(|host| deployment.control_number(host));
    for number in numbers {
        deployment.controls[number].pause();
    }
    wait_for_answer(
        deployment.control(REPLACEMENT),
        &declare("8"),
        "HTTP/1.1 200",
    )
    .await;
    for number in numbers {
        deployment.controls[number].resume();
    }
    let read = fixture("read.http", &[]);
    let mut answered = 0;
    for _ in 0..40 {
        for host in frozen {
            let answer = send_request(deployment.control(host), &read).await;
            let answer = answer.unwrap_or_default();
            if answer.starts_with("HTTP/1.1 200") {
                assert!(answer.contains("\"version\":8"), "{answer}");
                answered += 1;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(answered > 0, "no frozen replica answers again");
}
