//! Requests held back while all upstreams refuse them.
//!
//! Pattern: power comes back after an outage. Callers return before the group of
//! engines is formed, and each has no other try.

use std::time::Duration;

use pimentotide_fleet::{Admission, ServiceGate};
use pimentotide_model::Time;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Time at which a process has its first configuration, ms.
const START: u64 = 400;

/// Requests that each look every 40 ms whether they may be sent, until `ends`, ms.
///
/// Upstreams refuse within 2 ms until `opens`. Returns the refusals, and the time
/// at which each request was taken.
fn play(requests: u64, opens: u64, ends: u64) -> (u32, Vec<u64>) {
    let mut gate = ServiceGate::default();
    let (mut refusals, mut taken) = (0, Vec::new());
    let mut waiting: Vec<u64> = (0..requests).collect();
    for ms in START..START + ends {
        let opens = START + opens;
        let mut left = Vec::new();
        for offset in waiting {
            if (ms + offset) % 40 != 0 || gate.admit(at(ms)) != Admission::Send {
                left.push(offset);
            } else if ms < opens {
                gate.record_refused(at(ms + 2));
                refusals += 1;
                left.push(offset);
            } else {
                taken.push(ms);
            }
        }
        waiting = left;
    }
    (refusals, taken)
}

#[test]
fn callers_that_come_before_the_group_is_formed_are_served_once_it_is() {
    let (refusals, taken) = play(60, 600, 1_200);
    assert_eq!(taken.len(), 60);
    assert!(refusals <= 6, "{refusals}");
    assert!(taken.iter().all(|ms| *ms <= START + 900), "{taken:?}");
}

#[test]
fn a_service_that_takes_requests_holds_none_back_for_long() {
    let (refusals, taken) = play(60, 0, 300);
    assert_eq!((refusals, taken.len()), (0, 60));
    assert!(taken.iter().all(|ms| *ms <= START + 170), "{taken:?}");
}

#[test]
fn the_first_answer_lets_all_others_go() {
    let mut gate = ServiceGate::default();
    assert_eq!(gate.admit(at(400)), Admission::Send);
    assert!(matches!(gate.admit(at(401)), Admission::Wait(_)));
    gate.record_accepted();
    assert_eq!(gate.admit(at(402)), Admission::Send);
    assert_eq!(gate.admit(at(402)), Admission::Send);
}

#[test]
fn refusals_between_successes_hold_nothing_back() {
    let mut gate = ServiceGate::default();
    gate.record_accepted();
    for ms in 0..100 {
        assert_eq!(gate.admit(at(ms)), Admission::Send);
        if ms % 3 == 0 {
            gate.record_accepted();
        } else {
            gate.record_refused(at(ms));
        }
    }
}

#[test]
fn one_request_at_a_time_tries_while_others_wait() {
    let mut gate = ServiceGate::default();
    gate.record_accepted();
    for _ in 0..3 {
        gate.record_refused(at(0));
    }
    assert!(matches!(gate.admit(at(10)), Admission::Wait(_)));
    assert_eq!(gate.admit(at(130)), Admission::Send, "one tries");
    assert!(matches!(gate.admit(at(131)), Admission::Wait(_)));
    gate.record_refused(at(132));
    assert!(matches!(gate.admit(at(200)), Admission::Wait(_)));
    assert_eq!(gate.admit(at(260)), Admission::Send, "the next one tries");
    assert_eq!(gate.admit(at(400)), Admission::Send, "it was not refused");
    assert_eq!(gate.admit(at(400)), Admission::Send, "so nobody waits");
}
