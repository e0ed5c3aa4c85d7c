//! Each step runs under one map, and the switch ends, under message faults and crashes.
//!
//! Faults are injected at each message of a switch: loss, duplication, delay, a
//! crash of a process, and a replaced coordinator or leader that keeps running.

use std::time::Duration;

use pimentotide_experts::{AbandonCause, Ending, MapId};
use pimentotide_model::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::group::Group;
use crate::network::{Fault, Network};

/// Time shortly before the map is proposed.
const PROPOSED: Time = Time::from_millis(990);

/// Time by which a switch without faults has ended.
const ENDED: Time = Time::from_millis(2_300);

/// Time by which a switch with faults has to end.
const RECOVERED: Time = Time::from_millis(7_000);

/// Time of the first check whether a switch with faults has ended.
const SETTLED: Time = Time::from_millis(2_600);

/// Interval between two checks whether it has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of random pairs of faults.
const PAIRS: usize = 200;

fn message_range() -> (u64, u64) {
    let mut group = Group::new(Network::with_faults([]));
    group.run(PROPOSED);
    let first = group.network.count();
    group.run(ENDED);
    (first, group.network.count())
}

fn violations<I>(faults: I) -> Vec<String>
where
    I: IntoIterator<Item = (u64, Fault)>,
{
    let mut group = Group::new(Network::with_faults(faults));
    group.run(SETTLED);
    while group.now() < RECOVERED && !group.is_settled() {
        group.run(group.now() + CHECK_INTERVAL);
    }
    group.check_settled();
    group.violations
}

#[test]
fn switch_without_faults_delays_no_step() {
    let mut group = Group::new(Network::with_faults([]));
    group.run(PROPOSED);
    let before = group.longest_gap;
    group.run(ENDED);
    group.check_settled();
    assert_eq!(group.violations, Vec::<String>::new());
    assert_eq!(group.ending(), Some(Ending::Settled(MapId(2))));
    assert_eq!(group.longest_gap, before);
}

fn check_each_message(faults: &[Fault]) {
    let (first, last) = message_range();
    for message in first..last {
        for &fault in faults {
            let found = violations([(message, fault)]);
            assert!(
                found.is_empty(),
                "{fault:?} at message {message}: {found:#?}"
            );
        }
    }
}

#[test]
fn switch_ends_with_any_message_lost_duplicated_or_late() {
    check_each_message(&[Fault::Lose, Fault::Twice, Fault::Late]);
}

#[test]
fn switch_ends_after_a_crash_of_sender_or_receiver_at_any_message() {
    check_each_message(&[Fault::KillSender, Fault::KillReceiver]);
}

#[test]
fn switch_ends_after_a_crash_of_coordinator_or_leader_at_any_message() {
    check_each_message(&[Fault::KillControl, Fault::KillLeader]);
}

#[test]
fn replaced_coordinator_or_leader_that_keeps_running_is_fenced_at_any_message() {
    check_each_message(&[Fault::SplitControl, Fault::SplitLeader]);
}

#[test]
fn switch_ends_after_two_faults_at_random_messages() {
    let (first, last) = message_range();
    let mut rng = ChaCha8Rng::seed_from_u64(7_340_033);
    for _ in 0..PAIRS {
        let mut draw = || {
            let message = rng.random_range(first..last);
            (message, Fault::ALL[rng.random_range(0..Fault::ALL.len())])
        };
        let pair = [draw(), draw()];
        let found = violations(pair);
        assert!(found.is_empty(), "{pair:?}: {found:#?}");
    }
}

#[test]
fn switch_ends_after_a_fault_while_the_group_forms() {
    let (first, _) = message_range();
    for message in 1..first.min(40) {
        for fault in Fault::ALL {
            let found = violations([(message, fault)]);
            assert!(
                found.is_empty(),
                "{fault:?} at message {message}: {found:#?}"
            );
        }
    }
}

#[test]
fn switch_ends_under_random_loss_delay_and_duplication() {
    for seed in 0..20 {
        let mut group = Group::new(Network::with_loss(0.3, seed));
        group.run(RECOVERED);
        group.network.heal();
        group.run(RECOVERED + (RECOVERED.since(Time::ZERO)));
        group.check_settled();
        assert_eq!(group.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(group.decided(), MapId(2), "seed {seed}");
    }
}

#[test]
fn failed_load_keeps_the_old_map() {
    let mut group = Group::new(Network::with_faults([]));
    group.failing_rank = Some(2);
    group.run(RECOVERED);
    group.check_settled();
    assert_eq!(group.violations, Vec::<String>::new());
    assert_eq!(group.decided(), MapId(1));
    let ending = Ending::Abandoned(MapId(2), AbandonCause::Failed);
    assert_eq!(group.ending(), Some(ending));
}
