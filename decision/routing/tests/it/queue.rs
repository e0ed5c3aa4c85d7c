//! Order, fairness, bounds and load shedding of the queue in an entry.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::{Priority, QueuePolicy, ServiceName, Time, WorkspaceName};
use pimentotide_routing::{FairQueue, ShedReason};
use proptest::prelude::*;

use crate::fixture::{at, meta};

fn queue(bound: u32, shares: &[(&str, u32)]) -> FairQueue<()> {
    let policy = QueuePolicy {
        bound,
        wait: Duration::from_secs(5),
    };
    let shares: BTreeMap<_, _> = shares
        .iter()
        .map(|(w, s)| (WorkspaceName::from(*w), *s))
        .collect();
    FairQueue::open(ServiceName::from("drafting"), policy, shares)
}

fn push(queue: &mut FairQueue<()>, id: u128, workspace: &str, now: Time) -> Vec<ShedReason> {
    let shed = queue.push(&meta(id, workspace), (), now);
    shed.into_iter().map(|s| s.reason).collect()
}

#[test]
fn large_workspace_does_not_starve_a_small_one() {
    let mut queue = queue(256, &[]);
    for id in 0..100 {
        push(&mut queue, id, "large", at(0));
    }
    push(&mut queue, 100, "small", at(0));
    push(&mut queue, 101, "small", at(0));
    let first: Vec<_> = (0..4)
        .filter_map(|_| queue.pop(at(1)))
        .map(|q| q.workspace.to_string())
        .collect();
    assert_eq!(first, ["large", "small", "large", "small"]);
}

#[test]
fn requests_are_ordered_by_priority_then_deadline() {
    let mut queue = queue(16, &[]);
    let mut order = Vec::new();
    for (id, priority, deadline) in [(1, 100, 9_000), (2, 100, 8_000), (3, 200, 9_500)] {
        let mut request = meta(id, "w");
        request.priority = Priority(priority);
        request.deadline = at(deadline);
        queue.push(&request, (), at(0));
    }
    while let Some(queued) = queue.pop(at(1)) {
        order.push(queued.id.0);
    }
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn full_queue_evicts_for_a_workspace_below_its_share() {
    let mut queue = queue(4, &[]);
    for id in 0..4 {
        assert!(push(&mut queue, id, "large", at(0)).is_empty());
    }
    assert_eq!(push(&mut queue, 4, "large", at(0)), [ShedReason::Full]);
    assert_eq!(push(&mut queue, 5, "small", at(0)), [ShedReason::OverShare]);
    assert_eq!(queue.len(), 4);
}

#[test]
fn request_that_would_miss_its_deadline_is_refused_on_arrival() {
    let mut queue = queue(256, &[]);
    for id in 0..60 {
        push(&mut queue, id, "w", at(0));
    }
    for step in 1..=10 {
        queue.pop(at(step * 100));
    }
    let mut request = meta(100, "w");
    request.deadline = at(4_000);
    let shed = queue.push(&request, (), at(1_000));
    assert_eq!(shed[0].reason, ShedReason::Deadline);
    assert_eq!(shed[0].retry, Duration::from_secs(5));
    insta::assert_debug_snapshot!(shed[0].failure());
}

#[test]
fn idle_time_does_not_lower_the_drain_rate() {
    let mut queue = queue(256, &[]);
    for id in 0..10 {
        push(&mut queue, id, "w", at(0));
    }
    for step in 1..=10 {
        queue.pop(at(step * 10));
    }
    for step in 0..600 {
        queue.shed_late(at(1_000 + step * 50));
    }
    for id in 20..40 {
        assert!(push(&mut queue, id, "w", at(32_000)).is_empty());
    }
}

#[test]
fn late_requests_are_shed() {
    let mut queue = queue(256, &[]);
    queue.observe_answer(Duration::from_millis(500));
    let mut request = meta(1, "w");
    request.deadline = at(2_000);
    queue.push(&request, (), at(0));
    push(&mut queue, 2, "w", at(0));
    assert!(queue.shed_late(at(1_400)).is_empty());
    let late = queue.shed_late(at(1_500));
    assert_eq!(late[0].reason, ShedReason::Deadline);
    let waited = queue.shed_late(at(5_000));
    assert_eq!(waited[0].reason, ShedReason::Waited);
    assert!(queue.is_empty());
}

#[test]
fn requeued_requests_keep_their_position() {
    let mut queue = queue(16, &[]);
    for id in 0..3 {
        push(&mut queue, id, "a", at(0));
        push(&mut queue, id + 10, "b", at(0));
    }
    let first = queue.pop(at(1)).expect("queued");
    let id = first.id;
    queue.requeue(first, at(2));
    assert_eq!(queue.pop(at(3)).map(|q| q.id), Some(id));
    assert_eq!(
        queue
            .cancel(pimentotide_model::RequestId(11))
            .map(|q| q.id.0),
        Some(11)
    );
    assert_eq!(queue.len(), 4);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn backlogged_workspaces_share_by_weight(
        weights in prop::collection::vec(1_u32..6, 2..6),
        rounds in 1_usize..8,
    ) {
        let names: Vec<String> = (0..weights.len()).map(|i| format!("w{i}")).collect();
        let shares: Vec<(&str, u32)> =
            names.iter().map(String::as_str).zip(weights.iter().copied()).collect();
        let mut queue = queue(10_000, &shares);
        let mut id = 0;
        for (name, weight) in &shares {
            for _ in 0..(*weight as usize * (rounds + 1)) {
                push(&mut queue, id, name, at(0));
                id += 1;
            }
        }
        let total: u32 = weights.iter().sum();
        let mut served: BTreeMap<WorkspaceName, u32> = BTreeMap::new();
        for _ in 0..(total as usize * rounds) {
            let queued = queue.pop(at(1)).expect("backlogged");
            *served.entry(queued.workspace).or_default() += 1;
        }
        for (name, weight) in &shares {
            let actual = served.get(*name).copied().unwrap_or(0);
            let expected = weight * rounds as u32;
            prop_assert!(actual.abs_diff(expected) <= 1 + weight, "{name}: {actual} of {expected}");
        }
    }

    #[test]
    fn every_request_leaves_exactly_once(
        steps in prop::collection::vec((0_u8..4, 0_usize..4, 1_u64..300), 1..200),
    ) {
        let mut queue = queue(12, &[("w0", 3)]);
        let mut now = at(0);
        let mut inside = std::collections::BTreeSet::new();
        for (id, (action, workspace, pause)) in (0_u128..).zip(steps) {
            now += Duration::from_millis(pause);
            let mut left: Vec<u128> = Vec::new();
            match action {
                0 => left.extend(queue.pop(now).map(|q| q.id.0)),
                1 => left.extend(queue.shed_late(now).into_iter().map(|s| s.queued.id.0)),
                _ => {
                    inside.insert(id);
                    let shed = queue.push(&meta(id, &format!("w{workspace}")), (), now);
                    left.extend(shed.into_iter().map(|s| s.queued.id.0));
                }
            }
            for id in left {
                prop_assert!(inside.remove(&id), "left twice");
            }
            prop_assert_eq!(queue.len(), inside.len());
            prop_assert!(queue.len() <= 12);
        }
    }
}
