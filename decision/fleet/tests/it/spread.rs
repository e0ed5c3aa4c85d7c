//! Distribution of requests from many entries over many engines.
//!
//! Guards against full engines beside idle ones in a large fleet under peak load.
//! Each entry sends one request to a given engine in ten seconds, so that the
//! load reported in a response is stale by the next choice.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_fleet::{
    Balancer, BalancerOptions, ChoiceRequest, Command, EntryPosition, Load, Outcome, Ticket,
};
use pimentotide_model::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::state::{Log, announcement};

const SLOTS: usize = 10;
/// Duration of a request, ms; requests queue while all slots of the engine are taken.
const RUN_MS: u64 = 1_800;
fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// One engine: running requests with their end times, and queued requests.
#[derive(Default)]
struct Engine {
    running: Vec<(u64, usize, Ticket)>,
    waiting: VecDeque<(usize, Ticket)>,
}

impl Engine {
    fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
        }
    }

    /// Ends due requests and starts queued ones; returns those that ended.
    fn advance(&mut self, ms: u64) -> Vec<(usize, Ticket)> {
        let (ended, running) = self.running.drain(..).partition(|(end, ..)| *end <= ms);
        self.running = running;
        while self.running.len() < SLOTS
            && let Some((entry, ticket)) = self.waiting.pop_front()
        {
            self.running.push((ms + RUN_MS, entry, ticket));
        }
        let ended: Vec<(u64, usize, Ticket)> = ended;
        ended
            .into_iter()
            .map(|(_, entry, ticket)| (entry, ticket))
            .collect()
    }
}

/// Simulates 30 s of `rate` requests per second; returns the ratio of requests that had to queue.
fn queued_ratio(entries: usize, engines: usize, rate: u64, with_subsets: bool) -> f64 {
    let mut log = Log::default();
    for number in 0..engines {
        let mut engine = announcement(&format!("u{number}"), 1_000 + number as u16, 1, 1);
        engine.slots = SLOTS as u32;
        log.apply(&Command::Announce(engine));
    }
    let address = |number: usize| -> SocketAddr {
        let name = format!("u{number}");
        let records = log.state.upstreams();
        records[name.as_str()].announcement.address
    };
    let addresses: Vec<SocketAddr> = (0..engines).map(address).collect();
    let options = BalancerOptions {
        zone: "a".into(),
        queue: 2.0,
    };
    let mut balancers: Vec<Balancer> = (0..entries)
        .map(|n| {
            let mut balancer = Balancer::new(options.clone());
            if with_subsets {
                balancer.set_position(
                    EntryPosition {
                        index: n,
                        count: entries,
                    },
                    Time::ZERO,
                );
            }
            balancer.set_entries(entries, at(0));
            balancer.update_from_state(&log.state, at(0));
            balancer
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet: Vec<Engine> = (0..engines).map(|_| Engine::default()).collect();
    let (mut sent, mut queued) = (0_u32, 0_u32);
    for ms in 1..30_000 {
        for engine in &mut fleet {
            for (entry, ticket) in engine.advance(ms) {
                balancers[entry].finish(&ticket, Outcome::Good, at(ms));
            }
        }
        if rng.random_range(0..1_000) >= rate {
            continue;
        }
        let entry = rng.random_range(0..entries);
        let request = ChoiceRequest {
            service: &"advice".into(),
            tried: &[],
            may_queue: false,
            bound: None,
        };
        let Ok(choice) = balancers[entry].choose(&request, at(ms), &mut rng) else {
            queued += 1;
            continue;
        };
        let number = addresses
            .iter()
            .position(|a| *a == choice.address)
            .expect("an engine");
        let engine = &mut fleet[number];
        sent += 1;
        let full = engine.running.len() >= SLOTS;
        queued += u32::from(full);
        if full {
            engine.waiting.push_back((entry, choice.ticket));
        } else {
            engine.running.push((ms + RUN_MS, entry, choice.ticket));
            // The response head reports the load at once.
            let load = engine.load();
            balancers[entry].report_load(&format!("u{number}").as_str().into(), load, at(ms));
        }
    }
    f64::from(queued) / f64::from(sent)
}

#[test]
fn subsets_leave_few_requests_queued() {
    let subsets = queued_ratio(44, 63, 260, true);
    let shared = queued_ratio(44, 63, 260, false);
    assert!(
        subsets < shared / 3.0,
        "{subsets:.4} with subsets, {shared:.4} without"
    );
    assert!(subsets < 0.05, "{subsets:.4}");
}

#[test]
fn small_fleet_leaves_few_requests_queued() {
    let subsets = queued_ratio(9, 12, 50, true);
    assert!(subsets < 0.05, "{subsets:.4}");
}

#[test]
fn all_upstreams_are_used_when_they_outnumber_entries() {
    assert!(queued_ratio(3, 40, 160, true) < 0.05);
}

#[test]
fn single_entry_uses_all_upstreams() {
    assert!(queued_ratio(1, 12, 50, true) < 0.05);
}

#[test]
fn entry_position_follows_the_order_of_entries() {
    let position = EntryPosition::among(&5, &[9, 5, 1]);
    assert_eq!(position, Some(EntryPosition { index: 1, count: 3 }));
    assert_eq!(EntryPosition::among(&4, &[9, 5, 1]), None);
}
