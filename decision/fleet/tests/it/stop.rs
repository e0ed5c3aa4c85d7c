//! A graceful stop cuts no request that arrived in time and ends within the grace period.
//!
//! Guards against accepting requests too late to finish: one was accepted 4.4 s
//! after the signal and cut at 7.3 s.

use std::time::Duration;

use pimentotide_fleet::{StopPhase, accepts_requests, stop_phase};

const GRACE: Duration = Duration::from_secs(8);

fn at(ms: u64, open: usize) -> StopPhase {
    stop_phase(Duration::from_millis(ms), open, GRACE)
}

#[test]
fn requests_are_refused_from_three_seconds_after_the_signal() {
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
fn in_flight_requests_are_cut_only_in_the_last_sixth_of_the_grace_period() {
    let last = GRACE.as_millis() as u64 * 5 / 6;
    assert!(
        (3_000..last)
            .step_by(50)
            .all(|ms| at(ms, 1) == StopPhase::Refusing)
    );
    assert_eq!(at(7_500, 1), StopPhase::Ended);
}

#[test]
fn idle_entry_exits_once_it_refuses_requests() {
    assert_eq!(at(2_000, 0), StopPhase::Accepting);
    assert_eq!(at(3_000, 0), StopPhase::Ended);
}

#[test]
fn process_exits_within_a_short_grace_period() {
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

/// Guards against requests that are accepted by the clock while the process already refuses or exits.
#[test]
fn requests_are_accepted_only_in_the_accepting_phase() {
    for grace in [1, 2, 4, 8, 30].map(Duration::from_secs) {
        for at in (0..30_000).map(Duration::from_millis) {
            for open in [0, 1] {
                let accepting = stop_phase(at, open, grace) == StopPhase::Accepting;
                assert_eq!(
                    accepts_requests(at, grace),
                    accepting,
                    "{at:?} of {grace:?}"
                );
            }
            assert!(!accepts_requests(at, grace) || at < Duration::from_secs(3));
        }
    }
}
