//! Requests delayed while all upstreams refuse them.
//!
//! Guards against failed requests after a power outage: callers send them before
//! the group of engines has formed, and do not retry.

use std::time::Duration;

use pimentotide_fleet::{Admission, ServiceGate};
use pimentotide_model::Time;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Time at which the process receives its first configuration, ms.
const START: u64 = 400;

/// Simulates `requests` requests that each poll the gate every 40 ms until `ends`, ms.
///
/// Upstreams refuse within 2 ms until `opens`. Returns the number of refusals and the
/// time at which each request was accepted.
fn simulate(requests: u64, opens: u64, ends: u64) -> (u32, Vec<u64>) {
    let mut gate = ServiceGate::default();
    let (mut refusals, mut accepted) = (0, Vec::new());
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
                accepted.push(ms);
            }
        }
        waiting = left;
    }
    (refusals, accepted)
}

#[test]
fn requests_sent_before_the_group_forms_are_served_afterwards() {
    let (refusals, accepted) = simulate(60, 600, 1_200);
    assert_eq!(accepted.len(), 60);
    assert!(refusals <= 6, "{refusals}");
    assert!(accepted.iter().all(|ms| *ms <= START + 900), "{accepted:?}");
}

#[test]
fn available_service_delays_requests_only_briefly() {
    let (refusals, accepted) = simulate(60, 0, 300);
    assert_eq!((refusals, accepted.len()), (0, 60));
    assert!(accepted.iter().all(|ms| *ms <= START + 170), "{accepted:?}");
}

#[test]
fn first_accepted_request_opens_the_gate() {
    let mut gate = ServiceGate::default();
    assert_eq!(gate.admit(at(400)), Admission::Send);
    assert!(matches!(gate.admit(at(401)), Admission::Wait(_)));
    gate.record_accepted();
    assert_eq!(gate.admit(at(402)), Admission::Send);
    assert_eq!(gate.admit(at(402)), Admission::Send);
}

#[test]
fn refusals_between_successes_delay_nothing() {
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
fn one_probe_at_a_time_is_sent_while_others_wait() {
    let mut gate = ServiceGate::default();
    gate.record_accepted();
    for _ in 0..3 {
        gate.record_refused(at(0));
    }
    assert!(matches!(gate.admit(at(10)), Admission::Wait(_)));
    assert_eq!(gate.admit(at(130)), Admission::Send, "probe");
    assert!(matches!(gate.admit(at(131)), Admission::Wait(_)));
    gate.record_refused(at(132));
    assert!(matches!(gate.admit(at(200)), Admission::Wait(_)));
    assert_eq!(gate.admit(at(260)), Admission::Send, "next probe");
    assert_eq!(
        gate.admit(at(400)),
        Admission::Send,
        "the probe was not refused"
    );
    assert_eq!(gate.admit(at(400)), Admission::Send, "the gate is open");
}
