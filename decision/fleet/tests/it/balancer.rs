//! Choice of an upstream.
//!
//! Covers closed zones and upstreams that drain, fail, refuse requests, restart
//! cold or are replaced at their address by another upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_fleet::{
    Balancer, BalancerOptions, ChoiceRequest, ColdLimit, Command, EntryCount, Load, Outcome,
    Refusal, Stage,
};
use pimentotide_model::{Time, UpstreamName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::state::{Log, announcement};

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

struct Fixture {
    log: Log,
    balancer: Balancer,
    rng: ChaCha8Rng,
}

impl Fixture {
    /// Three upstreams in zone a and three in zone b.
    fn new() -> Self {
        let mut log = Log::default();
        for (index, zone) in ["a", "a", "a", "b", "b", "b"].into_iter().enumerate() {
            let mut announcement = announcement(&format!("u{index}"), 80 + index as u16, 1, 1);
            announcement.zone = zone.into();
            log.apply(&Command::Announce(announcement));
        }
        let options = BalancerOptions {
            zone: "a".into(),
            queue: 1.0,
        };
        let mut fixture = Self {
            log,
            balancer: Balancer::new(options),
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        fixture.update(0);
        fixture
    }

    fn update(&mut self, now: u64) {
        self.balancer.update_from_state(&self.log.state, at(now));
    }

    fn choose(
        &mut self,
        tried: &[UpstreamName],
        now: u64,
    ) -> Result<pimentotide_fleet::Choice, Refusal> {
        let request = ChoiceRequest {
            service: &"advice".into(),
            tried,
            may_queue: false,
            bound: None,
        };
        self.balancer.choose(&request, at(now), &mut self.rng)
    }

    /// Returns the requests per upstream after `count` choices that all stay in flight.
    fn spread(&mut self, count: usize, now: u64) -> BTreeMap<String, usize> {
        let mut spread = BTreeMap::new();
        for _ in 0..count {
            let choice = self.choose(&[], now).unwrap();
            *spread
                .entry(choice.ticket.upstream.to_string())
                .or_default() += 1;
        }
        spread
    }
}

#[test]
fn in_flight_requests_are_spread_evenly() {
    let mut fixture = Fixture::new();
    let spread = fixture.spread(60, 0);
    assert_eq!(spread.len(), 6);
    assert!(spread.values().all(|n| (9..=11).contains(n)), "{spread:?}");
}

#[test]
fn reported_load_counts_until_the_next_report() {
    let mut fixture = Fixture::new();
    for busy in ["u0", "u1", "u2", "u3"] {
        let load = Load {
            running: 12,
            waiting: 4,
            slots: 12,
        };
        fixture.balancer.report_load(&busy.into(), load, at(0));
    }
    let spread = fixture.spread(20, 0);
    assert_eq!(spread.keys().collect::<Vec<_>>(), ["u4", "u5"]);
}

#[test]
fn closed_zone_and_draining_upstreams_get_no_requests() {
    let mut fixture = Fixture::new();
    fixture.log.apply(&Command::Zone {
        zone: "a".into(),
        serving: false,
    });
    let mut leaving = announcement("u3", 83, 1, 2);
    leaving.zone = "b".into();
    leaving.stage = Stage::Draining;
    fixture.log.apply(&Command::Announce(leaving));
    fixture.update(1);
    let spread = fixture.spread(10, 1);
    assert_eq!(spread.keys().collect::<Vec<_>>(), ["u4", "u5"]);
}

#[test]
fn failing_upstream_is_ejected_and_later_retried() {
    let mut fixture = Fixture::new();
    let mut ejected = false;
    while !ejected {
        let choice = fixture.choose(&[], 0).unwrap();
        let bad = choice.ticket.upstream.as_str() == "u0";
        let outcome = if bad { Outcome::Failed } else { Outcome::Good };
        ejected = fixture.balancer.finish(&choice.ticket, outcome, at(0));
    }
    let spread = fixture.spread(30, 1);
    assert!(!spread.contains_key("u0"), "{spread:?}");
    assert!(fixture.spread(30, 10_000).contains_key("u0"));
}

/// Guards against a silent upstream that gets more streams because those that cannot leave it still
/// run there.
#[test]
fn upstream_that_fails_running_requests_is_ejected() {
    let mut fixture = Fixture::new();
    let running = fixture.choose(&[], 0).unwrap().ticket;
    let ejected = (0..20).any(|_| fixture.balancer.record_failure(&running, at(0)));
    assert!(ejected);
    let spread = fixture.spread(30, 1);
    assert!(
        !spread.contains_key(running.upstream.as_str()),
        "{spread:?}"
    );
}

#[test]
fn failures_of_most_upstreams_eject_none() {
    let mut fixture = Fixture::new();
    for _ in 0..200 {
        let choice = fixture.choose(&[], 0).unwrap();
        fixture
            .balancer
            .finish(&choice.ticket, Outcome::Failed, at(0));
    }
    assert!(fixture.choose(&[], 1).is_ok());
    assert!(fixture.spread(12, 1).len() >= 4);
}

#[test]
fn upstream_replaced_at_its_address_is_avoided() {
    let mut fixture = Fixture::new();
    for _ in 0..40 {
        let choice = fixture.choose(&[], 0).unwrap();
        let replaced = choice.ticket.upstream.as_str() == "u1";
        let outcome = if replaced {
            Outcome::Gone
        } else {
            Outcome::Good
        };
        fixture.balancer.finish(&choice.ticket, outcome, at(0));
    }
    let before = fixture.spread(30, 0);
    assert!(!before.contains_key("u1"), "{before:?}");
}

#[test]
fn request_is_refused_when_all_upstreams_are_full() {
    let mut fixture = Fixture::new();
    for upstream in ["u0", "u1", "u2", "u3", "u4", "u5"] {
        let load = Load {
            running: 12,
            waiting: 12,
            slots: 12,
        };
        fixture.balancer.report_load(&upstream.into(), load, at(0));
    }
    assert_eq!(fixture.choose(&[], 0).unwrap_err(), Refusal::Full);
}

#[test]
fn tried_upstreams_are_chosen_only_as_a_last_resort() {
    let mut fixture = Fixture::new();
    let tried: Vec<UpstreamName> = ["u0", "u1", "u2", "u3", "u4"]
        .map(UpstreamName::from)
        .to_vec();
    assert_eq!(
        fixture.choose(&tried, 0).unwrap().ticket.upstream.as_str(),
        "u5"
    );
    let all: Vec<UpstreamName> = (0..6).map(|i| format!("u{i}").into()).collect();
    assert_eq!(fixture.choose(&all, 0).unwrap().candidates, 6);
}

/// Nine entries together stay within the rate limit of a cold upstream in every second.
#[test]
fn entries_together_respect_the_cold_limit() {
    let sent = send_to_a_cold_upstream(|_, _| 9);
    assert!(sent > 60, "{sent}");
}

/// After a restart of all processes, replicas report too few entries for a while.
///
/// Guards against exceeding the cold limit meanwhile: with a single cold upstream announced, that
/// upstream received 65 requests in a second.
#[test]
fn entry_count_that_is_too_low_at_first_keeps_the_cold_limit() {
    let mut counts = vec![EntryCount::new(at(0)); 9];
    let sent = send_to_a_cold_upstream(move |entry, ms| {
        let reported = 1 + ms as usize / 200;
        counts[entry].update(reported.min(9), 0, at(ms));
        counts[entry].get(at(ms))
    });
    assert!(sent > 20, "{sent}");
}

/// Simulates nine entries that all send to one cold upstream; returns the requests sent.
fn send_to_a_cold_upstream<F>(mut entries_at: F) -> usize
where
    F: FnMut(usize, u64) -> usize,
{
    let mut log = Log::default();
    let mut cold = announcement("u0", 80, 1, 1);
    cold.cold_ms = 3_000;
    log.apply(&Command::Announce(cold));
    let limit = ColdLimit {
        duration: Duration::from_secs(3),
        rate: 38.0,
    };
    let mut entries: Vec<Balancer> = (0..9)
        .map(|_| {
            let mut balancer = Balancer::new(BalancerOptions {
                zone: "a".into(),
                queue: 1_000.0,
            });
            balancer.set_cold_limits([("advice".into(), limit)].into());
            balancer.set_entries(32, at(0));
            balancer.update_from_state(&log.state, at(0));
            balancer
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let service = "advice".into();
    let mut sent = Vec::new();
    for ms in 0..2_900 {
        for (index, entry) in entries.iter_mut().enumerate() {
            entry.set_entries(entries_at(index, ms), at(ms));
            let request = ChoiceRequest {
                service: &service,
                tried: &[],
                may_queue: false,
                bound: None,
            };
            if entry.choose(&request, at(ms), &mut rng).is_ok() {
                sent.push(ms);
            }
        }
    }
    let most = sent
        .iter()
        .map(|start| {
            sent.iter()
                .filter(|ms| (*start..start + 1_000).contains(*ms))
                .count()
        })
        .max();
    let bound = 38.0 * 1.5 + 5.0;
    assert!(
        most.is_some_and(|most| most as f64 <= bound),
        "{most:?} > {bound}"
    );
    sent.len()
}
