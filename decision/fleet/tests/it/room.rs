//! Bound on the requests that wait at an upstream.

use std::time::Duration;

use pimentotide_fleet::{
    Balancer, BalancerOptions, ChoiceRequest, Command, Load, Outcome, QueueBound, Refusal, Ticket,
};
use pimentotide_model::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::state::{Log, announcement};

/// Half of a target of 400 ms, at a service whose streams take 2 s.
const BOUND: QueueBound = QueueBound {
    wait: Duration::from_millis(200),
    usual: Duration::from_secs(2),
};
const SLOTS: u32 = 10;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

struct Fixture {
    balancer: Balancer,
    rng: ChaCha8Rng,
}

impl Fixture {
    fn new(upstreams: usize) -> Self {
        let mut log = Log::default();
        for number in 0..upstreams {
            let mut announced = announcement(&format!("u{number}"), 80 + number as u16, 1, 1);
            announced.slots = SLOTS;
            log.apply(&Command::Announce(announced));
        }
        let mut balancer = Balancer::new(BalancerOptions {
            zone: "a".into(),
            queue: 2.0,
        });
        balancer.update_from_state(&log.state, at(0));
        Self {
            balancer,
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn choose(&mut self, bound: Option<QueueBound>, now: Time) -> Result<Ticket, Refusal> {
        let request = ChoiceRequest {
            service: &"advice".into(),
            tried: &[],
            may_queue: false,
            bound,
        };
        let choice = self.balancer.choose(&request, now, &mut self.rng);
        choice.map(|c| c.ticket)
    }

    fn fill(&mut self, bound: Option<QueueBound>) -> Vec<Ticket> {
        std::iter::from_fn(|| self.choose(bound, at(1)).ok()).collect()
    }
}

/// Backlog after engines were slow: guards against requests that wait at an upstream longer than
/// half of their target, which made nearly all of them late.
#[test]
fn upstream_gets_only_what_it_can_begin_in_time() {
    assert_eq!(Fixture::new(1).fill(Some(BOUND)).len(), 11);
    assert_eq!(Fixture::new(1).fill(None).len(), 30);
    let mut fast = Fixture::new(1);
    let ticket = fast.choose(Some(BOUND), at(0)).unwrap();
    fast.balancer
        .record_duration(&ticket, Duration::from_millis(100));
    assert_eq!(fast.fill(Some(BOUND)).len(), 29);
}

/// Guards against an entry that never sends again to upstreams that others had filled when they
/// last answered it.
#[test]
fn full_report_loses_its_effect_once_the_excess_is_finished() {
    let mut fixture = Fixture::new(2);
    let load = Load {
        running: 10,
        waiting: 10,
        slots: SLOTS,
    };
    for upstream in ["u0", "u1"] {
        fixture.balancer.report_load(&upstream.into(), load, at(0));
    }
    // 20 outstanding at 5 per second are down to 10 after 2 s.
    assert_eq!(fixture.choose(Some(BOUND), at(1_500)), Err(Refusal::Full));
    assert!(fixture.choose(Some(BOUND), at(2_100)).is_ok());
    // Two upstreams finish 10 requests per second together.
    assert_eq!(fixture.choose(Some(BOUND), at(2_110)), Err(Refusal::Full));
    assert!(fixture.choose(Some(BOUND), at(2_210)).is_ok());
}

/// Guards against one entry that takes the whole rate of a service by old reports.
#[test]
fn entries_share_the_sends_by_old_reports() {
    let mut fixture = Fixture::new(2);
    fixture.balancer.set_entries(10, at(0));
    let load = Load {
        running: 10,
        waiting: 20,
        slots: SLOTS,
    };
    for upstream in ["u0", "u1"] {
        fixture.balancer.report_load(&upstream.into(), load, at(0));
    }
    let sent = (0..1_000).filter(|n| {
        let now = at(5_000 + n * 10);
        let Ok(ticket) = fixture.choose(Some(BOUND), now) else {
            return false;
        };
        fixture.balancer.report_load(&ticket.upstream, load, now);
        fixture.balancer.finish(&ticket, Outcome::Good, now);
        fixture.balancer.report_load(&ticket.upstream, load, at(0));
        true
    });
    assert!((9..=12).contains(&sent.count()));
}
