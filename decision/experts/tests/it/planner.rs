//! Invariants of placements, and conditions under which the planner moves experts.

use std::time::Duration;

use pimentotide_experts::{
    Conditions, Declined, Demand, ExpertMap, Layout, Limits, PlanPolicy, Planner, StepSample,
    TokenCounts, Verdict, improve_map, pack_greedily, place,
};
use pimentotide_model::Time;
use proptest::prelude::*;

/// Relative difference between forecasts that rounding of weights may cause.
const ROUNDING: f64 = 1e-9;

fn layouts() -> impl Strategy<Value = Layout> {
    (1..4_u16, 2..24_u16, 1..12_u16, 1..4_u16).prop_map(|(layers, experts, ranks, node)| {
        let least = experts.div_ceil(ranks);
        let slots = (least + least / 2 + 1).min(experts);
        Layout::uniform(layers, experts, ranks, slots, node)
    })
}

fn cases() -> impl Strategy<Value = (Layout, Vec<f64>, Vec<f64>, Vec<f64>)> {
    layouts().prop_flat_map(|layout| {
        let size = usize::from(layout.layers) * usize::from(layout.experts);
        let ranks = layout.ranks.len();
        let weights = || prop::collection::vec(prop_oneof![Just(0.0), 0.0..1.0, 5.0..50.0], size);
        let speeds = prop::collection::vec(prop_oneof![3 => Just(1.0), 1 => 0.3..1.5], ranks);
        (Just(layout), weights(), weights(), speeds)
    })
}

fn staged(layout: &Layout, old: &ExpertMap, new: &ExpertMap) -> Vec<u64> {
    let owners = layout.owners();
    let mut staged = vec![0; layout.ranks.len()];
    for index in new.changes(old) {
        staged[owners[index % owners.len()]] += 1;
    }
    staged
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn placements_hold_every_expert_within_the_slots((layout, weights, _, speeds) in cases()) {
        let demand = Demand::new(usize::from(layout.experts), &weights, &speeds);
        let map = place(&layout, &demand).expect("layout fits");
        prop_assert_eq!(map.check(&layout), Ok(()));
        let packed = pack_greedily(&layout, &demand).expect("layout fits");
        prop_assert_eq!(packed.check(&layout), Ok(()));
        let forecast = demand.forecast(&layout, &map);
        prop_assert!(forecast.time >= forecast.bound * (1.0 - 1e-6));
        prop_assert_eq!(place(&layout, &demand), Ok(map));
    }

    #[test]
    fn changes_keep_limits_and_never_increase_the_time(
        (layout, old, new, speeds) in cases(),
        moves in 0..20_u64,
        most in 0..6_u64,
    ) {
        let experts = usize::from(layout.experts);
        let even = vec![1.0; speeds.len()];
        let map = place(&layout, &Demand::new(experts, &old, &even)).expect("layout fits");
        let demand = Demand::new(experts, &new, &speeds);
        let limits = Limits { moves, staged: most, price: 0.0 };
        let next = improve_map(&layout, &demand, &map, &limits);
        prop_assert_eq!(next.check(&layout), Ok(()));
        prop_assert!(next.changes(&map).count() as u64 <= moves);
        prop_assert!(staged(&layout, &map, &next).into_iter().all(|s| s <= most));
        let before = demand.forecast(&layout, &map).time;
        let after = demand.forecast(&layout, &next).time;
        prop_assert!(after <= before * (1.0 + ROUNDING), "{} to {}", before, after);
        prop_assert_eq!(improve_map(&layout, &demand, &map, &limits), next);
    }
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn busy(rank: u16, seconds: u64, speed: f64) -> StepSample {
    StepSample {
        rank,
        at: at(seconds),
        work: 1_000,
        busy: Duration::from_secs_f64(0.001 / speed),
    }
}

/// Returns a planner after `seconds` of reports, with rank 1 at the given speed by time.
fn planner_after<F>(seconds: u64, speed: F) -> (Planner, ExpertMap, Vec<Verdict>)
where
    F: Fn(u64) -> f64,
{
    let layout = Layout::uniform(2, 16, 4, 6, 2);
    let weights: Vec<f64> = (0..32).map(|e| 1.0 + f64::from(e % 5)).collect();
    let demand = Demand::new(16, &weights, &[1.0; 4]);
    let map = place(&layout, &demand).expect("layout fits");
    let mut planner = Planner::new(layout, PlanPolicy::default()).expect("layout fits");
    let mut verdicts = Vec::new();
    for tick in (0..seconds).step_by(10) {
        let counts = TokenCounts {
            reporter: 0,
            sequence: tick + 1,
            at: at(tick),
            tokens: weights.iter().map(|w| (w * 1000.0) as u32).collect(),
        };
        assert!(planner.observe_tokens(&counts));
        assert!(!planner.observe_tokens(&counts), "a duplicate is ignored");
        for rank in 0..4 {
            let speed = if rank == 1 { speed(tick) } else { 1.0 };
            planner.observe_step(&busy(rank, tick, speed));
        }
        let conditions = Conditions {
            allowance: u64::MAX,
            ..Conditions::default()
        };
        verdicts.push(planner.evaluate(at(tick), &map, conditions));
    }
    (planner, map, verdicts)
}

fn proposals(verdicts: &[Verdict]) -> usize {
    let proposed = |v: &&Verdict| matches!(v, Verdict::Propose(_));
    verdicts.iter().filter(proposed).count()
}

#[test]
fn stall_moves_no_experts_and_straggler_does() {
    let stall = |tick| if (200..220).contains(&tick) { 0.1 } else { 1.0 };
    assert_eq!(proposals(&planner_after(600, stall).2), 0);
    let (mut planner, ..) = planner_after(220, stall);
    assert_eq!(planner.straggler(at(220)), None);
    let (mut planner, _, verdicts) = planner_after(600, |tick| if tick >= 200 { 0.5 } else { 1.0 });
    assert!(proposals(&verdicts) > 0);
    assert_eq!(planner.straggler(at(600)), Some((1, 0.5)));
    let Some(Verdict::Propose(plan)) = verdicts.iter().find(|v| matches!(v, Verdict::Propose(_)))
    else {
        panic!("no plan");
    };
    assert!(plan.after.skew() < 1.05, "skew {}", plan.after.skew());
    assert!(plan.before.skew() > 1.3, "skew {}", plan.before.skew());
}

#[test]
fn planner_declines_paused_groups_and_switches_in_flight() {
    let (mut planner, map, _) = planner_after(600, |tick| if tick >= 540 { 0.5 } else { 1.0 });
    let declined = [
        (true, false, Declined::Paused),
        (false, true, Declined::Switching),
    ];
    for (paused, switching, expected) in declined {
        let conditions = Conditions {
            paused,
            switching,
            allowance: u64::MAX,
        };
        let verdict = planner.evaluate(at(600), &map, conditions);
        assert!(matches!(verdict, Verdict::Decline { reason, .. } if reason == expected));
    }
}
