//! Reaction of the replicas to single faults.

use std::time::Duration;

use pimentotide_consensus::{Change, Event, ProposalId, Reject, RoleKind};
use pimentotide_model::Term;
use pimentotide_storage::fake::Fault;

use crate::sim::{Faults, World};

const SETTLE: Duration = Duration::from_secs(3);
const ELECTION: Duration = Duration::from_millis(1_500);

/// Returns a world without faults in which all wanted members vote.
fn stable_world(seed: u64, hosts: usize) -> World {
    let mut world = World::new(seed, hosts, hosts, Faults::none());
    world.run(SETTLE);
    assert!(world.has_wanted_members());
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

/// Runs long enough for an election and checks that new entries are committed.
fn assert_progress(world: &mut World) {
    let before = world.check.committed_up_to();
    world.run(ELECTION);
    assert!(world.check.committed_up_to() > before);
}

#[test]
fn single_replica_leads_at_once_and_commits_after_its_own_sync() {
    let mut world = World::new(1, 1, 1, Faults::none());
    world.run(Duration::from_millis(100));
    assert_eq!(leader(&world), 0);
    world.run(Duration::from_millis(200));
    assert!(world.counts.acknowledged > 0);
}

#[test]
fn wanted_members_become_voters_once_they_have_caught_up() {
    let world = stable_world(2, 5);
    let config = world.node(leader(&world)).unwrap().config();
    assert_eq!((config.voters.len(), config.learners.len()), (5, 0));
}

#[test]
fn isolated_leader_stops_within_its_lease_and_rejoins_as_a_follower() {
    let mut world = stable_world(3, 3);
    let old = leader(&world);
    world.cut_off(old, false, false);
    world.run(Duration::from_millis(350));
    assert_ne!(world.leader(), Some(old));
    world.deliver_event(old, Event::Propose(ProposalId(u64::MAX), Vec::new().into()));
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
fn leader_that_receives_nothing_steps_down() {
    let mut world = stable_world(4, 3);
    let old = leader(&world);
    world.cut_off(old, false, true);
    world.run(ELECTION);
    assert_ne!(leader(&world), old);
    assert_progress(&mut world);
}

#[test]
fn follower_that_receives_nothing_does_not_disturb_the_leader() {
    let mut world = stable_world(5, 3);
    let (old_leader, old_term) = (leader(&world), term(&world));
    let isolated = follower(&world);
    world.cut_off(isolated, false, true);
    world.run(Duration::from_secs(60));
    assert_eq!((leader(&world), term(&world)), (old_leader, old_term));
    world.heal();
    world.run(SETTLE);
    assert_eq!((leader(&world), term(&world)), (old_leader, old_term));
}

#[test]
fn replica_with_a_replaced_disk_rejoins_so_that_another_failure_is_tolerated() {
    let mut world = stable_world(6, 3);
    let lost = follower(&world);
    let before = world.node(lost).unwrap().hard().identity.clone();
    world.lose_disk(lost);
    world.run(Duration::from_millis(80));
    assert_eq!(role(&world, lost), RoleKind::Outsider);
    world.run(SETTLE);
    assert!(world.counts.refused > 0);
    assert!(world.has_wanted_members());
    let after = world.node(lost).unwrap().hard().identity.clone();
    assert_eq!(before.name, after.name);
    assert_ne!(before.disk, after.disk);
    let second = (0..3).find(|n| *n != lost).unwrap();
    world.cut_off(second, false, false);
    world.run(ELECTION);
    assert_progress(&mut world);
}

#[test]
fn replica_far_behind_catches_up_from_a_snapshot() {
    let mut world = stable_world(7, 3);
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
fn planned_stop_transfers_leadership_without_an_election_timeout() {
    let mut world = stable_world(8, 3);
    let old = leader(&world);
    world.deliver_event(old, Event::Transfer);
    world.run(Duration::from_millis(60));
    assert_ne!(leader(&world), old);
}

#[test]
fn leader_with_a_failed_or_full_disk_transfers_leadership() {
    for fault in [Fault::Fail, Fault::Fill] {
        let mut world = stable_world(9, 3);
        let old = leader(&world);
        world.arm(old, 0, fault);
        world.run(Duration::from_millis(150));
        assert_eq!(role(&world, old), RoleKind::Failed);
        assert_ne!(leader(&world), old);
        assert_progress(&mut world);
    }
}

#[test]
fn membership_changes_are_rejected_with_a_reason() {
    let mut world = stable_world(10, 3);
    let leader = leader(&world);
    let (one, two) = ((leader + 1) % 3, (leader + 2) % 3);
    let member = world.node(leader).unwrap().config().voters[&world.name(one)].clone();
    let mut refusals = Vec::new();
    let mut request = |world: &mut World, change| {
        world.check.last_rejection = None;
        world.deliver_event(leader, Event::Change(ProposalId(u64::MAX), change));
        refusals.push(world.last_rejection().map(|r| r.to_string()));
    };
    let name = world.name(one);
    request(&mut world, Change::Add(name, member));
    request(&mut world, Change::Remove("ge-east-a-1".into()));
    world.cut_off(one, false, false);
    world.run(Duration::from_millis(400));
    let name = world.name(two);
    request(&mut world, Change::Remove(name));
    world.want(one, false);
    let name = world.name(one);
    request(&mut world, Change::Remove(name.clone()));
    request(&mut world, Change::Remove(name));
    insta::assert_debug_snapshot!(refusals);
}
