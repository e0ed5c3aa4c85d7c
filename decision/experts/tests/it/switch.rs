//! One map in each step, whatever is lost, late or doubled and whoever dies.

use std::time::Duration;

use pimentotide_experts::{AbandonCause, Ending, MapId};
use pimentotide_model::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::group::Group;
use crate::network::{Fault, Network};

/// Time at which the map is proposed.
const PROPOSED: Time = Time::from_millis(990);

/// Time by which an undisturbed switch has ended.
const ENDED: Time = Time::from_millis(2_300);

/// Time by which a disturbed switch has ended.
const RECOVERED: Time = Time::from_millis(7_000);

/// Time from which a disturbed switch may have ended.
const SETTLED: Time = Time::from_millis(2_600);

/// Time between two looks whether it has.
const LOOK: Duration = Duration::from_millis(200);

/// Pairs of faults that are drawn.
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
        group.run(group.now() + LOOK);
    }
    group.check_settled();
    group.violations
}

#[test]
fn undisturbed_switch_stalls_no_step() {
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
fn each_message_lost_doubled_or_late() {
    check_each_message(&[Fault::Lose, Fault::Twice, Fault::Late]);
}

#[test]
fn sender_or_receiver_dies_at_each_message() {
    check_each_message(&[Fault::KillSender, Fault::KillReceiver]);
}

#[test]
fn control_or_leader_dies_at_each_message() {
    check_each_message(&[Fault::KillControl, Fault::KillLeader]);
}

#[test]
fn a_replaced_coordinator_or_leader_goes_on_at_each_message() {
    check_each_message(&[Fault::SplitControl, Fault::SplitLeader]);
}

#[test]
fn two_faults_at_drawn_messages() {
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
fn faults_while_the_group_forms() {
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
fn random_loss_delay_and_duplication() {
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
fn failed_load_leaves_the_group_on_the_old_map() {
    let mut group = Group::new(Network::with_faults([]));
    group.fails_load = Some(2);
    group.run(RECOVERED);
    group.check_settled();
    assert_eq!(group.violations, Vec::<String>::new());
    assert_eq!(group.decided(), MapId(1));
    let ending = Ending::Abandoned(MapId(2), AbandonCause::Failed);
    assert_eq!(group.ending(), Some(ending));
}
