//! Number of entries by which limits are divided.
//!
//! Guards against a count that is too low after all processes were killed and
//! restarted, while replicas discover the entries one by one.

use std::time::Duration;

use pimentotide_fleet::{Command, EntryCount, EntryRecord};
use pimentotide_model::Time;

use crate::state::Log;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

#[test]
fn recorded_number_is_used_right_after_a_restart_of_all_processes() {
    let mut count = EntryCount::new(at(0));
    assert_eq!(count.get(at(0)), 32, "nothing is reported yet");
    count.update(0, 9, at(100));
    assert_eq!(count.get(at(100)), 9);
    count.update(3, 9, at(500));
    assert_eq!(
        count.get(at(500)),
        9,
        "replicas have not discovered all entries yet"
    );
    count.update(12, 9, at(900));
    assert_eq!(count.get(at(900)), 12, "more than are recorded");
}

#[test]
fn large_number_is_assumed_before_the_first_record() {
    let mut count = EntryCount::new(at(0));
    count.update(9, 0, at(1_000));
    assert_eq!(count.get(at(1_000)), 32);
    assert_eq!(count.get(at(7_000)), 9);
}

#[test]
fn leader_records_a_higher_number_at_once_and_a_lower_one_later() {
    let mut record = EntryRecord::new(at(0));
    assert_eq!(
        record.due(9, 0, at(1_000)),
        None,
        "some entries may not be discovered yet"
    );
    assert_eq!(record.due(9, 0, at(6_000)), Some(9));
    assert_eq!(record.due(12, 9, at(7_000)), Some(12));
    assert_eq!(
        record.due(10, 12, at(8_000)),
        None,
        "some may be unreachable for a short time"
    );
    assert_eq!(record.due(10, 12, at(29_000)), Some(10));
    assert_eq!(
        record.due(0, 10, at(60_000)),
        None,
        "the leader itself may be partitioned"
    );
}

#[test]
fn new_leader_keeps_the_recorded_number() {
    let mut record = EntryRecord::new(at(0));
    for ms in (500..19_000).step_by(500) {
        assert_eq!(record.due(2, 9, at(ms)), None);
    }
}

#[test]
fn number_of_entries_is_stored_in_the_log() {
    let mut log = Log::default();
    assert_eq!(log.state.entries(), 0);
    log.apply(&Command::Entries(9));
    assert_eq!(log.state.entries(), 9);
}
