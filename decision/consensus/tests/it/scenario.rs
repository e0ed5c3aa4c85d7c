//! One fault at a time, and what the replicas make of it.

use std::time::Duration;

use pimentotide_consensus::{Change, Event, ProposalId, Reject, RoleKind};
use pimentotide_model::Term;
use pimentotide_storage::fake::Fault;

use crate::sim::{Faults, World};

const SETTLE: Duration = Duration::from_secs(3);
const ELECTION: Duration = Duration::from_millis(1_500);

/// Replicas in calm, with all wanted members voting.
fn calm(seed: u64, hosts: usize) -> World {
    let mut world = World::new(seed, hosts, hosts, Faults::none());
    world.run(SETTLE);
    assert!(world.is_whole());
    world
}

fn leader(world: &World) -> usize {
    world.leader().expect("a leader")
}

fn follower(world: &World) -> usize {
    (leader(world) + 1) % 3
}

fn term(world: &World) -> Term {
    world.node(leader(world)).unwrap().term()
}

fn role(world: &World, host: usize) -> RoleKind {
    let name = world.name(host);
    let statuses = world.statuses();
    statuses
        .iter()
        .find(|s| s.identity.name == name)
        .unwrap()
        .role
}

/// Runs until something new is committed.
fn assert_progress(world: &mut World) {
    let before = world.check.committed_up_to();
    world.run(ELECTION);
    assert!(world.check.committed_up_to() > before);
}

#[test]
fn a_single_replica_leads_at_once_and_commits_after_its_own_sync() {
    let mut world = World::new(1, 1, 1, Faults::none());
    world.run(Duration::from_millis(100));
    assert_eq!(leader(&world), 0);
    world.run(Duration::from_millis(200));
    assert!(world.counts.acknowledged > 0);
}

#[test]
fn founders_become_voters_once_they_have_caught_up() {
    let world = calm(2, 5);
    let config = world.node(leader(&world)).unwrap().config();
    assert_eq!((config.voters.len(), config.learners.len()), (5, 0));
}

#[test]
fn a_leader_cut_off_stops_within_its_lease_and_does_no_harm_when_it_returns() {
    let mut world = calm(3, 3);
    let old = leader(&world);
    world.cut_off(old, false, false);
    world.run(Duration::from_millis(350));
    assert_ne!(world.leader(), Some(old));
    world.tell(old, Event::Propose(ProposalId(u64::MAX), Vec::new().into()));
    let refusal = world.last_rejection();
    assert!(
        matches!(refusal, Some(Reject::NoQuorum | Reject::NotLeader(_))),
        "{refusal:?}"
    );
    world.run(Duration::from_secs(600));
    let held = term(&world);
    world.heal();
    world.run(SETTLE);
    assert_eq!(term(&world), held);
    assert_eq!(role(&world, old), RoleKind::Follower);
}

#[test]
fn a_leader_that_cannot_hear_steps_down() {
    let mut world = calm(4, 3);
    let old = leader(&world);
    world.cut_off(old, false, true);
    world.run(ELECTION);
    assert_ne!(leader(&world), old);
    assert_progress(&mut world);
}

#[test]
fn a_follower_that_cannot_hear_does_not_disturb_the_leader() {
    let mut world = calm(5, 3);
    let (led, held) = (leader(&world), term(&world));
    let deaf = follower(&world);
    world.cut_off(deaf, false, true);
    world.run(Duration::from_secs(60));
    assert_eq!((leader(&world), term(&world)), (led, held));
    world.heal();
    world.run(SETTLE);
    assert_eq!((leader(&world), term(&world)), (led, held));
}

#[test]
fn a_replica_that_lost_its_disk_rejoins_as_a_learner_and_then_bears_a_second_loss() {
    let mut world = calm(6, 3);
    let lost = follower(&world);
    let before = world.node(lost).unwrap().hard().identity.clone();
    world.lose_disk(lost);
    world.run(Duration::from_millis(80));
    assert_eq!(role(&world, lost), RoleKind::Outsider);
    world.run(SETTLE);
    assert!(world.counts.refused > 0);
    assert!(world.is_whole());
    let after = world.node(lost).unwrap().hard().identity.clone();
    assert_eq!(before.name, after.name);
    assert_ne!(before.disk, after.disk);
    let second = (0..3).find(|n| *n != lost).unwrap();
    world.cut_off(second, false, false);
    world.run(ELECTION);
    assert_progress(&mut world);
}

#[test]
fn a_replica_far_behind_catches_up_from_a_snapshot() {
    let mut world = calm(7, 3);
    let late = follower(&world);
    world.cut_off(late, false, false);
    world.run(Duration::from_secs(10));
    let installs = world.counts.installs;
    world.heal();
    world.run(Duration::from_secs(1));
    assert!(world.counts.installs > installs);
    world.settle();
}

#[test]
fn a_planned_stop_hands_over_without_an_election_timeout() {
    let mut world = calm(8, 3);
    let old = leader(&world);
    world.tell(old, Event::Transfer);
    world.run(Duration::from_millis(60));
    assert_ne!(leader(&world), old);
}

#[test]
fn a_leader_whose_disk_fails_or_fills_up_hands_over() {
    for fault in [Fault::Fail, Fault::Fill] {
        let mut world = calm(9, 3);
        let old = leader(&world);
        world.arm(old, 0, fault);
        world.run(Duration::from_millis(150));
        assert_eq!(role(&world, old), RoleKind::Failed);
        assert_ne!(leader(&world), old);
        assert_progress(&mut world);
    }
}

#[test]
fn changes_of_members_are_refused_with_the_reason() {
    let mut world = calm(10, 3);
    let led = leader(&world);
    let (one, two) = ((led + 1) % 3, (led + 2) % 3);
    let known = world.node(led).unwrap().config().voters[&world.name(one)].clone();
    let mut refusals = Vec::new();
    let mut ask = |world: &mut World, change| {
        world.check.last_rejection = None;
        world.tell(led, Event::Change(ProposalId(u64::MAX), change));
        refusals.push(world.last_rejection().map(|r| r.to_string()));
    };
    let name = world.name(one);
    ask(&mut world, Change::Add(name, known));
    ask(&mut world, Change::Remove("ge-east-a-1".into()));
    world.cut_off(one, false, false);
    world.run(Duration::from_millis(400));
    let name = world.name(two);
    ask(&mut world, Change::Remove(name));
    world.want(one, false);
    let name = world.name(one);
    ask(&mut world, Change::Remove(name.clone()));
    ask(&mut world, Change::Remove(name));
    insta::assert_debug_snapshot!(refusals);
}
