//! Runs with every fault, checked after every step.

use std::time::Duration;

use crate::sim::{Counts, Faults, World};

/// Runs one seed to its end.
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
    assert!(total.is_complete(), "a fault never happened: {total:?}");
}

#[test]
fn three_replicas_bear_every_fault() {
    for seed in 100..112 {
        run(seed, 3, 3);
    }
}
