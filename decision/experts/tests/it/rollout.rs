//! A version change keeps enough warm capacity in service.

use std::collections::BTreeMap;

use pimentotide_experts::{Change, Member, RolloutStep, Wait, next_step};
use pimentotide_model::{ModelName, UpstreamName, VersionName, Warmth};
use proptest::prelude::*;

type Members = BTreeMap<UpstreamName, Member>;

fn members(count: u32, capacity: u32) -> Members {
    let member = |n| {
        let member = Member {
            version: Some(VersionName::from("v1")),
            warmth: Warmth::Warm,
            capacity,
            serving: true,
            changing: false,
        };
        (UpstreamName::from(format!("u{n}")), member)
    };
    (0..count).map(member).collect()
}

fn step(members: &Members, demand: u32) -> RolloutStep {
    let (model, version) = (ModelName::from("m"), VersionName::from("v2"));
    next_step(members, &model, &version, demand)
}

fn warm(members: &Members) -> u32 {
    let usable = |m: &&Member| m.serving && m.version.is_some() && m.warmth == Warmth::Warm;
    members.values().filter(usable).map(|m| m.capacity).sum()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn warm_capacity_covers_demand_throughout_the_change(
        count in 1..8_u32,
        capacity in 1..20_u32,
        demand in 0..100_u32,
        events in prop::collection::vec(0..3_u8, 1..80),
    ) {
        let mut members = members(count, capacity);
        for event in events {
            if let RolloutStep::Order(name, Change::Load(_, _)) = step(&members, demand) {
                let member = members.get_mut(&name).expect("member");
                member.changing = true;
                member.version = None;
                member.warmth = Warmth::Cold;
                prop_assert!(warm(&members) >= demand, "{} warm", warm(&members));
                prop_assert!(warm(&members) > 0);
            }
            for member in members.values_mut() {
                match event {
                    0 if member.changing => {
                        member.changing = false;
                        member.version = Some(VersionName::from("v2"));
                    }
                    1 if member.version.is_some() => member.warmth = Warmth::Warm,
                    _ => {}
                }
            }
        }
    }
}

#[test]
fn change_completes_or_reports_why_it_waits() {
    let mut all = members(3, 10);
    assert_eq!(step(&all, 25), RolloutStep::Wait(Wait::Capacity));
    assert!(matches!(step(&all, 10), RolloutStep::Order(..)));
    all.values_mut().next().expect("member").changing = true;
    assert_eq!(step(&all, 10), RolloutStep::Wait(Wait::Changing));
    let first = all.values_mut().next().expect("member");
    first.changing = false;
    first.version = Some(VersionName::from("v2"));
    first.warmth = Warmth::Warming;
    assert_eq!(step(&all, 0), RolloutStep::Wait(Wait::Warming));
    for member in all.values_mut() {
        member.version = Some(VersionName::from("v2"));
    }
    assert_eq!(step(&all, 10), RolloutStep::Done);
}
