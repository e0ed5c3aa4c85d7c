//! Limits that upstreams name in their answers, under all entries together.
//!
//! Load patterns: a service of which some or all upstreams name limits far below the demand, at
//! fleets of any size, while entries start, stop, are cut off from control or see other lists of
//! entries for a moment.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_fleet::{Command, EntryPosition, LimitReport, LimitView, Outcome, Refusal, Reply};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::limited_fleet::{Event, Fleet, STEP_MS, at, balancer, choose, limits, rate, service};
use crate::state::{Log, announcement};

#[test]
fn large_fleet_keeps_the_limits_of_all_upstreams_and_uses_them() {
    // A share for each of 96 entries would be a burst of 96 where 12 are allowed.
    let mut fleet = Fleet::new(96, limits(129, 129, 1.2, 20_000), 129, &[]);
    fleet.play(320.0, 20_000);
    assert_eq!(fleet.violations(), []);
    let served = fleet.served_by_limited(8_000, 18_000) as f64 / 10.0;
    assert!(served > 0.75 * 129.0 * 1.2, "{served} requests per second");
}

#[test]
fn rest_beyond_the_limits_goes_to_upstreams_without_any() {
    let mut fleet = Fleet::new(9, limits(12, 4, 2.3, 20_000), 12, &[]);
    fleet.play(56.0, 20_000);
    assert_eq!(fleet.violations(), []);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn every_entry_uses_an_upstream_again_after_its_limit_has_ended() {
    let mut fleet = Fleet::new(9, limits(12, 12, 2.3, 8_000), 12, &[]);
    fleet.play(56.0, 14_000);
    assert_eq!(fleet.violations(), []);
    for entry in &fleet.entries {
        let counts = entry.balancer.counts(at(14_000));
        assert_eq!((counts.limited, counts.usable), (0, 12));
    }
    assert!(fleet.served_by_limited(11_000, 14_000) >= 150);
}

/// Replicas that have just started list few entries, each some others.
#[test]
fn entries_that_see_only_themselves_listed_keep_the_limits_together() {
    let mut fleet = Fleet::new(9, limits(12, 12, 2.3, 20_000), 12, &[]);
    fleet.lists_all = false;
    fleet.play(56.0, 20_000);
    assert_eq!(fleet.violations(), []);
    assert!(fleet.served_by_limited(5_000, 20_000) > 0);
}

#[test]
fn share_of_a_limit_follows_the_position_of_the_entry() {
    let log = service(1);
    let mut balancer = balancer(&log, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let ticket = choose(&mut balancer, 0, &mut rng).unwrap().ticket;
    let limit = Some(rate(1.0));
    balancer.set_entries(2, at(0));
    balancer.set_position(EntryPosition { index: 1, count: 2 }, at(0));
    assert!(
        balancer
            .record_limit(&ticket, limit, at(0), at(0))
            .is_some()
    );
    assert!(
        choose(&mut balancer, 3_000, &mut rng).is_ok(),
        "the only holder"
    );
    balancer.set_position(EntryPosition { index: 0, count: 2 }, at(3_000));
    let refused = choose(&mut balancer, 9_000, &mut rng);
    assert_eq!(refused, Err(Refusal::Limited(None)));
    balancer.set_position(EntryPosition { index: 1, count: 2 }, at(9_000));
    assert!(
        choose(&mut balancer, 9_000, &mut rng).is_err(),
        "nothing accrued"
    );
    assert!(choose(&mut balancer, 11_000, &mut rng).is_ok());
}

#[test]
fn refusal_says_when_the_limit_leaves_room_again() {
    let log = service(1);
    let mut balancer = balancer(&log, 0);
    balancer.set_position(EntryPosition { index: 0, count: 1 }, at(0));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let first = choose(&mut balancer, 0, &mut rng).unwrap().ticket;
    balancer.finish(&first, Outcome::Good, at(0));
    assert!(
        balancer
            .record_limit(&first, Some(rate(2.0)), at(0), at(100))
            .is_some()
    );
    // 1.8 requests per second are used.
    let until_first = Duration::from_secs_f64(1.0 / 1.8);
    let refused = choose(&mut balancer, 100, &mut rng);
    assert_eq!(refused, Err(Refusal::Limited(Some(until_first))));
    assert!(choose(&mut balancer, 700, &mut rng).is_ok());
    assert!(choose(&mut balancer, 710, &mut rng).is_err());
}

#[test]
fn limit_ends_only_with_an_answer_to_a_later_request() {
    let log = service(1);
    let mut balancer = balancer(&log, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let ticket = choose(&mut balancer, 0, &mut rng).unwrap().ticket;
    assert!(
        balancer
            .record_limit(&ticket, Some(rate(2.0)), at(0), at(100))
            .is_some()
    );
    assert!(
        balancer
            .record_limit(&ticket, Some(rate(2.0)), at(0), at(150))
            .is_none()
    );
    assert!(
        balancer
            .record_limit(&ticket, None, at(120), at(200))
            .is_none(),
        "sent before"
    );
    assert_eq!(balancer.counts(at(200)).limited, 1);
    assert!(
        balancer
            .record_limit(&ticket, None, at(160), at(300))
            .is_some()
    );
    assert_eq!(balancer.counts(at(300)).limited, 0);
}

#[test]
fn control_keeps_a_limit_until_it_ends_or_its_upstream_stops() {
    let mut log = service(2);
    let report = |upstream: &str, born, per_second: Option<f64>| LimitReport {
        upstream: upstream.into(),
        born,
        rate: per_second.map(rate),
    };
    let view = |log: &Log| -> Vec<String> {
        let limits = log.state.limits().limits.iter();
        limits
            .map(|(name, l)| format!("{name} {}", l.rate))
            .collect()
    };
    let named = Command::Limits(vec![
        report("u000", 1, Some(2.5)),
        report("u001", 1, Some(4.0)),
    ]);
    assert_eq!(log.apply(&named), Reply::Done);
    assert_eq!(log.apply(&named), Reply::NotNewer);
    let other_start = Command::Limits(vec![report("u000", 9, Some(1.0))]);
    assert_eq!(log.apply(&other_start), Reply::NotNewer);
    assert_eq!(view(&log), ["u000 2.5", "u001 4"]);
    let restored = {
        use pimentotide_consensus::Machine;
        let mut state = pimentotide_fleet::FleetState::default();
        state.restore(&log.state.snapshot()).unwrap();
        state
    };
    assert_eq!(restored, log.state);
    log.apply(&Command::Announce(announcement("u000", 1_000, 2, 1)));
    assert_eq!(view(&log), ["u001 4"]);
    log.apply(&Command::Withdraw("u001".into()));
    assert_eq!(log.state.limits().limits, BTreeMap::new());
}

#[test]
fn entry_that_has_just_started_keeps_limits_before_its_first_answer() {
    let mut log = service(2);
    log.apply(&Command::Limits(vec![LimitReport {
        upstream: "u000".into(),
        born: 1,
        rate: Some(rate(2.0)),
    }]));
    for limits_first in [true, false] {
        let mut started = balancer(&Log::default(), 0);
        let view = || -> LimitView { log.state.limits().clone() };
        if limits_first {
            started.update_limits(view(), at(0));
        }
        started.update_from_state(&log.state, at(0));
        if !limits_first {
            started.update_limits(view(), at(0));
        }
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        for _ in 0..4 {
            let choice = choose(&mut started, 0, &mut rng).unwrap();
            assert_eq!(&*choice.ticket.upstream, "u001");
        }
    }
}

fn events() -> impl Strategy<Value = Vec<(usize, Event)>> {
    let event = (0..64_usize, 0..12_000_u64, 500..5_000_u64, any::<bool>());
    let event = event.prop_map(|(entry, from, length, restart)| {
        let from = from - from % STEP_MS;
        let until = from + length - length % STEP_MS;
        let event = if restart {
            Event::Restart { from, until }
        } else {
            Event::Cut { from, until }
        };
        (entry, event)
    });
    proptest::collection::vec(event, 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// No upstream gets more than its limit allows, however entries come, go and lose control.
    #[test]
    fn limits_are_kept_by_all_entries_together(
        entries in 1..64_usize,
        upstreams in 1..40_usize,
        limited in 1..40_usize,
        per_second in 0.0..8.0_f64,
        demand in 20.0..300.0_f64,
        events in events(),
    ) {
        let events: Vec<(usize, Event)> =
            events.into_iter().map(|(e, event)| (e % entries, event)).collect();
        let limits = limits(upstreams, limited.min(upstreams), per_second, 14_000);
        let mut fleet = Fleet::new(entries, limits, upstreams, &events);
        fleet.play(demand, 14_000);
        prop_assert_eq!(fleet.violations(), vec![]);
    }
}
