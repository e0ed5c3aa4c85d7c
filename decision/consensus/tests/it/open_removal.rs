//! Restarts and losses while the removal of a voter is not known to be committed.

use std::time::Duration;

use pimentotide_consensus::{
    Action, ClusterId, Config, DiskId, Envelope, Event, HardState, Identity, Member, Message,
    Moment, Node, Options, Recovered,
};
use pimentotide_model::Time;

use crate::cluster::{Cluster, DISK_RESTART};
use crate::open_change::run_until_open;

/// Time after which an added replica votes and the one that it replaces is no loss.
const CATCH_UP: Duration = Duration::from_secs(6);

/// Starts three voters and a fourth; returns them, the leader and the fourth.
fn four_voters() -> (Cluster, usize, usize) {
    let mut cluster = Cluster::with_loss(1);
    let newest = cluster.add();
    cluster.run(CATCH_UP);
    let leader = cluster.leader().unwrap();
    (cluster, leader, newest)
}

/// Checks that a leader is back and that nothing broke; returns what is wrong.
fn recover(cluster: &mut Cluster, case: &str) -> Option<String> {
    let stuck = cluster.recover().err();
    let violation = cluster.check.violation.clone();
    violation.or(stuck).map(|w| format!("{case}: {w}"))
}

/// Guards against a log without a leader if a voter that is being removed is back, and the one that it is needed
/// with has ended: the voter was not asked for its vote.
#[test]
fn voter_that_is_being_removed_is_asked_for_its_vote() {
    let mut wrong = Vec::new();
    for delay in [0, 1, 2, 3, 4, 5, 6, 8, 10, 20] {
        for from_leader in [1, 2] {
            let (mut cluster, leader, newest) = four_voters();
            let frozen = (leader + from_leader) % 3;
            let other = (leader + 3 - from_leader) % 3;
            cluster.freeze(frozen, Duration::from_millis(2_500));
            run_until_open(&mut cluster, 3);
            for ended in [leader, other, newest] {
                let mut cluster = cluster.clone();
                cluster.run(Duration::from_millis(delay));
                cluster.end(ended);
                let case = format!("{delay} ms, {frozen} frozen, {ended} ended, {leader} led");
                wrong.extend(recover(&mut cluster, &case));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against the incident, if power is lost while the voter with the lost disk is being removed: it was not
/// asked, so that it did not prove its loss again.
#[test]
fn voter_with_a_lost_disk_proves_it_again_while_it_is_being_removed() {
    let mut wrong = Vec::new();
    for who in 0..3 {
        let (mut cluster, leader, newest) = four_voters();
        cluster.end((leader + 1) % 3);
        cluster.run(Duration::from_millis(200));
        let lost = [(leader + 2) % 3, newest, leader][who];
        cluster.lose_disk(lost, DISK_RESTART);
        run_until_open(&mut cluster, 3);
        for delay in 0..15 {
            let mut cluster = cluster.clone();
            cluster.run(Duration::from_millis(delay));
            cluster.lose_power();
            let case = format!("{delay} ms, {lost} lost, {leader} led");
            wrong.extend(recover(&mut cluster, &case));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

fn identity(name: &str, disk: u128) -> Identity {
    let disk = DiskId(disk);
    Identity {
        name: name.into(),
        disk,
    }
}

/// Guards against one of two voters that does not lead although the other one has proved that its disk is lost.
#[test]
fn one_of_two_voters_leads_after_the_other_one_lost_its_disk() {
    let (own, lost, back) = (identity("a", 1), identity("b", 2), identity("b", 3));
    let mut config = Config::default();
    for who in [&own, &lost] {
        let address = ([127, 0, 0, 1], 7_000).into();
        let disk = who.disk;
        config
            .voters
            .insert(who.name.clone(), Member { disk, address });
    }
    let empty = Recovered {
        hard: HardState::fresh(own.clone()),
        snapshot: None,
        entries: Vec::new(),
    };
    let first = Node::bootstrap(&empty, ClusterId(1), config).unwrap();
    let recovered = Recovered {
        hard: first.hard.unwrap(),
        snapshot: None,
        entries: first.entries,
    };
    let at = |ms| Moment {
        now: Time::from_millis(ms),
        wall: Time::from_millis(ms),
    };
    let (mut node, _) = Node::start(recovered, Options::default(), 0, at(0));
    for ms in (20..2_000).step_by(20) {
        let mut events = vec![Event::Tick];
        while let Some(event) = events.pop() {
            for action in node.step(event, at(ms)) {
                match action {
                    Action::Write(write) => events.insert(0, Event::Synced(write.ticket)),
                    Action::Send { envelope, .. } if envelope.to == lost => {
                        events.insert(
                            0,
                            Event::Receive(Envelope {
                                from: back.clone(),
                                to: own.clone(),
                                body: Message::Refused {
                                    intended: lost.clone(),
                                },
                                ..envelope
                            }),
                        );
                    }
                    _ => {}
                }
            }
        }
    }
    assert!(node.is_leader());
}
