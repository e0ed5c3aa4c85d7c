//! Number of entries among which limits are divided.
//!
//! Pattern: everything is killed at once and starts anew, and replicas hear of
//! the entries one by one.

use std::time::Duration;

use pimentotide_fleet::{Command, EntryCount, EntryRecord};
use pimentotide_model::Time;

use crate::state::Log;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

#[test]
fn after_a_restart_of_everything_the_record_counts_at_once() {
    let mut count = EntryCount::new(at(0));
    assert_eq!(count.get(at(0)), 32, "nothing is known yet");
    count.update(0, 9, at(100));
    assert_eq!(count.get(at(100)), 9);
    count.update(3, 9, at(500));
    assert_eq!(count.get(at(500)), 9, "replicas have not heard of all yet");
    count.update(12, 9, at(900));
    assert_eq!(count.get(at(900)), 12, "more than are on record");
}

#[test]
fn before_the_first_record_many_are_assumed() {
    let mut count = EntryCount::new(at(0));
    count.update(9, 0, at(1_000));
    assert_eq!(count.get(at(1_000)), 32);
    assert_eq!(count.get(at(7_000)), 9);
}

#[test]
fn the_leader_records_more_at_once_and_fewer_after_a_while() {
    let mut record = EntryRecord::new(at(0));
    assert_eq!(record.due(9, 0, at(1_000)), None, "not all may be heard of");
    assert_eq!(record.due(9, 0, at(6_000)), Some(9));
    assert_eq!(record.due(12, 9, at(7_000)), Some(12));
    assert_eq!(
        record.due(10, 12, at(8_000)),
        None,
        "some may only be silent"
    );
    assert_eq!(record.due(10, 12, at(29_000)), Some(10));
    assert_eq!(
        record.due(0, 10, at(60_000)),
        None,
        "it may be cut off itself"
    );
}

#[test]
fn a_leader_that_has_just_started_keeps_the_record() {
    let mut record = EntryRecord::new(at(0));
    for ms in (500..19_000).step_by(500) {
        assert_eq!(record.due(2, 9, at(ms)), None);
    }
}

#[test]
fn the_log_keeps_the_number() {
    let mut log = Log::default();
    assert_eq!(log.state.entries(), 0);
    log.apply(&Command::Entries(9));
    assert_eq!(log.state.entries(), 9);
}
