//! Spread of requests over many engines by many entries.
//!
//! Pattern: the heaviest day of a grown fleet. Each entry sends a given engine
//! one request in ten seconds, so that what an answer tells of its load is long
//! out of date, and some engines are full while others have room.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_fleet::{
    Balancer, BalancerOptions, ChoiceRequest, Command, EntryPosition, Load, Outcome, Ticket,
};
use pimentotide_model::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::state::{Log, said};

const SLOTS: usize = 10;
/// Time that a request runs, ms; an engine with all slots taken has others wait.
const RUN_MS: u64 = 1_800;
fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// One engine: running requests with their ends, and those that wait.
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

    /// Starts and ends requests; returns those that ended.
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

/// Plays `seconds` of `rate` requests a second; returns the share of them that had to wait.
fn share_that_waits(entries: usize, engines: usize, rate: u64, placed: bool) -> f64 {
    let mut log = Log::default();
    for number in 0..engines {
        let mut engine = said(&format!("u{number}"), 1_000 + number as u16, 1, 1);
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
            if placed {
                balancer.set_position(EntryPosition {
                    index: n,
                    count: entries,
                });
            }
            balancer.set_entries(entries, at(0));
            balancer.update_from_state(&log.state, at(0));
            balancer
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet: Vec<Engine> = (0..engines).map(|_| Engine::default()).collect();
    let (mut sent, mut waited) = (0_u32, 0_u32);
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
        let ask = ChoiceRequest {
            service: &"advice".into(),
            tried: &[],
            may_queue: false,
        };
        let Ok(choice) = balancers[entry].choose(&ask, at(ms), &mut rng) else {
            waited += 1;
            continue;
        };
        let number = addresses
            .iter()
            .position(|a| *a == choice.address)
            .expect("an engine");
        let engine = &mut fleet[number];
        sent += 1;
        let full = engine.running.len() >= SLOTS;
        waited += u32::from(full);
        if full {
            engine.waiting.push_back((entry, choice.ticket));
        } else {
            engine.running.push((ms + RUN_MS, entry, choice.ticket));
            // The head of the answer tells the load at once.
            let load = engine.load();
            balancers[entry].report_load(&format!("u{number}").as_str().into(), load, at(ms));
        }
    }
    f64::from(waited) / f64::from(sent)
}

#[test]
fn entries_that_keep_to_their_own_upstreams_leave_few_requests_waiting() {
    let apart = share_that_waits(44, 63, 260, true);
    let together = share_that_waits(44, 63, 260, false);
    assert!(
        apart < together / 3.0,
        "{apart:.4} apart, {together:.4} together"
    );
    assert!(apart < 0.05, "{apart:.4}");
}

#[test]
fn a_small_fleet_is_spread_as_well() {
    let apart = share_that_waits(9, 12, 50, true);
    assert!(apart < 0.05, "{apart:.4}");
}

#[test]
fn all_upstreams_are_used_where_there_are_more_than_entries() {
    assert!(share_that_waits(3, 40, 160, true) < 0.05);
}

#[test]
fn one_entry_that_gets_all_requests_uses_all_upstreams() {
    assert!(share_that_waits(1, 12, 50, true) < 0.05);
}

#[test]
fn the_place_of_an_entry_is_that_in_the_order_of_all() {
    let place = EntryPosition::among(&5, &[9, 5, 1]);
    assert_eq!(place, Some(EntryPosition { index: 1, count: 3 }));
    assert_eq!(EntryPosition::among(&4, &[9, 5, 1]), None);
}
