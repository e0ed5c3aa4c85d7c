//! Disks of all replicas that are full, hang or are slow one after another, never two at once.

use std::time::Duration;

use pimentotide_consensus::{Event, Node};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::sim::disk::Trouble;
use crate::sim::repair::MAX_SILENCE;
use crate::sim::{Counts, Faults, World};

/// Time within which a change has to be acknowledged.
const ACK_BOUND: Duration = Duration::from_secs(4);
/// Longest trouble of one disk.
const MAX_TROUBLE: Duration = Duration::from_secs(8);
/// Longest time from the end of the trouble of one disk to that of the next.
const MAX_GAP: Duration = Duration::from_millis(1_500);

/// Other events during the trouble of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    Transfers,
    /// Of the instance itself.
    Restarts,
    /// Of another instance.
    OtherRestarts,
}

/// Disturbs the disk of one host for a while.
fn disturb_for_a_while(
    world: &mut World,
    host: usize,
    hosts: usize,
    trouble: Trouble,
    beside: Beside,
    rng: &mut ChaCha8Rng,
) {
    let span = rng.random_range(Duration::from_secs(1)..MAX_TROUBLE);
    let quiet = rng.random_range(Duration::ZERO..span);
    world.disturb(host, trouble);
    world.run(quiet);
    match (beside, world.leader()) {
        (Beside::Transfers, Some(leader)) => world.deliver_event(leader, Event::Transfer),
        (Beside::Restarts, _) => world.kill(host),
        (Beside::OtherRestarts, _) => world.kill((host + 1) % hosts),
        _ => {}
    }
    world.run(span - quiet);
    world.relieve(host);
}

/// Disturbs all disks one after another and checks that a change is acknowledged in time afterwards.
fn run(seed: u64, hosts: usize, trouble: Trouble, beside: Beside) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(seed, hosts, hosts, Faults::none());
    world.run(Duration::from_secs(3));
    world.repair_itself();
    let mut order: Vec<usize> = (0..hosts).collect();
    order.shuffle(&mut rng);
    for host in order {
        disturb_for_a_while(&mut world, host, hosts, trouble, beside, &mut rng);
        if rng.random_bool(0.6) {
            world.run(rng.random_range(Duration::ZERO..MAX_GAP));
        }
    }
    let case = format!("seed {seed}, {hosts} hosts, {trouble:?}, {beside:?}");
    let before = world.counts.acknowledged;
    world.run(ACK_BOUND);
    assert!(
        world.counts.acknowledged > before,
        "{case}: no change is acknowledged, {:#?}",
        world.statuses()
    );
    world.run(ACK_BOUND);
    assert!(
        world.has_wanted_members(),
        "{case}: not all vote, {:#?}",
        world.statuses()
    );
    world.settle();
    world.counts
}

/// Guards against changes that are refused for good once all disks were in trouble, one after another.
#[test]
fn changes_are_acknowledged_after_all_disks_were_in_trouble_in_turn() {
    let mut total = Counts::default();
    for trouble in [Trouble::Full, Trouble::Hung, Trouble::Slow] {
        for beside in [
            Beside::Nothing,
            Beside::Transfers,
            Beside::Restarts,
            Beside::OtherRestarts,
        ] {
            total.add(&run(1, 3, trouble, beside));
            total.add(&run(2, 5, trouble, beside));
        }
    }
    assert!(total.disk_failures > 0 && total.crashes > 0 && total.changes > 0);
}

/// Guards against a learner that is removed while it is silent and never asks to join again, because
/// it takes a leader that no longer contacts it for its leader.
#[test]
fn learner_that_was_removed_in_its_silence_joins_again() {
    let mut world = World::new(3, 4, 3, Faults::none());
    world.run(Duration::from_secs(3));
    world.repair_itself();
    world.want(3, true);
    let name = world.name(3);
    let is_member = |world: &World, host: usize| {
        let config = world.node(host).map(Node::config);
        config.is_some_and(|c| c.member(&name).is_some())
    };
    while !is_member(&world, 3) {
        world.step();
    }
    world.cut_off(3, false, false);
    let removed_by = world.time + MAX_SILENCE + ACK_BOUND;
    while world.leader().is_none_or(|l| is_member(&world, l)) {
        assert!(world.time < removed_by, "it was not removed");
        world.step();
    }
    world.heal();
    world.run(ACK_BOUND);
    assert!(world.has_wanted_members(), "{:#?}", world.statuses());
}
