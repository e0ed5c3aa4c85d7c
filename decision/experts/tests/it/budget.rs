//! Shares of the weights store never exceed its rate; cold starts go first.

use std::time::Duration;

use pimentotide_experts::{Budget, LEASE, Lease, LeaseRequest, PlanCost, Purpose};
use pimentotide_model::{GroupName, OrderId, Time};
use proptest::prelude::*;

const RATE: u64 = 1_000;

fn request(id: &str, purpose: Purpose, rate: u64) -> LeaseRequest {
    LeaseRequest {
        id: OrderId::from(id),
        purpose,
        rate,
    }
}

fn budget() -> Budget {
    let mut budget = Budget::default();
    budget.set_rate(RATE);
    budget
}

fn rate(lease: Option<Lease>) -> u64 {
    lease.map_or(0, |l| l.rate)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn shares_never_exceed_the_rate(
        steps in prop::collection::vec((0..12_u8, any::<bool>(), 0..1_500_u64, 0..4_000_u64, any::<bool>()), 1..60),
    ) {
        let mut budget = budget();
        let mut now = Time::ZERO;
        // What holders believe that they may use, by identifier.
        let mut held: std::collections::BTreeMap<u8, Lease> = Default::default();
        for (id, cold, wanted, pause, back) in steps {
            now += Duration::from_millis(pause);
            let name = format!("load-{id}");
            if back {
                budget.release(&OrderId::from(name.as_str()));
                held.remove(&id);
            } else {
                let purpose = if cold { Purpose::ColdStart } else { Purpose::Rebalance };
                if let Some(lease) = budget.lease(&request(&name, purpose, wanted), now) {
                    held.insert(id, lease);
                }
            }
            let used: u64 = held.values().filter(|l| l.until > now).map(|l| l.rate).sum();
            prop_assert!(used <= RATE, "{} in use", used);
            prop_assert_eq!(used, budget.used(now));
        }
    }

    #[test]
    fn a_bucket_never_gives_more_than_an_hour_allows(
        steps in prop::collection::vec((0..600_u64, 0..1_200_u64), 1..80),
    ) {
        let group = GroupName::from("group");
        let mut budget = budget();
        let mut now = Time::ZERO;
        let mut spent = Vec::new();
        for (pause, bytes) in steps {
            now += Duration::from_secs(pause);
            let id = OrderId::from(format!("plan-{}", now.as_millis()));
            let plan = PlanCost { id, bytes };
            let fresh = spent.last().is_none_or(|(last, _)| *last != now);
            if budget.spend(&group, RATE, &plan, now) && fresh {
                spent.push((now, bytes));
            }
            // A bucket gives what it held at the start and what came in since.
            let total: u64 = spent.iter().map(|(_, b)| b).sum();
            let gained = RATE + RATE * now.as_millis() / 3_600_000;
            prop_assert!(total <= gained + 1, "{} of {}", total, gained);
        }
    }
}

#[test]
fn a_waiting_cold_start_holds_rebalancing_back() {
    let mut budget = budget();
    let mut now = Time::ZERO;
    let moving = request("move", Purpose::Rebalance, RATE);
    let cold = request("cold", Purpose::ColdStart, 800);
    assert_eq!(rate(budget.lease(&moving, now)), RATE);
    assert_eq!(rate(budget.lease(&cold, now)), 0);
    now += Duration::from_secs(1);
    assert_eq!(rate(budget.lease(&moving, now)), 0, "not renewed");
    now += LEASE;
    assert_eq!(rate(budget.lease(&cold, now)), 800);
    assert_eq!(rate(budget.lease(&moving, now)), 200);
    budget.release(&cold.id);
    assert_eq!(rate(budget.lease(&moving, now)), RATE);
}

#[test]
fn a_plan_is_paid_for_once() {
    let group = GroupName::from("group");
    let mut budget = budget();
    let plan = |id: &str| PlanCost {
        id: OrderId::from(id),
        bytes: 600,
    };
    assert!(budget.spend(&group, RATE, &plan("a"), Time::ZERO));
    assert!(budget.spend(&group, RATE, &plan("a"), Time::ZERO), "resent");
    assert_eq!(budget.allowance(&group, RATE, Time::ZERO), 400);
    assert!(!budget.spend(&group, RATE, &plan("b"), Time::ZERO));
}
