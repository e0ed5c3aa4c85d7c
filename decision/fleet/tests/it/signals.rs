//! Upstreams that say in their answers that they are leaving or ask for a backoff.
//!
//! Load patterns: an upstream that leaves without an announcement while requests and their
//! retries keep coming, and a service whose upstreams are all overloaded and say so.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_fleet::{
    Balancer, BalancerOptions, Choice, ChoiceRequest, Command, Outcome, Refusal,
};
use pimentotide_model::{Time, UpstreamName};
use proptest::prelude::*;
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
    fn new(upstreams: u16) -> Self {
        let mut log = Log::default();
        for number in 0..upstreams {
            let announced = announcement(&format!("u{number}"), 80 + number, 1, 1);
            log.apply(&Command::Announce(announced));
        }
        let options = BalancerOptions {
            zone: "a".into(),
            queue: 2.0,
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

    fn choose(&mut self, tried: &[UpstreamName], now: u64) -> Result<Choice, Refusal> {
        let request = ChoiceRequest {
            service: &"advice".into(),
            tried,
            may_queue: false,
            bound: None,
        };
        self.balancer.choose(&request, at(now), &mut self.rng)
    }

    /// Chooses, and ends the request at once.
    fn send(&mut self, tried: &[UpstreamName], now: u64) -> Result<Choice, Refusal> {
        let choice = self.choose(tried, now)?;
        self.balancer.finish(&choice.ticket, Outcome::Good, at(now));
        Ok(choice)
    }
}

#[test]
fn leaving_upstream_receives_nothing_more_not_even_as_the_last_choice() {
    let mut fixture = Fixture::new(2);
    let first = fixture.send(&[], 0).unwrap();
    assert!(fixture.balancer.record_leaving(&first.ticket));
    assert!(!fixture.balancer.record_leaving(&first.ticket), "not new");
    for ms in 0..200 {
        let other = fixture.send(&[], ms).unwrap();
        assert_ne!(other.ticket.upstream, first.ticket.upstream);
        let retried = fixture.send(&[other.ticket.upstream], ms).unwrap();
        assert_ne!(retried.ticket.upstream, first.ticket.upstream);
    }
    assert_eq!(fixture.balancer.counts(at(200)).out, 1);
    // A later update of the shared state, in which it is still ready, changes nothing.
    fixture.update(300);
    let second = fixture.send(&[], 300).unwrap();
    assert!(fixture.balancer.record_leaving(&second.ticket));
    assert_eq!(fixture.choose(&[], 300), Err(Refusal::Empty));
}

#[test]
fn upstream_that_left_serves_again_after_a_restart() {
    let mut fixture = Fixture::new(1);
    let first = fixture.send(&[], 0).unwrap();
    fixture.balancer.record_leaving(&first.ticket);
    let restarted = announcement("u0", 80, 2, 1);
    fixture.log.apply(&Command::Announce(restarted));
    fixture.update(100);
    let again = fixture.send(&[], 100).unwrap();
    assert_eq!(again.ticket.upstream, first.ticket.upstream);
    // An answer of the previous incarnation that arrives late does not concern the new one.
    assert!(!fixture.balancer.record_leaving(&first.ticket));
    fixture
        .balancer
        .record_backoff(&first.ticket, Duration::from_secs(5), at(100));
    assert!(fixture.send(&[], 100).is_ok());
}

#[test]
fn all_in_backoff_are_refused_with_the_time_until_the_first_ends() {
    let mut fixture = Fixture::new(2);
    let first = fixture.send(&[], 0).unwrap();
    let tried = [first.ticket.upstream.clone()];
    let second = fixture.send(&tried, 0).unwrap();
    let backoff = Duration::from_secs;
    fixture
        .balancer
        .record_backoff(&first.ticket, backoff(3), at(0));
    assert_eq!(
        fixture.send(&[], 10).unwrap().ticket.upstream,
        second.ticket.upstream
    );
    fixture
        .balancer
        .record_backoff(&second.ticket, backoff(2), at(500));
    let left = Duration::from_millis(1_500);
    assert_eq!(fixture.send(&[], 1_000), Err(Refusal::Backoff(left)));
    assert_eq!(fixture.balancer.counts(at(1_000)).backoff, 2);
    assert_eq!(
        fixture.send(&[], 2_500).unwrap().ticket.upstream,
        second.ticket.upstream
    );
    // A shorter backoff does not cut a longer one short.
    fixture
        .balancer
        .record_backoff(&first.ticket, Duration::from_millis(1), at(2_500));
    assert_eq!(
        fixture.send(&tried, 2_600).unwrap().ticket.upstream,
        second.ticket.upstream
    );
}

proptest! {
    /// Every upstream refuses each request with a backoff; retries go to the others.
    #[test]
    fn none_is_sent_during_a_backoff_under_overload(
        upstreams in 1..6_u16,
        backoffs in proptest::collection::vec(200..4_000_u64, 1..20),
    ) {
        let mut fixture = Fixture::new(upstreams);
        let mut ends: BTreeMap<UpstreamName, u64> = BTreeMap::new();
        let mut drawn = backoffs.iter().cycle();
        for ms in (0..20_000).step_by(10) {
            let mut tried = Vec::new();
            while let Ok(choice) = fixture.choose(&tried, ms) {
                let name = choice.ticket.upstream.clone();
                prop_assert!(ends.get(&name).is_none_or(|end| *end <= ms), "{} at {}", name, ms);
                let backoff = drawn.next().copied().unwrap_or(1_000);
                let length = Duration::from_millis(backoff);
                fixture.balancer.record_backoff(&choice.ticket, length, at(ms));
                fixture.balancer.finish(&choice.ticket, Outcome::Full, at(ms));
                ends.insert(name.clone(), ms + backoff);
                tried.push(name);
            }
            let first_end = ends.values().min().copied().unwrap_or(0);
            let left = Duration::from_millis(first_end - ms);
            prop_assert_eq!(fixture.choose(&[], ms), Err(Refusal::Backoff(left)));
        }
    }
}
