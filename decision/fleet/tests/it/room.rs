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
    streams: true,
};
const SLOTS: u32 = 10;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

struct Fixture {
    upstreams: usize,
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
            upstreams,
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

    /// Reports the same load of all upstreams.
    fn report(&mut self, running: u32, waiting: u32, now: Time) {
        for number in 0..self.upstreams {
            let load = Load {
                running,
                waiting,
                slots: SLOTS,
            };
            let name = format!("u{number}");
            self.balancer.report_load(&name.as_str().into(), load, now);
        }
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
    fixture.balancer.set_entries(10, at(0));
    fixture.report(10, 10, at(0));
    // 20 outstanding at 5 per second are down to 10 after 2 s.
    assert_eq!(fixture.choose(Some(BOUND), at(1_500)), Err(Refusal::Full));
    assert!(fixture.choose(Some(BOUND), at(2_100)).is_ok());
    // A quarter of a tenth of the 10 requests per second that both finish is one in 4 s.
    assert_eq!(fixture.choose(Some(BOUND), at(6_000)), Err(Refusal::Full));
    assert!(fixture.choose(Some(BOUND), at(6_200)).is_ok());
}

/// Guards against entries that take the whole rate of a service by old reports, each for itself.
#[test]
fn entries_share_the_sends_by_old_reports() {
    let mut fixture = Fixture::new(2);
    fixture.balancer.set_entries(10, at(0));
    fixture.report(10, 20, at(0));
    let sent = (0..1_000).filter(|n| {
        let now = at(5_000 + n * 10);
        let Ok(ticket) = fixture.choose(Some(BOUND), now) else {
            return false;
        };
        fixture.balancer.finish(&ticket, Outcome::Good, now);
        fixture.report(10, 20, at(0));
        true
    });
    assert!((3..=4).contains(&sent.count()));
}

/// Guards against an entry that counts as room all that an upstream can have finished, although
/// other entries do so too.
#[test]
fn entry_counts_its_share_of_what_upstreams_finish() {
    let mut fixture = Fixture::new(1);
    fixture.balancer.set_entries(10, at(0));
    fixture.report(10, 5, at(0));
    // The one send by an old report.
    let ticket = fixture.choose(Some(BOUND), at(1_500)).unwrap();
    fixture.balancer.record_begun(&ticket);
    fixture.report(10, 2, at(2_000));
    // A share of 0.5 per second makes room for one after 2 s.
    assert_eq!(fixture.choose(Some(BOUND), at(3_900)), Err(Refusal::Full));
    assert!(fixture.choose(Some(BOUND), at(4_100)).is_ok());
}

/// Onset of a burst: guards against entries that each take all the room that they see, so that
/// upstreams get several times what they can begin in time.
#[test]
fn streams_that_have_not_begun_stay_within_the_share_of_the_room() {
    let mut fixture = Fixture::new(8);
    fixture.balancer.set_entries(4, at(0));
    let tickets = fixture.fill(Some(BOUND));
    assert_eq!(tickets.len(), 22);
    for ticket in &tickets {
        fixture.balancer.record_begun(ticket);
    }
    assert_eq!(fixture.fill(Some(BOUND)).len(), 17);
    let whole = QueueBound {
        streams: false,
        ..BOUND
    };
    let mut fixture = Fixture::new(8);
    fixture.balancer.set_entries(4, at(0));
    assert_eq!(fixture.fill(Some(whole)).len(), 88);
}

/// Streams that leave a slow upstream before its answer: guards against a service that takes no more
/// streams because those that have left still count as not begun.
#[test]
fn streams_that_end_before_their_answer_leave_their_share() {
    let mut fixture = Fixture::new(8);
    fixture.balancer.set_entries(4, at(0));
    let begun = fixture.fill(Some(BOUND));
    for ticket in &begun {
        fixture.balancer.record_begun(ticket);
    }
    let left = fixture.fill(Some(BOUND));
    assert_eq!(left.len(), 17);
    for ticket in &left {
        fixture
            .balancer
            .finish_unanswered(ticket, Outcome::Neutral, at(0));
    }
    assert_eq!(fixture.fill(Some(BOUND)).len(), left.len());
}

/// Guards against several streams sent to the one upstream that every entry believes to have room.
#[test]
fn streams_that_have_not_begun_stay_within_the_share_of_each_upstream() {
    let mut fixture = Fixture::new(2);
    fixture.balancer.set_entries(4, at(0));
    fixture.report(10, 20, at(1));
    let load = Load {
        running: 9,
        waiting: 0,
        slots: SLOTS,
    };
    fixture.balancer.report_load(&"u0".into(), load, at(1));
    assert_eq!(fixture.fill(Some(BOUND)).len(), 1);
}
