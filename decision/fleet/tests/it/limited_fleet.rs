//! Simulation of all entries before upstreams that name limits.

use std::collections::BTreeMap;

use pimentotide_fleet::{
    Balancer, BalancerOptions, Choice, ChoiceRequest, Command, EntryPosition, LimitReport, Outcome,
    Refusal, RequestRate, Ticket,
};
use pimentotide_model::{Time, UpstreamName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

use crate::state::{Log, announcement};

/// Time from the start of a limit until it is kept, ms.
pub(crate) const GRACE_MS: u64 = 3_000;
/// Window in which requests are counted, ms.
pub(crate) const WINDOW_MS: u64 = 4_000;
/// Time from a request to its answer, ms.
pub(crate) const ANSWER_MS: u64 = 150;
/// Time from a report of an entry until all others have it, ms.
pub(crate) const SHARE_MS: u64 = 60;
/// Step of the simulation, ms.
pub(crate) const STEP_MS: u64 = 5;
/// Start of the limits, ms.
pub(crate) const LIMITED_FROM_MS: u64 = 1_000;
/// Time for which an entry that is cut off still serves requests, ms.
pub(crate) const LEASE_MS: u64 = 2_900;

pub(crate) fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

pub(crate) fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).unwrap()
}

/// Requests that an upstream may get in a window: one and a half times its limit, and five.
pub(crate) fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1e3 + 5.0) as usize
}

pub(crate) fn service(upstreams: usize) -> Log {
    let mut log = Log::default();
    for number in 0..upstreams {
        let announced = announcement(&format!("u{number:03}"), 1_000 + number as u16, 1, 1);
        log.apply(&Command::Announce(announced));
    }
    log
}

pub(crate) fn balancer(log: &Log, now: u64) -> Balancer {
    let options = BalancerOptions {
        zone: "a".into(),
        queue: 2.0,
    };
    let mut balancer = Balancer::new(options);
    balancer.update_from_state(&log.state, at(now));
    balancer
}

pub(crate) fn choose(
    balancer: &mut Balancer,
    now: u64,
    rng: &mut ChaCha8Rng,
) -> Result<Choice, Refusal> {
    let request = ChoiceRequest {
        service: &"advice".into(),
        tried: &[],
        may_queue: false,
        bound: None,
    };
    balancer.choose(&request, at(now), rng)
}

/// Limits of upstreams by name, and the end of all limits.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
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
pub(crate) struct UnderWay {
    due: u64,
    sent: u64,
    ticket: Ticket,
    limit: Option<f64>,
}

pub(crate) struct Entry {
    pub(crate) balancer: Balancer,
    answers: Vec<UnderWay>,
    /// Time of its last contact with control, ms.
    contact: u64,
}

/// What happens to one entry, ms.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
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
pub(crate) struct Fleet {
    log: Log,
    limits: Limits,
    pub(crate) entries: Vec<Entry>,
    events: Vec<(usize, Event)>,
    /// Reports with the time at which control applies them.
    reports: Vec<(u64, LimitReport)>,
    /// Arrivals at each upstream, ms.
    arrivals: BTreeMap<UpstreamName, Vec<u64>>,
    pub(crate) refused: usize,
    /// Whether control lists all entries, or to each only itself.
    pub(crate) lists_all: bool,
    rng: ChaCha8Rng,
}

impl Fleet {
    pub(crate) fn new(
        entries: usize,
        limits: Limits,
        upstreams: usize,
        events: &[(usize, Event)],
    ) -> Self {
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
    pub(crate) fn play(&mut self, demand: f64, end: u64) {
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
    pub(crate) fn violations(&self) -> Vec<(UpstreamName, usize)> {
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
    pub(crate) fn served_by_limited(&self, from: u64, until: u64) -> usize {
        let names = self.limits.rates.keys();
        let arrivals = names.filter_map(|n| self.arrivals.get(n)).flatten();
        arrivals.filter(|ms| (from..until).contains(*ms)).count()
    }
}

pub(crate) fn limits(upstreams: usize, limited: usize, per_second: f64, until: u64) -> Limits {
    let names = (0..upstreams).map(|n| UpstreamName::from(format!("u{n:03}")));
    Limits {
        rates: names.take(limited).map(|n| (n, per_second)).collect(),
        until,
    }
}
