//! Order by priority, target and share of work, and bounds, of a queue whose requests have targets.
//!
//! Each test names the load that it stands for.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::{Priority, QueuePolicy, RequestId, ServiceName, Time};
use pimentotide_routing::{FairQueue, QueueBounds, QueueRequest, REQUEST_COST, Shed, ShedReason};
use proptest::prelude::*;

use crate::fixture::{at, meta};

const URGENT: Priority = Priority(9);
const LEAST_URGENT: Priority = Priority(7);
const BOUND: u32 = 64;
const MAX_BYTES: u64 = 4 << 20;
const OLDEST_IN: u32 = 10;
/// Cost of the largest request of the property, in requests of unit cost.
const MAX_COST: u64 = 11;

fn queue() -> FairQueue<()> {
    let policy = QueuePolicy {
        bound: BOUND,
        wait: Duration::from_secs(60),
    };
    let bounds = QueueBounds {
        bytes: Some(MAX_BYTES),
        oldest_in: Some(OLDEST_IN),
    };
    FairQueue::open(ServiceName::from("drafting"), policy, BTreeMap::new()).with_bounds(bounds)
}

fn request(id: u128, workspace: &str, priority: Priority, now: Time) -> QueueRequest {
    let mut request = QueueRequest::new(&meta(id, workspace), now);
    request.priority = priority;
    request.deadline = now + Duration::from_secs(8);
    request.target = Some(now + Duration::from_millis(200));
    request
}

fn ids(shed: &[Shed<()>]) -> Vec<(u128, ShedReason)> {
    shed.iter().map(|s| (s.queued.id.0, s.reason)).collect()
}

/// Takes all requests, one every 10 ms.
fn take_all(queue: &mut FairQueue<()>, mut now: Time) -> Vec<u128> {
    let mut order = Vec::new();
    while let Some(queued) = queue.pop(now) {
        order.push(queued.id.0);
        now += Duration::from_millis(10);
    }
    order
}

/// Burst of the least urgent: guards against urgent requests that wait behind it or are refused
/// because it has filled the queue.
#[test]
fn urgent_requests_pass_a_burst_of_the_least_urgent_and_displace_it() {
    let mut queue = queue();
    for id in 0..u128::from(BOUND) {
        assert!(
            queue
                .push_request(request(id, "bulk", LEAST_URGENT, at(0)), (), at(0))
                .is_empty()
        );
    }
    let shed = queue.push_request(request(100, "chat", URGENT, at(1)), (), at(1));
    assert_eq!(ids(&shed), [(63, ShedReason::OverShare)]);
    assert_eq!(queue.peek(at(2)).map(|q| q.id), Some(RequestId(100)));
    assert_eq!(queue.pop(at(2)).map(|q| q.id), Some(RequestId(100)));
    let shed = queue.push_request(request(101, "bulk", LEAST_URGENT, at(3)), (), at(3));
    assert!(shed.is_empty());
    let shed = queue.push_request(request(102, "bulk", LEAST_URGENT, at(3)), (), at(3));
    assert_eq!(ids(&shed), [(102, ShedReason::Full)]);
}

/// Guards against a resumed stream that waits behind all first sends, or that passes more urgent ones.
#[test]
fn second_sends_precede_first_sends_of_their_priority_only() {
    let mut queue = queue();
    for (id, priority, resend) in [
        (1, LEAST_URGENT, false),
        (2, LEAST_URGENT, true),
        (3, URGENT, false),
        (4, URGENT, true),
    ] {
        let mut request = request(id, "w", priority, at(0));
        request.resend = resend;
        queue.push_request(request, (), at(0));
    }
    assert_eq!(take_all(&mut queue, at(1)), [4, 3, 2, 1]);
}

/// Backlog after engines were slow: guards against late requests that delay, or crowd out, those
/// that can still be in time.
#[test]
fn late_requests_do_not_delay_those_that_can_be_in_time() {
    let mut queue = queue();
    for id in 0..u128::from(BOUND) {
        queue.push_request(request(id, "w", URGENT, at(0)), (), at(0));
    }
    let now = at(1_000);
    for id in 100..103 {
        let shed = queue.push_request(request(id, "w", URGENT, now), (), now);
        assert_eq!(shed[0].reason, ShedReason::OverShare);
    }
    let order = take_all(&mut queue, now);
    assert_eq!(order[..4], [100, 101, 102, 0]);
    assert_eq!(order.len(), BOUND as usize);
}

/// Burst of urgent requests without end: guards against starvation of the least urgent.
#[test]
fn one_in_ten_requests_served_is_the_one_that_waited_longest() {
    let mut queue = queue();
    for id in 0..3 {
        queue.push_request(request(id, "bulk", LEAST_URGENT, at(0)), (), at(0));
    }
    let mut served = Vec::new();
    for step in 0..40 {
        let now = at(1 + step);
        queue.push_request(
            request(100 + u128::from(step), "chat", URGENT, now),
            (),
            now,
        );
        let next = queue.peek(now).map(|q| q.id);
        let queued = queue.pop(now).expect("a queued request");
        assert_eq!(next, Some(queued.id));
        if queued.priority == LEAST_URGENT {
            served.push(step);
        }
    }
    assert_eq!(served, [9, 19, 29]);
}

/// One workspace at ten times its share: guards against workspaces that pay for the long requests
/// of another one.
#[test]
fn workspaces_share_by_work_and_not_by_requests() {
    let mut queue = queue();
    for id in 0..20 {
        let mut heavy = request(id, "heavy", URGENT, at(0));
        heavy.cost = 10 * REQUEST_COST;
        queue.push_request(heavy, (), at(0));
    }
    for id in 20..60 {
        queue.push_request(request(id, "light", URGENT, at(0)), (), at(0));
    }
    let first = take_all(&mut queue, at(1));
    let heavy = first[..33].iter().filter(|id| **id < 20).count();
    assert!((3..=4).contains(&heavy), "{heavy} of 33: {first:?}");
}

/// One workspace with ever new requests: guards against late requests of another one that wait
/// although it is below its share.
#[test]
fn late_requests_of_a_workspace_below_its_share_are_served() {
    let mut queue = queue();
    for id in 0..4 {
        queue.push_request(request(id, "light", URGENT, at(0)), (), at(0));
    }
    let mut light = 0;
    for step in 0..20 {
        let now = at(1_000 + step);
        queue.push_request(
            request(100 + u128::from(step), "heavy", URGENT, now),
            (),
            now,
        );
        let queued = queue.pop(now).expect("a queued request");
        light += usize::from(queued.workspace.as_str() == "light");
    }
    assert_eq!(light, 4);
}

/// Large prompts: guards against waiting bodies that fill the memory of the entry.
#[test]
fn waiting_bodies_stay_within_their_bound() {
    let mut queue = queue();
    for id in 0..4 {
        let mut large = request(id, "bulk", LEAST_URGENT, at(0));
        large.bytes = MAX_BYTES / 4;
        assert!(queue.push_request(large, (), at(0)).is_empty());
    }
    let mut urgent = request(10, "chat", URGENT, at(1));
    urgent.bytes = MAX_BYTES / 2;
    let shed = queue.push_request(urgent, (), at(1));
    assert_eq!(
        ids(&shed),
        [(3, ShedReason::OverShare), (2, ShedReason::OverShare)]
    );
    let mut endless = request(11, "chat", URGENT, at(1));
    endless.bytes = MAX_BYTES + 1;
    let shed = queue.push_request(endless, (), at(1));
    assert_eq!(ids(&shed), [(11, ShedReason::Full)]);
    assert_eq!(take_all(&mut queue, at(2)), [10, 0, 1]);
}

/// Guards against a request that waits until its deadline instead of being refused in time.
#[test]
fn requests_leave_at_the_limit_of_their_own_wait() {
    let mut queue = queue();
    let mut short = request(1, "w", URGENT, at(0));
    short.wait = Some(Duration::from_millis(500));
    queue.push_request(short, (), at(0));
    queue.push_request(request(2, "w", URGENT, at(0)), (), at(0));
    assert_eq!(queue.next_due(), Some(at(500)));
    assert!(queue.shed_late(at(499)).is_empty());
    assert_eq!(ids(&queue.shed_late(at(500))), [(1, ShedReason::Waited)]);
    assert_eq!(queue.take_all().len(), 1);
    assert!(queue.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against refusals in the wrong order: when a request is displaced or turned away, no
    /// less urgent one stays whose memory it could have had, and no workspace of its priority that
    /// has more work waiting.
    #[test]
    fn refused_requests_are_the_least_urgent_of_the_workspace_above_its_share(
        steps in prop::collection::vec((0_u8..8, 7_u8..10, 0_usize..4, 1..=MAX_COST), 1..400),
    ) {
        let mut queue = queue();
        let mut inside: BTreeMap<u128, (u8, usize, u64)> = BTreeMap::new();
        let mut now = at(0);
        for (id, (action, priority, workspace, cost)) in (0_u128..).zip(steps) {
            now += Duration::from_millis(5);
            if action == 0 {
                if let Some(queued) = queue.pop(now) {
                    inside.remove(&queued.id.0);
                }
                continue;
            }
            let mut request = request(id, &format!("w{workspace}"), Priority(priority), now);
            request.target = None;
            request.cost = cost * REQUEST_COST;
            request.bytes = cost * (MAX_BYTES / 200);
            inside.insert(id, (priority, workspace, cost));
            for shed in queue.push_request(request, (), now) {
                let (priority, workspace, cost) = inside.remove(&shed.queued.id.0).expect("queued");
                if shed.reason == ShedReason::Deadline {
                    continue;
                }
                let less_urgent = inside.values().any(|(p, ..)| *p < priority);
                let others = inside.values().filter(|(p, ..)| *p >= priority);
                let kept: u64 = others.map(|(.., c)| c * (MAX_BYTES / 200)).sum();
                let too_large = kept + cost * (MAX_BYTES / 200) > MAX_BYTES;
                prop_assert!(!less_urgent || too_large, "refused beside a less urgent one");
                let work = |w: usize| -> u64 {
                    inside.values().filter(|(p, x, _)| *p == priority && *x == w).map(|(.., c)| *c).sum()
                };
                if shed.reason == ShedReason::Full {
                    let most = (0..4).map(work).max().unwrap_or(0);
                    // Shares are kept to within the two requests that would change places.
                    let slack = cost + MAX_COST;
                    prop_assert!(work(workspace) + cost + slack >= most, "refused below its share");
                }
            }
            let bytes: u64 = inside.values().map(|(.., c)| c * (MAX_BYTES / 200)).sum();
            prop_assert!(bytes <= MAX_BYTES && inside.len() <= BOUND as usize);
            prop_assert_eq!(queue.len(), inside.len());
        }
    }
}
