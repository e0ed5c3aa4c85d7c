//! Slow engines: their reports, the list of a replica, and the choice of upstreams.
//!
//! Load pattern: one rank of a lock-step group is six times as slow for some seconds, and each
//! request that runs there delays all streams of the group.

use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_fleet::{
    Balancer, BalancerOptions, Choice, ChoiceRequest, Command, Engine, Load, Outcome, Relief,
    SlowEngine, SlowList, SlowReporter, Ticket,
};
use pimentotide_model::{Time, UpstreamName};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::state::{Log, announcement};

const SLOTS: u32 = 10;
/// Interval of the datagrams of an agent, ms.
const INTERVAL: u64 = 200;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn address(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

fn engine(number: u16, pace: u16) -> SlowEngine {
    SlowEngine {
        engine: address(80 + number),
        pace,
    }
}

fn name(number: u16) -> UpstreamName {
    format!("u{number}").as_str().into()
}

struct Fixture {
    log: Log,
    balancer: Balancer,
    rng: ChaCha8Rng,
}

impl Fixture {
    /// Group of `ranks` upstreams whose requests take 0.435 ms each of a step of 4.84 ms.
    fn new(ranks: u16) -> Self {
        let mut log = Log::default();
        for number in 0..ranks {
            let mut announced = announcement(&format!("u{number}"), 80 + number, 1, 1);
            announced.slots = SLOTS;
            log.apply(&Command::Announce(announced));
        }
        let mut balancer = Balancer::new(BalancerOptions {
            zone: "a".into(),
            queue: 2.0,
        });
        let engine = Engine {
            slots: SLOTS,
            step_ms: 4.84,
            per_request_ms: 0.435,
            ..Engine::default()
        };
        balancer.set_engines([("advice".into(), engine)]);
        balancer.update_from_state(&log.state, at(0));
        let rng = ChaCha8Rng::seed_from_u64(1);
        Self { log, balancer, rng }
    }

    fn choose(&mut self, tried: &[UpstreamName]) -> Choice {
        let request = ChoiceRequest {
            service: &"advice".into(),
            tried,
            may_queue: false,
            bound: None,
        };
        let choice = self.balancer.choose(&request, at(0), &mut self.rng);
        choice.expect("an upstream with room")
    }

    fn relief(&mut self, choice: &Choice) -> Relief {
        let request = ChoiceRequest {
            service: &"advice".into(),
            tried: std::slice::from_ref(&choice.ticket.upstream),
            may_queue: false,
            bound: None,
        };
        self.balancer.relief(&choice.ticket, &request, at(0))
    }

    fn fill(&mut self, number: u16, running: u32) {
        let load = Load {
            running,
            waiting: 0,
            slots: SLOTS,
        };
        self.balancer.report_load(&name(number), load, at(0));
    }

    /// Number of `count` requests that go to `u0`.
    fn sent_to_first(&mut self, count: usize) -> usize {
        let choices = (0..count).map(|_| self.choose(&[]));
        let first: UpstreamName = "u0".into();
        choices.filter(|c| c.ticket.upstream == first).count()
    }
}

/// Guards against new requests at a slow rank while the rest of the group has room.
#[test]
fn slow_rank_gets_no_requests_while_another_has_room() {
    let mut fixture = Fixture::new(8);
    let changes = fixture.balancer.set_slow(&[engine(0, 600)]);
    let changes: Vec<_> = changes
        .iter()
        .map(|c| (c.upstream.to_string(), c.pace, c.avoided))
        .collect();
    assert_eq!(changes, [("u0".to_owned(), 6.0, true)]);
    assert_eq!(fixture.balancer.counts(at(0)).slow, 1);
    // 30 requests each is all that the others take.
    assert_eq!(fixture.sent_to_first(7 * 30), 0);
    assert_eq!(fixture.sent_to_first(30), 30, "nothing else has room");
}

/// Guards against a rank that stays avoided after it has recovered.
#[test]
fn recovered_rank_gets_requests_again() {
    let mut fixture = Fixture::new(8);
    fixture.balancer.set_slow(&[engine(0, 600)]);
    let changes = fixture.balancer.set_slow(&[]);
    assert_eq!(changes.len(), 1);
    assert!((changes[0].pace, changes[0].avoided) == (1.0, false));
    assert!(fixture.balancer.set_slow(&[]).is_empty(), "no change");
    assert!(fixture.sent_to_first(80) >= 9);
}

/// Guards against a rank that restarts or is announced anew and is forgotten to be slow.
#[test]
fn slow_rank_stays_avoided_when_the_shared_state_changes() {
    let mut fixture = Fixture::new(8);
    fixture.balancer.set_slow(&[engine(0, 600)]);
    let mut restarted = announcement("u0", 80, 2, 1);
    restarted.slots = SLOTS;
    fixture.log.apply(&Command::Announce(restarted));
    fixture
        .balancer
        .update_from_state(&fixture.log.state, at(1));
    assert_eq!(fixture.sent_to_first(40), 0);
}

/// Guards against capacity lost to a rank that is only a little slow: the limit is 1.742 for this
/// engine, the load of a full engine against that of one request.
#[test]
fn mildly_slow_rank_gets_fewer_requests_but_is_not_avoided() {
    let mut sent = Vec::new();
    for pace in [100, 125, 174, 175] {
        let mut fixture = Fixture::new(8);
        for number in 0..8 {
            fixture.fill(number, 5);
        }
        fixture.balancer.set_slow(&[engine(0, pace)]);
        sent.push(fixture.sent_to_first(40));
    }
    assert_eq!(sent[3], 0, "{sent:?}");
    assert!(sent[0] > sent[1] && sent[1] > sent[2], "{sent:?}");
    // One request less would be more than its share by pace.
    assert!(sent[1] > 0, "{sent:?}");
}

/// Guards against a group without upstreams when many engines are slow for a common cause.
#[test]
fn no_upstream_is_avoided_when_more_than_a_quarter_are_slow() {
    let slow = |count: u16| (0..count).map(|n| engine(n, 600)).collect::<Vec<_>>();
    let mut fixture = Fixture::new(8);
    fixture.balancer.set_slow(&slow(2));
    assert_eq!(fixture.sent_to_first(40), 0);
    let running = fixture.choose(&["u2", "u3", "u4", "u5", "u6", "u7"].map(UpstreamName::from));
    assert_eq!(fixture.relief(&running), Relief::Possible);
    fixture.balancer.set_slow(&slow(3));
    assert!(fixture.sent_to_first(40) > 0);
    assert_eq!(fixture.relief(&running), Relief::Unneeded);
}

/// Guards against choices by a pace where the configuration has no engine to compare with.
#[test]
fn upstreams_of_a_service_without_an_engine_are_not_avoided() {
    let mut fixture = Fixture::new(8);
    fixture.balancer.set_engines([]);
    fixture.balancer.set_slow(&[engine(0, 600)]);
    assert!(fixture.sent_to_first(8) > 0);
}

/// Guards against a stream that leaves its upstream without one that takes it, and against one that
/// is moved although its upstream is normal or has restarted.
#[test]
fn stream_leaves_an_avoided_upstream_only_for_another_with_room() {
    let mut fixture = Fixture::new(8);
    let others = ["u1", "u2", "u3", "u4", "u5", "u6", "u7"].map(UpstreamName::from);
    let running = fixture.choose(&others);
    assert_eq!(running.ticket.upstream, "u0".into());
    assert_eq!(fixture.relief(&running), Relief::Unneeded);
    fixture.balancer.set_slow(&[engine(0, 600)]);
    assert_eq!(fixture.relief(&running), Relief::Possible);
    let next = fixture.choose(std::slice::from_ref(&running.ticket.upstream));
    assert_ne!(next.ticket.upstream, running.ticket.upstream);
    for number in 1..8 {
        fixture.fill(number, 30);
    }
    assert_eq!(fixture.relief(&running), Relief::NoRoom);
    fixture.fill(3, 29);
    assert_eq!(fixture.relief(&running), Relief::Possible);
    fixture
        .balancer
        .finish(&next.ticket, Outcome::Neutral, at(0));
    let mut restarted = running.clone();
    restarted.ticket.born = 0;
    assert_eq!(fixture.relief(&restarted), Relief::Unneeded);
}

/// Guards against a stream that is abandoned for an upstream that takes no requests.
#[test]
fn upstreams_that_take_no_requests_are_no_relief() {
    type Change = fn(&mut Fixture, &Ticket);
    let changes: [(&str, Change); 5] = [
        ("backoff", |f, t| {
            f.balancer.record_backoff(t, Duration::from_secs(1), at(0));
        }),
        ("leaving", |f, t| {
            f.balancer.record_leaving(t);
        }),
        ("full", |f, t| {
            f.balancer.finish(t, Outcome::Full, at(0));
        }),
        ("gone", |f, t| {
            f.balancer.finish(t, Outcome::Gone, at(0));
        }),
        ("failing", |f, t| {
            for _ in 0..5 {
                f.balancer.finish(t, Outcome::Failed, at(0));
            }
        }),
    ];
    for (what, change) in changes {
        let mut fixture = Fixture::new(4);
        let running = fixture.choose(&[name(1), name(2), name(3)]);
        fixture.balancer.set_slow(&[engine(0, 600)]);
        assert_eq!(fixture.relief(&running), Relief::Possible, "{what}");
        for number in 1..4 {
            let ticket = Ticket {
                upstream: name(number),
                born: 1,
            };
            change(&mut fixture, &ticket);
        }
        assert_ne!(fixture.relief(&running), Relief::Possible, "{what}");
    }
}

/// Guards against a stream that returns to an upstream that it has left.
#[test]
fn upstreams_already_tried_are_no_relief() {
    let mut fixture = Fixture::new(4);
    let running = fixture.choose(&[name(1), name(2), name(3)]);
    fixture.balancer.set_slow(&[engine(0, 600)]);
    let tried = [name(1), name(2), name(3), name(0)];
    let request = ChoiceRequest {
        service: &"advice".into(),
        tried: &tried,
        may_queue: false,
        bound: None,
    };
    let relief = fixture.balancer.relief(&running.ticket, &request, at(0));
    assert_eq!(relief, Relief::NoRoom);
}

proptest! {
    /// Guards against a stream that is abandoned although no place is found for it.
    #[test]
    fn possible_relief_always_finds_an_upstream_that_is_neither_slow_nor_tried(
        loads in proptest::collection::vec(0..33_u32, 8),
        failures in proptest::collection::vec((0..8_u16, 0..4_u8), 0..12),
        seed in 0..1_000_u64,
    ) {
        let mut fixture = Fixture::new(8);
        fixture.rng = ChaCha8Rng::seed_from_u64(seed);
        let others = ["u1", "u2", "u3", "u4", "u5", "u6", "u7"].map(UpstreamName::from);
        let running = fixture.choose(&others);
        for (number, what) in failures {
            let ticket = Ticket { upstream: name(number), born: 1 };
            match what {
                0 => drop(fixture.balancer.finish(&ticket, Outcome::Failed, at(0))),
                1 => drop(fixture.balancer.finish(&ticket, Outcome::Full, at(0))),
                2 => drop(fixture.balancer.record_leaving(&ticket)),
                _ => fixture.balancer.record_backoff(&ticket, Duration::from_secs(1), at(0)),
            }
        }
        for (number, load) in loads.iter().enumerate() {
            fixture.fill(number as u16, *load);
        }
        fixture.balancer.set_slow(&[engine(0, 600)]);
        if fixture.relief(&running) == Relief::Possible {
            let next = fixture.choose(std::slice::from_ref(&running.ticket.upstream));
            prop_assert_ne!(next.ticket.upstream, running.ticket.upstream);
        }
    }
}

/// Reports of an agent every 200 ms, each with the pace in the engine's latest report, if any.
fn reports(paces: &[Option<f64>]) -> Vec<Option<u16>> {
    let mut reporter = SlowReporter::default();
    let steps = paces.iter().enumerate().map(|(n, pace)| {
        let now = at(1_000 + n as u64 * INTERVAL);
        reporter.advance(pace.map(|p| (p, now)), now)
    });
    steps.collect()
}

/// Guards against messages from agents whose engines are normal.
#[test]
fn agent_of_a_normal_engine_reports_nothing() {
    let paces = [0.0, 0.5, 1.0, 1.2, 1.249, f64::NAN, f64::INFINITY, -4.0];
    assert_eq!(reports(&paces.map(Some)), [None; 8]);
    assert_eq!(reports(&[None; 3]), [None; 3]);
}

/// Guards against an end that is lost with one datagram, and against reports without an end.
#[test]
fn agent_reports_the_normal_pace_for_two_seconds_after_a_slow_one() {
    let mut paces = vec![Some(1.0), Some(6.0), Some(6.0)];
    paces.extend([Some(1.0); 12]);
    let sent = reports(&paces);
    assert_eq!(sent[..3], [None, Some(600), Some(600)]);
    assert_eq!(sent[3..13], [Some(100); 10]);
    assert_eq!(sent[13..], [None; 2]);
}

/// Guards against a list that changes with the noise of the engine's pace.
#[test]
fn similar_pace_is_reported_as_before() {
    let sent = reports(&[6.0, 6.5, 5.5, 7.0, 6.5, 1.25, 1.3, 1.2].map(Some));
    let expected = [600, 600, 600, 700, 700, 125, 125, 100];
    assert_eq!(sent, expected.map(Some));
}

/// Guards against an agent that was frozen and reports what its engine said before.
#[test]
fn agent_does_not_report_an_old_pace() {
    let mut reporter = SlowReporter::default();
    assert_eq!(reporter.advance(Some((6.0, at(0))), at(500)), Some(600));
    assert_eq!(reporter.advance(Some((6.0, at(0))), at(501)), None);
    assert_eq!(reporter.advance(None, at(700)), None);
}

/// Guards against a rank that counts as slow forever because its agent fell silent.
#[test]
fn engine_of_a_silent_agent_leaves_the_list() {
    let mut list = SlowList::default();
    list.record(address(1), engine(0, 600), (1, 1), at(0));
    list.record(address(2), engine(1, 300), (1, 1), at(400));
    let times = [0, 400, 1_599, 1_600, 1_999, 2_000];
    let lengths = times.map(|ms| list.engines(at(ms)).len());
    assert_eq!(lengths, [2, 2, 2, 1, 1, 0]);
    let left = Duration::from_millis(1);
    assert_eq!(list.next_expiry(at(1_599)), Some(left));
    assert_eq!(list.next_expiry(at(2_000)), None);
}

/// Guards against a late datagram that brings back a pace that has ended.
#[test]
fn late_datagram_does_not_replace_a_newer_one() {
    let mut list = SlowList::default();
    list.record(address(1), engine(0, 600), (5, 7), at(0));
    list.record(address(1), engine(0, 100), (5, 9), at(400));
    for late in [(5, 8), (5, 9), (4, 99)] {
        list.record(address(1), engine(0, 600), late, at(500));
    }
    assert!(list.engines(at(500)).is_empty());
    list.record(address(1), engine(0, 600), (6, 1), at(600));
    assert_eq!(list.engines(at(600)), [engine(0, 600)], "a restarted agent");
}
