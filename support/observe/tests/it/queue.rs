//! Tests of the limits of the log queue.

use std::time::{Duration, Instant};

use pimentotide_observe::{Dropped, LineQueue, split_lines};

const LINE_BYTES: usize = 1 << 10;

#[test]
fn lines_are_returned_in_order() {
    let now = Instant::now();
    let mut queue = LineQueue::new(now);
    queue.push("one", true, now);
    queue.push("two", false, now);
    assert_eq!(
        (queue.take().as_str(), queue.is_empty()),
        ("one\ntwo\n", true)
    );
}

#[test]
fn stalled_reader_causes_routine_lines_to_be_dropped_first() {
    let start = Instant::now();
    let mut queue = LineQueue::new(start);
    let line = "x".repeat(LINE_BYTES);
    for second in 0..4 {
        let now = start + Duration::from_secs(second);
        for _ in 0..80 {
            queue.push(&line, true, now);
        }
        queue.push("a refusal", false, now);
    }
    let dropped = queue.dropped();
    assert!(dropped.routine > 0, "{dropped:?}");
    assert_eq!(dropped.other, 0);
    assert_eq!(queue.take().matches("a refusal").count(), 4);
}

#[test]
fn memory_is_bounded_without_a_reader() {
    let start = Instant::now();
    let mut queue = LineQueue::new(start);
    let line = "x".repeat(LINE_BYTES);
    for second in 0..100 {
        for _ in 0..100 {
            queue.push(&line, false, start + Duration::from_secs(second));
        }
    }
    assert!(queue.dropped().other > 9_000);
    assert!(queue.take().len() <= 256 << 10);
}

#[test]
fn line_rate_is_limited_per_second_and_drops_are_reported() {
    let start = Instant::now();
    let mut queue = LineQueue::new(start);
    for second in 0..2 {
        let now = start + Duration::from_secs(second);
        for _ in 0..1_000 {
            queue.push("a", true, now);
            queue.push("b", false, now);
        }
    }
    let total = Dropped {
        routine: 2 * 640,
        other: 2 * 280,
    };
    assert_eq!(queue.dropped(), total);
    let later = start + Duration::from_secs(3);
    assert_eq!(queue.report(start + Duration::from_millis(1_100)), None);
    assert_eq!(queue.report(later), Some(total));
    assert_eq!(queue.report(later), None);
}

#[test]
fn split_chunks_hold_whole_lines() {
    let text = "aaa\nbb\ncccccccccc\nd\n";
    assert_eq!(split_lines(text, 7), ["aaa\nbb\n", "cccccccccc\n", "d\n"]);
    assert_eq!(split_lines("", 7), Vec::<&str>::new());
}
