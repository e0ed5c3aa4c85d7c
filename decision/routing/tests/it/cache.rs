//! Index of cached blocks, with events that are late, out of order or lost.

use std::collections::BTreeSet;

use pimentotide_model::{Incarnation, UpstreamName};
use pimentotide_routing::{
    CacheAction, CacheChange, CacheEvent, CacheSnapshot, Placement, Placer, Reason,
};
use proptest::prelude::*;

use crate::fixture::{at, meta, placer, rng};

fn event(sequence: u64, change: CacheChange) -> CacheEvent {
    CacheEvent {
        incarnation: Incarnation(1),
        sequence,
        change,
    }
}

fn upstream(index: usize) -> UpstreamName {
    UpstreamName::from(format!("u{index:02}"))
}

fn stored(range: std::ops::Range<u64>) -> CacheChange {
    CacheChange::Stored(range.collect())
}

/// Returns the hit expected for `prefix` on the upstream, taken from a decision for it.
fn expected_hit(placer: &mut Placer, index: usize, prefix: &[u64]) -> u32 {
    let mut request = meta(1, "w");
    request.prefix = prefix.to_vec();
    let tried: Vec<_> = (0..2).filter(|i| *i != index).map(upstream).collect();
    match placer.place(&request, &tried, at(1), &mut rng()) {
        Placement::Chosen(decision) => {
            let hit = decision.candidates[0].hit;
            let done = pimentotide_routing::Finished {
                outcome: pimentotide_routing::AttemptOutcome::Refused(None),
                first_token: None,
                total: Default::default(),
                tokens: 0,
                cached: None,
            };
            placer.finish(decision.ticket, &request, &done, at(1));
            hit
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn late_events_are_applied_in_order() {
    let mut placer = placer(2);
    let up = upstream(1);
    assert_eq!(
        placer.observe_cache(&up, event(2, CacheChange::Evicted(vec![3])), at(0)),
        CacheAction::Resync
    );
    assert_eq!(
        placer.observe_cache(&up, event(1, stored(0..4)), at(0)),
        CacheAction::None
    );
    assert_eq!(expected_hit(&mut placer, 1, &[0, 1, 2, 3]), 3);
}

#[test]
fn snapshot_closes_a_gap() {
    let mut placer = placer(2);
    let up = upstream(1);
    placer.observe_cache(&up, event(1, stored(0..2)), at(0));
    assert_eq!(
        placer.observe_cache(&up, event(4, stored(8..9)), at(0)),
        CacheAction::Resync
    );
    assert_eq!(
        placer.observe_cache(&up, event(5, stored(4..6)), at(0)),
        CacheAction::None
    );
    let snapshot = CacheSnapshot {
        incarnation: Incarnation(1),
        sequence: 4,
        blocks: (0..4).collect(),
    };
    assert_eq!(
        placer.observe_snapshot(&up, &snapshot, at(0)),
        CacheAction::None
    );
    assert_eq!(expected_hit(&mut placer, 1, &[0, 1, 2, 3, 4, 5, 6]), 6);
}

#[test]
fn holder_of_a_long_prefix_is_chosen() {
    let mut placer = placer(12);
    placer.observe_cache(&upstream(7), event(1, stored(0..64)), at(0));
    let mut request = meta(1, "w");
    request.prefix = (0..64).collect();
    let mut training = meta(2, "w");
    training.prefix = (100..164).collect();
    let mut rng = rng();
    let Placement::Chosen(first) = placer.place(&training, &[], at(1), &mut rng) else {
        panic!("not placed");
    };
    let done = pimentotide_routing::Finished {
        outcome: pimentotide_routing::AttemptOutcome::Good,
        first_token: Some(std::time::Duration::from_millis(640)),
        total: std::time::Duration::from_secs(2),
        tokens: 100,
        cached: Some(0),
    };
    placer.finish(first.ticket, &training, &done, at(2));
    let Placement::Chosen(decision) = placer.place(&request, &[], at(3), &mut rng) else {
        panic!("not placed");
    };
    assert_eq!(decision.upstream, upstream(7));
    assert_eq!(decision.reason, Reason::Prefix);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// The index equals the cache after all events, whatever their order and gaps.
    #[test]
    fn index_matches_the_cache_after_gaps(
        changes in prop::collection::vec((any::<bool>(), 0_u64..24, 1_u64..6), 1..60),
        lost in prop::collection::btree_set(0_usize..60, 0..20),
        swaps in prop::collection::vec(0_usize..60, 0..20),
    ) {
        let mut truth: BTreeSet<u64> = BTreeSet::new();
        let mut states = Vec::new();
        let mut events = Vec::new();
        for (sequence, (store, from, count)) in (1..).zip(changes) {
            let blocks: Vec<u64> = (from..from + count).collect();
            let change = if store {
                truth.extend(&blocks);
                CacheChange::Stored(blocks)
            } else {
                blocks.iter().for_each(|b| { truth.remove(b); });
                CacheChange::Evicted(blocks)
            };
            states.push(truth.clone());
            events.push(event(sequence, change));
        }
        let last = events.len();
        let mut order: Vec<usize> = (0..last).filter(|i| *i + 1 == last || !lost.contains(i)).collect();
        for swap in swaps {
            if swap + 1 < order.len() {
                order.swap(swap, swap + 1);
            }
        }
        let mut placer = placer(2);
        let up = upstream(1);
        let mut now = at(0);
        for index in order {
            now += std::time::Duration::from_millis(1_100);
            let action = placer.observe_cache(&up, events[index].clone(), now);
            if action == CacheAction::Resync {
                let snapshot = CacheSnapshot {
                    incarnation: Incarnation(1),
                    sequence: index as u64 + 1,
                    blocks: states[index].iter().copied().collect(),
                };
                placer.observe_snapshot(&up, &snapshot, now);
            }
        }
        for block in 0..32 {
            let hit = expected_hit(&mut placer, 1, &[block]);
            prop_assert_eq!(hit == 1, truth.contains(&block), "block {}", block);
        }
    }
}
