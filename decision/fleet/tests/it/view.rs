//! Deltas of the list of upstreams: entries that follow replicas with different histories.

use pimentotide_fleet::{
    Announcement, Command, DeltaError, FleetState, Record, Stage, UpstreamDelta, UpstreamHistory,
};
use proptest::prelude::*;

use crate::state::{Log, announcement};

/// Upstreams of the group with the most ranks, and of a plain service.
const UPSTREAMS: usize = 79;

/// Replicated state, the histories of two replicas and the list of one entry.
#[derive(Default)]
struct World {
    log: Log,
    histories: [UpstreamHistory; 2],
    revision: u64,
    records: Vec<Record>,
    sequence: u64,
    deltas: usize,
}

impl World {
    fn state(&self) -> &FleetState {
        &self.log.state
    }

    fn announce(&mut self, change: impl Fn(&mut Announcement), number: usize) {
        self.sequence += 1;
        let mut next = announcement(&format!("u{number}"), number as u16, 1, self.sequence);
        change(&mut next);
        self.log.apply(&Command::Announce(next));
    }

    /// The replica sees the state, as at a poll of any entry.
    fn observe(&mut self, replica: usize) {
        self.histories[replica].record(&self.log.state);
    }

    /// The entry polls a replica.
    fn poll(&mut self, replica: usize) -> Result<(), DeltaError> {
        self.observe(replica);
        let state = &self.log.state;
        if state.revision() == self.revision {
            return Ok(());
        }
        self.records = match self.histories[replica].delta(state, self.revision) {
            Some(delta) => {
                self.deltas += 1;
                delta.apply(self.revision, self.records.clone())?
            }
            None => state.upstreams().values().cloned().collect(),
        };
        self.revision = state.revision();
        Ok(())
    }
}

/// What entries act on in a record.
fn facts(records: &[Record]) -> Vec<(Announcement, u64)> {
    let facts = records.iter().map(|r| {
        let announcement = Announcement {
            sequence: 0,
            cold_ms: u32::from(r.announcement.cold_ms > 0),
            ..r.announcement.clone()
        };
        (announcement, r.cold_index)
    });
    facts.collect()
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Announce { number: usize, born: u64, cold: u32 },
    Drain(usize),
    Move(usize, u16),
    Withdraw(usize),
    Zone(bool),
    Observe(usize),
    Restart(usize),
    Poll(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let number = 0..24_usize;
    prop_oneof![
        4 => (number.clone(), 1..4_u64, 0..3_u32)
            .prop_map(|(number, born, cold)| Event::Announce { number, born, cold }),
        1 => number.clone().prop_map(Event::Drain),
        1 => (number.clone(), 0..30_u16).prop_map(|(number, port)| Event::Move(number, port)),
        1 => number.prop_map(Event::Withdraw),
        1 => any::<bool>().prop_map(Event::Zone),
        1 => (0..2_usize).prop_map(Event::Observe),
        1 => (0..2_usize).prop_map(Event::Restart),
        4 => (0..2_usize).prop_map(Event::Poll),
    ]
}

fn play(world: &mut World, event: Event) -> Result<(), DeltaError> {
    match event {
        Event::Announce { number, born, cold } => world.announce(
            |a| {
                a.born = born;
                a.cold_ms = cold * 1_000;
            },
            number,
        ),
        Event::Drain(number) => world.announce(|a| a.stage = Stage::Draining, number),
        Event::Move(number, port) => world.announce(|a| a.address.set_port(port), number),
        Event::Withdraw(number) => {
            let name = format!("u{number}");
            world.log.apply(&Command::Withdraw(name.as_str().into()));
        }
        Event::Zone(serving) => {
            let zone = "a".into();
            world.log.apply(&Command::Zone { zone, serving });
        }
        Event::Observe(replica) => world.observe(replica),
        Event::Restart(replica) => world.histories[replica] = UpstreamHistory::default(),
        Event::Poll(replica) => world.poll(replica)?,
    }
    Ok(())
}

proptest! {
    /// Guards against an entry that misses a change or a removal of an upstream, as it changes
    /// between replicas that restart and see the state at different times.
    #[test]
    fn entry_has_the_upstreams_of_the_state_after_each_poll(
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut world = World::default();
        for number in 0..24 {
            world.announce(|_| {}, number);
        }
        for event in events {
            prop_assert_eq!(play(&mut world, event), Ok(()), "no delta is rejected");
            if world.revision == world.state().revision() {
                let list: Vec<Record> = world.state().upstreams().values().cloned().collect();
                prop_assert_eq!(facts(&world.records), facts(&list));
            }
        }
    }
}

fn grown_world() -> World {
    let mut world = World::default();
    for number in 0..UPSTREAMS {
        world.announce(|_| {}, number);
    }
    world.poll(0).unwrap();
    world
}

fn delta(world: &World) -> Option<UpstreamDelta> {
    world.histories[0].delta(world.state(), world.revision)
}

/// Load: one of 79 upstreams changes. Guards against the whole list for each entry.
#[test]
fn change_of_one_of_79_upstreams_sends_one_record() {
    let mut world = grown_world();
    world.announce(|a| a.slots = 3, 40);
    world.observe(0);
    let delta = delta(&world).unwrap();
    assert_eq!(delta.changed.len(), 1);
    let whole: Vec<&Record> = world.state().upstreams().values().collect();
    let whole = serde_json::to_string(&whole).unwrap().len();
    let sent = serde_json::to_string(&delta).unwrap().len();
    println!("whole list {whole} bytes, delta {sent} bytes");
    assert!(sent * 20 < whole, "{sent} of {whole} bytes");
}

/// Guards against a list that differs from the replica's: another base, or a lost record.
#[test]
fn wrong_lists_are_detected() {
    let mut world = grown_world();
    world.announce(|a| a.slots = 3, 40);
    world.log.apply(&Command::Withdraw("u7".into()));
    world.observe(0);
    let delta = delta(&world).unwrap();
    let list = || world.records.clone();
    let applied = |delta: &UpstreamDelta, list| delta.apply(world.revision, list).err();
    assert_eq!(applied(&delta, list()), None);
    let other = delta.apply(world.revision + 1, list());
    assert_eq!(other.err(), Some(DeltaError::OtherBase));
    let wrong = Some(DeltaError::WrongDigest);
    assert_eq!(applied(&delta, list()[1..].to_vec()), wrong);
    let no_removal = UpstreamDelta {
        removed: Vec::new(),
        ..delta.clone()
    };
    assert_eq!(applied(&no_removal, list()), wrong);
    let no_change = UpstreamDelta {
        changed: Vec::new(),
        ..delta
    };
    assert_eq!(applied(&no_change, list()), wrong);
}

/// Guards against deltas from revisions that the replica has not seen, and against deltas that are
/// longer than the list.
#[test]
fn unknown_revisions_and_large_changes_give_the_whole_list() {
    let mut world = grown_world();
    let before = world.revision - 1;
    world.announce(|a| a.slots = 3, 40);
    world.observe(0);
    let from = |revision| world.histories[0].delta(world.state(), revision);
    assert!(from(world.revision).is_some());
    assert!(from(before).is_none(), "before the first list");
    assert!(from(world.state().revision()).is_none(), "nothing changed");
    assert!(from(world.state().revision() + 5).is_none(), "later");
    for number in 0..UPSTREAMS / 2 + 1 {
        world.announce(|a| a.slots = 4, number);
    }
    world.observe(0);
    assert!(delta(&world).is_none(), "over half has changed");
}

/// Guards against a replica's memory that grows with upstreams that come and go, and against
/// entries that keep an upstream whose removal was dropped.
#[test]
fn removals_are_bounded_and_dropped_ones_give_the_whole_list() {
    let mut world = grown_world();
    for number in 1_000..1_300 {
        world.announce(|_| {}, number);
        world.observe(0);
        let name = format!("u{number}");
        world.log.apply(&Command::Withdraw(name.as_str().into()));
        world.observe(0);
    }
    assert!(delta(&world).is_none(), "the first revisions are dropped");
    let later = world.state().revision() - 20;
    let delta = world.histories[0].delta(world.state(), later).unwrap();
    assert_eq!(delta.removed.len(), 10);
    let oldest = world.state().revision() - 64;
    let from = |revision| world.histories[0].delta(world.state(), revision);
    assert!(from(oldest).is_none() && from(oldest + 1).is_some());
    world.poll(0).unwrap();
    assert_eq!(world.records.len(), UPSTREAMS);
}

/// Guards against an entry that keeps upstreams whose removal was dropped: many go at once.
#[test]
fn removals_beyond_the_bound_give_the_whole_list() {
    let mut world = grown_world();
    for number in 1_000..1_700 {
        world.announce(|_| {}, number);
    }
    world.poll(0).unwrap();
    for number in 1_000..1_300 {
        let name = format!("u{number}");
        world.log.apply(&Command::Withdraw(name.as_str().into()));
    }
    world.observe(0);
    assert!(delta(&world).is_none());
    world.poll(0).unwrap();
    assert_eq!(world.records.len(), UPSTREAMS + 400);
}

/// Guards against an entry that keeps a state of an upstream that its new replica never saw, because
/// the upstream has changed back.
#[test]
fn upstream_that_changes_back_between_replicas_is_sent() {
    let mut world = grown_world();
    world.announce(|a| a.stage = Stage::Draining, 9);
    world.poll(1).unwrap();
    world.announce(|_| {}, 9);
    world.poll(0).unwrap();
    let record = &world
        .records
        .iter()
        .find(|r| r.announcement.upstream.as_str() == "u9");
    assert_eq!(record.unwrap().announcement.stage, Stage::Ready);
}

/// Guards against tests that pass because whole lists are sent each time.
#[test]
fn following_entry_gets_deltas() {
    let mut world = grown_world();
    for number in 0..UPSTREAMS {
        world.announce(|a| a.slots = 3, number);
        world.poll(0).unwrap();
    }
    assert_eq!(world.deltas, UPSTREAMS);
}
