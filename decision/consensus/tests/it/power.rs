//! Loss of disks while all other replicas lose power, and with it what they have not synced.

use std::time::Duration;

use crate::sim::{Faults, World};

const SEEDS: std::ops::Range<u64> = 0..12;
/// Time within which a leader has to be back, on this network and with these options.
const RECOVERY: Duration = Duration::from_secs(12);

/// Faults of the disks alone: syncs are slow, so that much is written and not synced.
fn slow_disks() -> Faults {
    Faults {
        slow_disk: 0.6,
        ..Faults::none()
    }
}

/// Loses `losses` of `replicas` disks at once while the others lose power, right after an acknowledgement,
/// and checks that nothing committed is gone and that a leader comes back in time.
fn lose_disks_and_power(seed: u64, replicas: usize, losses: usize) {
    let mut world = World::new(seed, replicas, replicas, slow_disks());
    world.run(Duration::from_secs(5));
    while !world.has_wanted_members() {
        world.run(Duration::from_millis(100));
    }
    world.run(Duration::from_millis(seed * 7));
    let acknowledged = world.counts.acknowledged;
    while world.counts.acknowledged == acknowledged {
        world.step();
    }
    let before = world.check.committed_up_to();
    let first = seed as usize;
    let lost: Vec<usize> = (first..first + losses).map(|n| n % replicas).collect();
    world.lose_power(&lost);
    world.run(RECOVERY);
    assert!(world.leader().is_some(), "no leader, seed {seed}");
    world.settle();
    assert!(world.has_wanted_members(), "seed {seed}");
    for status in world.statuses() {
        assert!(status.commit > before, "{status:?}, seed {seed}");
    }
}

/// Guards against the loss of what was acknowledged by replicas that had not synced it.
#[test]
fn three_replicas_bear_the_loss_of_a_disk_and_of_all_other_power() {
    for seed in SEEDS {
        lose_disks_and_power(seed, 3, 1);
    }
}

/// Guards against the same with two disks that are lost at once.
#[test]
fn five_replicas_bear_the_loss_of_two_disks_and_of_all_other_power() {
    for seed in SEEDS {
        lose_disks_and_power(seed, 5, 2);
    }
}
