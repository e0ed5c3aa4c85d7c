//! Randomized runs under all kinds of faults, checked after every step.

use std::time::Duration;

use crate::sim::{Counts, Faults, World};

/// Runs a seed for 30 s of virtual time, then without faults until the replicas agree.
fn run(seed: u64, hosts: usize, members: usize) -> World {
    let mut world = World::new(seed, hosts, members, Faults::all());
    world.run(Duration::from_secs(30));
    world.settle();
    world
}

#[test]
fn safety_holds_under_every_fault() {
    let mut total = Counts::default();
    for seed in 0..16 {
        total.add(&run(seed, 5, 3).counts);
    }
    assert!(total.is_complete(), "an event never occurred: {total:?}");
}

#[test]
fn safety_holds_with_three_replicas_under_every_fault() {
    for seed in 100..112 {
        run(seed, 3, 3);
    }
}
