//! Limits that upstreams name in their answers, under all entries together.
//!
//! Load patterns: a service of which some or all upstreams name limits far below the demand, at
//! fleets of any size, while entries start, stop, are cut off from control or see other lists of
//! entries for a moment.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_fleet::{
    Balancer, BalancerOptions, Choice, ChoiceRequest, Command, EntryPosition, LimitReport,
    LimitView, Outcome, Refusal, Reply, RequestRate, Ticket,
};
use pimentotide_model::{Time, UpstreamName};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::state::{Log, announcement};

/// Time from the start of a limit until it is kept, ms.
const GRACE_MS: u64 = 3_000;
/// Window in which requests are counted, ms.
const WINDOW_MS: u64 = 4_000;
/// Time from a request to its answer, ms.
const ANSWER_MS: u64 = 150;
/// Time from a report of an entry until all others have it, ms.
const SHARE_MS: u64 = 60;
/// Step of the simulation, ms.
const STEP_MS: u64 = 5;
/// Start of the limits, ms.
const LIMITED_FROM_MS: u64 = 1_000;
/// Time for which an entry that is cut off still serves requests, ms.
const LEASE_MS: u64 = 2_900;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).unwrap()
}

/// Requests that an upstream may get in a window: one and a half times its limit, and five.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1e3 + 5.0) as usize
}

fn service(upstreams: usize) -> Log {
    let mut log = Log::default();
    for number in 0..upstreams {
        let announced = announcement(&format!("u{number:03}"), 1_000 + number as u16, 1, 1);
        log.apply(&Command::Announce(announced));
    }
    log
}

fn balancer(log: &Log, now: u64) -> Balancer {
    let options = BalancerOptions {
        zone: "a".into(),
        queue: 2.0,
    };
    let mut balancer = Balancer::new(options);
    balancer.update_from_state(&log.state, at(now));
    balancer
}

fn choose(balancer: &mut Balancer, now: u64, rng: &mut ChaCha8Rng) -> Result<Choice, Refusal> {
    let request = ChoiceRequest {
        service: &"advice".into(),
        tried: &[],
        may_queue: false,
    };
    balancer.choose(&request, at(now), rng)
}

/// Limits of upstreams by name, and the end of all limits.
#[derive(Clone, Debug)]
struct Limits {
    rates: BTreeMap<UpstreamName, f64>,
    until: u64,
}

impl Limits {
    fn at(&self, upstream: &UpstreamName, ms: u64) -> Option<f64> {
        let named = (LIMITED_FROM_MS..self.until).contains(&ms);
        self.rates.get(upstream).copied().filter(|_| named)
    }
}

/// An answer under way: its request and the limit that it names.
struct UnderWay {
    due: u64,
    sent: u64,
    ticket: Ticket,
    limit: Option<f64>,
}

struct Entry {
    balancer: Balancer,
    answers: Vec<UnderWay>,
    /// Time of its last contact with control, ms.
    contact: u64,
}

/// What happens to one entry, ms.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It stops, and starts again without memory.
    Restart { from: u64, until: u64 },
    /// It is cut off from control.
    Cut { from: u64, until: u64 },
}

impl Event {
    fn span(self) -> (u64, u64) {
        match self {
            Self::Restart { from, until } | Self::Cut { from, until } => (from, until),
        }
    }

    fn is_on(self, ms: u64) -> bool {
        let (from, until) = self.span();
        (from..until).contains(&ms)
    }
}

/// All entries, and control as they see it.
struct Fleet {
    log: Log,
    limits: Limits,
    entries: Vec<Entry>,
    events: Vec<(usize, Event)>,
    /// Reports with the time at which control applies them.
    reports: Vec<(u64, LimitReport)>,
    /// Arrivals at each upstream, ms.
    arrivals: BTreeMap<UpstreamName, Vec<u64>>,
    refused: usize,
    /// Whether control lists all entries, or to each only itself.
    lists_all: bool,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(entries: usize, limits: Limits, upstreams: usize, events: &[(usize, Event)]) -> Self {
        let log = service(upstreams);
        let entry = |_| Entry {
            balancer: balancer(&log, 0),
            answers: Vec::new(),
            contact: 0,
        };
        Self {
            entries: (0..entries).map(entry).collect(),
            log,
            limits,
            events: events.to_vec(),
            reports: Vec::new(),
            arrivals: BTreeMap::new(),
            refused: 0,
            lists_all: true,
            rng: ChaCha8Rng::seed_from_u64(7),
        }
    }

    fn is_stopped(&self, entry: usize, ms: u64) -> bool {
        let mut events = self.events.iter();
        events.any(|(e, event)| {
            *e == entry && matches!(event, Event::Restart { .. }) && event.is_on(ms)
        })
    }

    fn is_cut(&self, entry: usize, ms: u64) -> bool {
        let mut events = self.events.iter();
        events
            .any(|(e, event)| *e == entry && matches!(event, Event::Cut { .. }) && event.is_on(ms))
    }

    /// Gives each entry that has contact with control its place and the shared limits.
    fn follow(&mut self, ms: u64) {
        let count = self.entries.len();
        let listed: Vec<usize> = (0..count)
            .filter(|e| !self.is_stopped(*e, ms) && !self.is_cut(*e, ms))
            .collect();
        for (index, entry) in listed.iter().enumerate() {
            let entry = &mut self.entries[*entry];
            entry.contact = ms;
            entry.balancer.set_entries(count, at(ms));
            let position = match self.lists_all {
                true => EntryPosition {
                    index,
                    count: listed.len(),
                },
                false => EntryPosition { index: 0, count: 1 },
            };
            entry.balancer.set_position(position, at(ms));
            let view = self.log.state.limits();
            if entry.balancer.shared_limits().revision < view.revision {
                entry.balancer.update_limits(view.clone(), at(ms));
            }
        }
    }

    fn restart_entries(&mut self, ms: u64) {
        for (entry, event) in self.events.clone() {
            if matches!(event, Event::Restart { until, .. } if until == ms) {
                self.entries[entry] = Entry {
                    balancer: balancer(&self.log, ms),
                    answers: Vec::new(),
                    contact: ms,
                };
            }
        }
    }

    fn answer(&mut self, ms: u64) {
        for (number, entry) in self.entries.iter_mut().enumerate() {
            let answers = std::mem::take(&mut entry.answers);
            let (due, waiting) = answers.into_iter().partition(|a| a.due <= ms);
            entry.answers = waiting;
            for answer in due {
                let UnderWay {
                    sent,
                    ticket,
                    limit,
                    ..
                } = answer;
                entry.balancer.finish(&ticket, Outcome::Good, at(ms));
                let named = limit.map(rate);
                let report = entry
                    .balancer
                    .record_limit(&ticket, named, at(sent), at(ms));
                let cut = self
                    .events
                    .iter()
                    .any(|(e, event)| *e == number && event.is_on(ms));
                self.reports
                    .extend(report.filter(|_| !cut).map(|r| (ms + SHARE_MS, r)));
            }
        }
    }

    fn share_reports(&mut self, ms: u64) {
        let reports = std::mem::take(&mut self.reports);
        let (due, waiting): (Vec<_>, Vec<_>) = reports.into_iter().partition(|(at, _)| *at <= ms);
        self.reports = waiting;
        let due: Vec<LimitReport> = due.into_iter().map(|(_, report)| report).collect();
        if !due.is_empty() {
            self.log.apply(&Command::Limits(due));
        }
    }

    fn send(&mut self, entry: usize, ms: u64) {
        let sender = &mut self.entries[entry];
        match choose(&mut sender.balancer, ms, &mut self.rng) {
            Ok(choice) => {
                let upstream = choice.ticket.upstream.clone();
                let limit = self.limits.at(&upstream, ms);
                self.arrivals.entry(upstream).or_default().push(ms);
                sender.answers.push(UnderWay {
                    due: ms + ANSWER_MS,
                    sent: ms,
                    ticket: choice.ticket,
                    limit,
                });
            }
            Err(_) => self.refused += 1,
        }
    }

    /// Plays `demand` requests per second at random entries until `end`.
    fn play(&mut self, demand: f64, end: u64) {
        for ms in (0..end).step_by(STEP_MS as usize) {
            self.restart_entries(ms);
            self.answer(ms);
            self.share_reports(ms);
            self.follow(ms);
            let mean = demand * STEP_MS as f64 / 1e3;
            let count = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
            for _ in 0..count {
                let entry = self.rng.random_range(0..self.entries.len());
                let stale = ms - self.entries[entry].contact > LEASE_MS;
                if !stale && !self.is_stopped(entry, ms) {
                    self.send(entry, ms);
                }
            }
        }
    }

    /// Returns the upstreams that got more than their limits allow in a window, with the excess.
    fn violations(&self) -> Vec<(UpstreamName, usize)> {
        let mut found = Vec::new();
        for (name, limit) in &self.limits.rates {
            let from = LIMITED_FROM_MS + GRACE_MS;
            let arrivals = self.arrivals.get(name).into_iter().flatten();
            let late: Vec<u64> = arrivals
                .copied()
                .filter(|ms| (from..self.limits.until).contains(ms))
                .collect();
            let in_window = |(n, start): (usize, &u64)| {
                late[n..]
                    .iter()
                    .take_while(|ms| **ms < start + WINDOW_MS)
                    .count()
            };
            let busiest = late.iter().enumerate().map(in_window).max().unwrap_or(0);
            if busiest > allowed(*limit) {
                found.push((name.clone(), busiest - allowed(*limit)));
            }
        }
        found
    }

    /// Returns how many requests the limited upstreams got between two times.
    fn served_by_limited(&self, from: u64, until: u64) -> usize {
        let names = self.limits.rates.keys();
        let arrivals = names.filter_map(|n| self.arrivals.get(n)).flatten();
        arrivals.filter(|ms| (from..until).contains(*ms)).count()
    }
}

fn limits(upstreams: usize, limited: usize, per_second: f64, until: u64) -> Limits {
    let names = (0..upstreams).map(|n| UpstreamName::from(format!("u{n:03}")));
    Limits {
        rates: names.take(limited).map(|n| (n, per_second)).collect(),
        until,
    }
}

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
