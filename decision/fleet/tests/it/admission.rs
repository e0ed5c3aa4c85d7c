//! Load on an entry that admits requests in order, simulated in virtual time.
//!
//! Each test names its load and the callers that must not suffer from it. Engines run requests of
//! the most urgent rank first and report their load with each answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pimentotide_fleet::{
    AdmissionQueue, AdmissionTerms, BEGIN_RATIO, Balancer, BalancerOptions, ChoiceRequest, Command,
    EntryPosition, Load, MAX_QUEUED, Outcome, QueueBound, Ticket, WaitLimits, request_work,
};
use pimentotide_model::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::state::{Log, announcement};

const UPSTREAMS: usize = 8;
const SLOTS: usize = 10;
/// Entries that share the upstreams and see each other only through the loads that upstreams report.
const ENTRIES: usize = 4;
/// Usual duration of a stream, ms; all upstreams finish 40 per second.
const USUAL_MS: u64 = 2_000;
const TARGET_MS: u64 = 400;
const DEADLINE_MS: u64 = 8_000;
const STEP_MS: u64 = 5;
const SHED_INTERVAL_MS: u64 = 50;
/// Time after the last arrival in which requests may still be served, ms.
const END_MS: u64 = 10_000;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

#[derive(Clone, Debug)]
struct Request {
    arrives: u64,
    rank: u8,
    workspace: &'static str,
    work: u64,
    duration: u64,
    sent: Option<u64>,
    begun: Option<u64>,
    refused: Option<u64>,
}

impl Request {
    fn new(arrives: u64, rank: u8, workspace: &'static str) -> Self {
        Self {
            arrives,
            rank,
            workspace,
            work: request_work(None, None),
            duration: USUAL_MS,
            sent: None,
            begun: None,
            refused: None,
        }
    }

    fn is_in_time(&self) -> bool {
        self.begun.is_some_and(|at| at <= self.arrives + TARGET_MS)
    }
}

/// Returns `per_second` arrivals from `from` to `to`, at random times.
fn arrivals<R>(seed: u64, per_second: u64, from: u64, to: u64, mut request: R) -> Vec<Request>
where
    R: FnMut(u64) -> Request,
{
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = per_second * (to - from) / 1_000;
    (0..count)
        .map(|_| request(rng.random_range(from..to)))
        .collect()
}

#[derive(Default)]
struct Engine {
    /// Time that each running request still takes at the usual pace, ms.
    running: Vec<(f64, usize)>,
    /// Rank, time of arrival and number of each waiting request.
    waiting: Vec<(u8, u64, usize)>,
}

struct Entry {
    balancer: Balancer,
    queue: AdmissionQueue<usize>,
}

impl Entry {
    /// Creates one of several entries before the same upstreams.
    fn new(log: &Log, index: usize) -> Self {
        let mut balancer = Balancer::new(BalancerOptions {
            zone: "a".into(),
            queue: 2.0,
        });
        balancer.update_from_state(&log.state, at(0));
        balancer.set_entries(ENTRIES, at(0));
        let position = EntryPosition {
            index,
            count: ENTRIES,
        };
        balancer.set_position(position, at(0));
        Self {
            balancer,
            queue: AdmissionQueue::new("advice".into()),
        }
    }
}

struct World {
    requests: Vec<Request>,
    /// Time and number of each call to come; a repeat is a call of the same request.
    calls: BTreeSet<(u64, usize)>,
    engines: Vec<Engine>,
    /// Ticket of each running request, and when it was sent.
    sends: BTreeMap<usize, (Ticket, u64)>,
    entries: Vec<Entry>,
    rng: ChaCha8Rng,
    longest: usize,
    /// Whether a refused caller asks again at once.
    repeats: bool,
    /// Whether requests are sent in order of arrival, two for each slot beyond those running.
    in_arrival_order: bool,
    /// Time without an event after which callers leave, ms; `None` if they wait until their deadline.
    abandon_after: Option<u64>,
    /// Period in which engines take six times as long.
    slow: std::ops::Range<u64>,
}

impl World {
    fn new(requests: Vec<Request>) -> Self {
        let mut log = Log::default();
        for number in 0..UPSTREAMS {
            let mut announced = announcement(&format!("u{number}"), 80 + number as u16, 1, 1);
            announced.slots = SLOTS as u32;
            log.apply(&Command::Announce(announced));
        }
        let numbered = requests.iter().enumerate();
        Self {
            calls: numbered.map(|(n, r)| (r.arrives, n)).collect(),
            requests,
            engines: (0..UPSTREAMS).map(|_| Engine::default()).collect(),
            sends: BTreeMap::new(),
            entries: (0..ENTRIES).map(|n| Entry::new(&log, n)).collect(),
            rng: ChaCha8Rng::seed_from_u64(1),
            longest: 0,
            repeats: false,
            in_arrival_order: false,
            abandon_after: None,
            slow: 0..0,
        }
    }

    fn run(mut self) -> Self {
        let end = self.calls.last().map_or(0, |(at, _)| *at) + END_MS;
        for now in (0..end).step_by(STEP_MS as usize) {
            self.run_engines(now);
            while self.calls.first().is_some_and(|(at, _)| *at <= now) {
                if let Some((_, number)) = self.calls.pop_first() {
                    self.arrive(number, now);
                }
            }
            if now % SHED_INTERVAL_MS == 0 {
                for entry in 0..ENTRIES {
                    for shed in self.entries[entry].queue.shed_late(at(now)) {
                        self.refuse(shed.queued.item, now);
                    }
                }
            }
            for entry in 0..ENTRIES {
                self.admit(entry, now);
                self.longest = self.longest.max(self.entries[entry].queue.len());
            }
        }
        self
    }

    fn arrive(&mut self, number: usize, now: u64) {
        let entry = number % ENTRIES;
        if self.entries[entry].queue.is_empty() && self.send(number, now) {
            return;
        }
        if self.in_arrival_order {
            self.refuse(number, now);
            return;
        }
        let request = &self.requests[number];
        let deadline = at(now + DEADLINE_MS);
        let limits = WaitLimits {
            since: at(now),
            abandon_after: self.abandon_after.map(Duration::from_millis),
            deadline,
        };
        let before = (TARGET_MS as f64 * (1.0 - BEGIN_RATIO)) as u64;
        let terms = AdmissionTerms {
            rank: request.rank,
            resend: false,
            workspace: Some(request.workspace.into()),
            target: Some(at(now + before)),
            deadline,
            work: request.work,
            bytes: 1_000,
            arrived: at(now),
            until: limits.end(at(now)),
        };
        let queue = &mut self.entries[entry].queue;
        let id = queue.next_id();
        for shed in queue.push(id, terms, number, at(now)) {
            self.refuse(shed.queued.item, now);
        }
    }

    fn refuse(&mut self, number: usize, now: u64) {
        let request = &mut self.requests[number];
        if self.repeats && now < request.arrives + DEADLINE_MS / 2 {
            self.calls.insert((now + STEP_MS, number));
        } else {
            request.refused = Some(now);
        }
    }

    fn admit(&mut self, entry: usize, now: u64) {
        while let Some(number) = self.entries[entry].queue.peek(at(now)).map(|q| q.item) {
            if !self.send(number, now) {
                return;
            }
            self.entries[entry].queue.pop(at(now));
        }
    }

    fn send(&mut self, number: usize, now: u64) -> bool {
        let request = ChoiceRequest {
            service: &"advice".into(),
            tried: &[],
            may_queue: false,
            bound: (!self.in_arrival_order).then(|| QueueBound {
                wait: Duration::from_millis(TARGET_MS).mul_f64(BEGIN_RATIO),
                usual: Duration::from_millis(USUAL_MS),
                streams: true,
            }),
        };
        let balancer = &mut self.entries[number % ENTRIES].balancer;
        let Ok(choice) = balancer.choose(&request, at(now), &mut self.rng) else {
            return false;
        };
        let upstream: usize = choice.ticket.upstream[1..].parse().unwrap();
        let request = &mut self.requests[number];
        request.sent = Some(now);
        let rank = request.rank;
        self.engines[upstream].waiting.push((rank, now, number));
        self.sends.insert(number, (choice.ticket, now));
        true
    }

    fn run_engines(&mut self, now: u64) {
        for (upstream, engine) in self.engines.iter_mut().enumerate() {
            let pace = if self.slow.contains(&now) { 6.0 } else { 1.0 };
            for (left, _) in &mut engine.running {
                *left -= STEP_MS as f64 / pace;
            }
            let ended = engine.running.extract_if(.., |(left, _)| *left <= 0.0);
            for (_, number) in ended {
                if let Some((ticket, sent)) = self.sends.remove(&number) {
                    let duration = Duration::from_millis(now - sent);
                    let balancer = &mut self.entries[number % ENTRIES].balancer;
                    balancer.record_duration(&ticket, duration);
                    balancer.finish(&ticket, Outcome::Good, at(now));
                }
            }
            engine.waiting.sort_unstable();
            let free = (SLOTS - engine.running.len()).min(engine.waiting.len());
            let begun: Vec<usize> = engine.waiting.drain(..free).map(|w| w.2).collect();
            for number in &begun {
                let request = &mut self.requests[*number];
                request.begun = Some(now);
                let factor = self.rng.random_range(0.5..1.5);
                engine
                    .running
                    .push((request.duration as f64 * factor, *number));
            }
            let load = Load {
                running: engine.running.len() as u32,
                waiting: engine.waiting.len() as u32,
                slots: SLOTS as u32,
            };
            // The first event of an answer carries the load to the entry that sent its request.
            for number in begun {
                let balancer = &mut self.entries[number % ENTRIES].balancer;
                if let Some((ticket, _)) = self.sends.get(&number) {
                    balancer.record_begun(ticket);
                }
                let name = format!("u{upstream}");
                balancer.report_load(&name.as_str().into(), load, at(now));
            }
        }
    }

    /// Returns the number of requests that began in a period.
    fn in_period(&self, period: std::ops::Range<u64>) -> usize {
        let begun = self.requests.iter().filter_map(|r| r.begun);
        begun.filter(|at| period.contains(at)).count()
    }

    /// Returns the part of the requests that satisfy `of` which began within their target.
    fn in_time<F>(&self, of: F) -> f64
    where
        F: Fn(&Request) -> bool,
    {
        let requests: Vec<&Request> = self.requests.iter().filter(|r| of(r)).collect();
        let in_time = requests.iter().filter(|r| r.is_in_time()).count();
        in_time as f64 / requests.len() as f64
    }
}

/// Runs a load with requests admitted in order, and sent in order of arrival.
fn run_both<P>(requests: &[Request], prepare: P) -> (World, World)
where
    P: Fn(&mut World),
{
    let run = |in_arrival_order| {
        let mut world = World::new(requests.to_vec());
        world.in_arrival_order = in_arrival_order;
        prepare(&mut world);
        world.run()
    };
    (run(false), run(true))
}

/// Burst of the least urgent at three times the capacity: guards against urgent requests that
/// are late or refused because of it.
#[test]
fn burst_of_the_least_urgent_does_not_delay_urgent_requests() {
    let mut requests = arrivals(1, 10, 0, 10_000, |at| Request::new(at, 0, "chat"));
    let bulk = |at| Request::new(at, 2, "bulk");
    requests.extend(arrivals(2, 120, 2_000, 6_000, bulk));
    let (ordered, unordered) = run_both(&requests, |_| ());
    let urgent = |w: &World| w.in_time(|r| r.rank == 0);
    assert!(urgent(&ordered) >= 0.65, "{}", urgent(&ordered));
    assert!(urgent(&ordered) > urgent(&unordered));
    let refused = ordered.requests.iter().filter(|r| r.refused.is_some());
    assert_eq!(refused.filter(|r| r.rank == 0).count(), 0);
    let bulk = ordered.requests.iter().filter(|r| r.rank == 2);
    assert!(bulk.filter(|r| r.begun.is_some()).count() >= 100);
    assert!(ordered.longest <= MAX_QUEUED as usize);
}

/// One workspace at ten times its share: guards against others that are served less than theirs.
#[test]
fn workspace_at_ten_times_its_share_does_not_delay_others() {
    let mut requests = arrivals(3, 80, 0, 10_000, |at| Request::new(at, 1, "heavy"));
    for (seed, workspace) in (20..).zip(["w1", "w2", "w3", "w4"]) {
        let light = |at| Request::new(at, 1, workspace);
        requests.extend(arrivals(seed, 6, 0, 10_000, light));
    }
    let (ordered, unordered) = run_both(&requests, |_| ());
    for workspace in ["w1", "w2", "w3", "w4"] {
        let in_time = |w: &World| w.in_time(|r| r.workspace == workspace);
        let (ordered_part, before) = (in_time(&ordered), in_time(&unordered));
        assert!(
            ordered_part >= 3.0 * before,
            "{workspace}: {ordered_part}, {before}"
        );
        assert!(ordered_part >= 0.3, "{workspace}: {ordered_part}");
        let of = |r: &&Request| r.workspace == workspace && r.begun.is_some();
        let begun = ordered.requests.iter().filter(of).count();
        assert!(begun >= 50, "{workspace}: {begun} of 60");
    }
    // Upstreams finish 240 requests in these 6 s.
    let begun = |w: &World| w.in_period(3_000..9_000);
    assert!(
        begun(&ordered) >= 228,
        "{} of {}",
        begun(&ordered),
        begun(&unordered)
    );
}

/// Backlog after engines were slow for 4 s: guards against late requests that delay those which
/// can still be in time.
#[test]
fn backlog_after_slow_engines_does_not_delay_new_requests() {
    let requests = arrivals(5, 32, 0, 16_000, |at| Request::new(at, 1, "w"));
    let (ordered, unordered) = run_both(&requests, |world| world.slow = 2_000..8_000);
    let after = |w: &World| w.in_time(|r| (9_000..12_000).contains(&r.arrives));
    assert!(after(&ordered) >= 0.3, "{}", after(&ordered));
    assert!(after(&unordered) <= 0.1, "{}", after(&unordered));
    for request in &ordered.requests {
        let decided = request.begun.or(request.refused);
        let waited = decided.map(|at| at - request.arrives);
        assert!(waited.is_some_and(|w| w <= DEADLINE_MS), "{request:?}");
    }
}

/// Hot prompt: a workspace sends few requests, each with much work. Guards against shares that
/// are counted in requests.
#[test]
fn long_prompts_of_one_workspace_do_not_delay_others() {
    let long = |at| Request {
        work: request_work(Some((20_000, 400)), None),
        duration: 3 * USUAL_MS,
        ..Request::new(at, 1, "long")
    };
    let short = |at| Request {
        work: request_work(Some((200, 80)), Some(80)),
        ..Request::new(at, 1, "short")
    };
    let mut requests = arrivals(6, 20, 0, 10_000, long);
    requests.extend(arrivals(7, 20, 0, 10_000, short));
    let (ordered, unordered) = run_both(&requests, |_| ());
    let short = |w: &World| w.in_time(|r| r.workspace == "short");
    let (ordered, unordered) = (short(&ordered), short(&unordered));
    assert!(ordered >= unordered + 0.1, "{ordered}, {unordered}");
}

/// Callers that repeat at once at twice the capacity: guards against repeats that crowd out urgent
/// requests or exceed the bound of the queue.
#[test]
fn callers_that_repeat_at_once_do_not_delay_urgent_requests() {
    let mut requests = arrivals(8, 10, 0, 6_000, |at| Request::new(at, 0, "chat"));
    requests.extend(arrivals(9, 80, 0, 6_000, |at| Request::new(at, 1, "bulk")));
    let (ordered, _) = run_both(&requests, |world| world.repeats = true);
    let urgent = |w: &World| w.in_time(|r| r.rank == 0);
    assert!(urgent(&ordered) >= 0.5, "{}", urgent(&ordered));
    assert!(ordered.longest <= MAX_QUEUED as usize);
}

/// Streams at twice the capacity, whose callers leave after 2 s without an event: guards against
/// callers that leave before they are told when to return.
#[test]
fn callers_are_refused_before_they_abandon_their_streams() {
    const ABANDON_MS: u64 = 2_000;
    let requests = arrivals(10, 80, 0, 6_000, |at| Request::new(at, 1, "w"));
    let mut world = World::new(requests);
    world.abandon_after = Some(ABANDON_MS);
    let world = world.run();
    for request in &world.requests {
        let decided = request.sent.or(request.refused);
        let waited = decided.map(|at| at - request.arrives);
        assert!(waited.is_some_and(|w| w < ABANDON_MS), "{request:?}");
    }
    let left = |r: &&Request| r.begun.is_some_and(|at| at > r.arrives + ABANDON_MS);
    let left = world.requests.iter().filter(left).count();
    assert!(left <= world.requests.len() / 50, "{left} left unanswered");
    // Upstreams finish 240 requests in these 6 s.
    assert!(world.in_period(0..6_000) >= 228);
}

/// Guards against a wait for a place that leaves no time to return, on routes of any time scale.
#[test]
fn wait_ends_with_time_left_to_return() {
    let end = |abandon_after: Option<u64>, deadline: u64, now: u64| {
        let limits = WaitLimits {
            since: at(1_000),
            abandon_after: abandon_after.map(Duration::from_millis),
            deadline: at(1_000 + deadline),
        };
        limits.end(at(1_000 + now)).since(at(1_000)).as_millis()
    };
    assert_eq!(end(Some(2_000), 8_000, 0), 1_400);
    assert_eq!(end(Some(2_000), 8_000, 900), 1_400);
    assert_eq!(end(Some(2_000), 2_000, 0), 1_000);
    assert_eq!(end(Some(20_000), 80_000, 0), 14_000);
    assert_eq!(end(None, 600, 200), 400);
}

/// All callers of an entry arrive while a group forms: guards against a queue that refuses those who
/// can be served a moment later.
#[test]
fn queue_holds_the_callers_of_a_whole_entry() {
    let mut queue = AdmissionQueue::new("advice".into());
    for number in 0..1_000 {
        let terms = AdmissionTerms {
            rank: 1,
            resend: false,
            workspace: Some("w".into()),
            target: Some(at(200)),
            deadline: at(DEADLINE_MS),
            work: request_work(None, None),
            bytes: 1_000,
            arrived: at(0),
            until: at(1_400),
        };
        let id = queue.next_id();
        assert!(queue.push(id, terms, number, at(0)).is_empty(), "{number}");
    }
    assert_eq!(std::iter::from_fn(|| queue.pop(at(400))).count(), 1_000);
}

/// Guards against work that leaves out prompts, expected answers or requests without counts.
#[test]
fn work_is_prompt_tokens_and_ten_times_the_expected_answer_tokens() {
    assert_eq!(request_work(Some((200, 4_000)), Some(30)), 500);
    assert_eq!(request_work(Some((200, 40)), None), 600);
    assert_eq!(request_work(Some((200, 4_000)), None), 2_760);
    assert_eq!(request_work(None, None), 1_024);
    assert_eq!(request_work(Some((u64::MAX, 1)), None), 1 << 20);
}
