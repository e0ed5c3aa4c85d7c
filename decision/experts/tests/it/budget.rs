//! Leased shares of the weights store never exceed its rate; cold starts have priority.

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
        // Leases as the holders have them, by identifier.
        let mut held: std::collections::BTreeMap<u8, Lease> = Default::default();
        for (id, cold, wanted, pause, release) in steps {
            now += Duration::from_millis(pause);
            let name = format!("load-{id}");
            if release {
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
    fn bucket_never_exceeds_the_hourly_rate(
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
            // The bucket starts full and gains `RATE` per hour.
            let total: u64 = spent.iter().map(|(_, b)| b).sum();
            let gained = RATE + RATE * now.as_millis() / 3_600_000;
            prop_assert!(total <= gained + 1, "{} of {}", total, gained);
        }
    }
}

#[test]
fn waiting_cold_start_blocks_rebalancing() {
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
fn resent_plan_is_charged_once() {
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
