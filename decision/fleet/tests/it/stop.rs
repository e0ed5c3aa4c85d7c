//! Planned stops cut nothing that came in time and end within the grace.
//!
//! Seen on a day of a hunt: a request was taken 4.4 s after the signal and cut at 7.3 s.

use std::time::Duration;

use pimentotide_fleet::{StopPhase, stop_phase};

const GRACE: Duration = Duration::from_secs(8);

fn at(ms: u64, open: usize) -> StopPhase {
    stop_phase(Duration::from_millis(ms), open, GRACE)
}

#[test]
fn nothing_is_taken_later_than_three_seconds_after_the_signal() {
    for open in [0, 5] {
        assert_eq!(at(0, open), StopPhase::Accepting);
        assert!(
            (3_000..9_000)
                .step_by(50)
                .all(|ms| at(ms, open) != StopPhase::Accepting)
        );
    }
}

#[test]
fn requests_under_way_are_cut_only_in_the_last_sixth_of_the_grace() {
    let last = GRACE.as_millis() as u64 * 5 / 6;
    assert!(
        (3_000..last)
            .step_by(50)
            .all(|ms| at(ms, 1) == StopPhase::Refusing)
    );
    assert_eq!(at(7_500, 1), StopPhase::Ended);
}

#[test]
fn an_idle_entry_ends_once_it_takes_nothing_more() {
    assert_eq!(at(2_000, 0), StopPhase::Accepting);
    assert_eq!(at(3_000, 0), StopPhase::Ended);
}

#[test]
fn a_short_grace_is_kept_too() {
    let short = Duration::from_secs(2);
    assert_eq!(
        stop_phase(Duration::from_millis(1_100), 3, short),
        StopPhase::Refusing
    );
    assert_eq!(
        stop_phase(Duration::from_millis(1_900), 3, short),
        StopPhase::Ended
    );
}
