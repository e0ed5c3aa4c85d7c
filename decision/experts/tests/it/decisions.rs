//! Commands of competing coordinators and leaders: each switch has exactly one outcome.

use std::sync::Arc;

use pimentotide_experts::{
    Change, Command, Decisions, Demand, ExpertMap, Layout, MapId, Refusal, Reply, place,
};
use pimentotide_model::{Fence, GroupName, Incarnation, InstanceName, OrderId, Time, UpstreamName};

fn name() -> GroupName {
    GroupName::from("group")
}

fn layout() -> Layout {
    Layout::uniform(1, 4, 2, 3, 1)
}

fn map(hot: usize) -> Arc<ExpertMap> {
    let mut weights = [1.0; 4];
    weights[hot] = 9.0;
    let demand = Demand::new(4, &weights, &[1.0; 2]);
    Arc::new(place(&layout(), &demand).expect("layout fits"))
}

fn formed() -> Decisions {
    let mut log = Decisions::default();
    let form = Command::Form {
        group: name(),
        layout: layout(),
        map: map(0),
    };
    assert_eq!(log.apply(&form, Time::ZERO), Reply::Done);
    log
}

fn take(log: &mut Decisions, holder: &str, nonce: u64) -> Fence {
    let command = Command::Take {
        group: name(),
        holder: InstanceName::from(holder),
        nonce,
    };
    match log.apply(&command, Time::ZERO) {
        Reply::Taken { fence, .. } => fence,
        other => panic!("{other:?}"),
    }
}

fn stage(log: &mut Decisions, fence: Fence, hot: usize) -> Reply {
    let command = Command::Stage {
        group: name(),
        fence,
        map: map(hot),
    };
    log.apply(&command, Time::ZERO)
}

fn decide(log: &mut Decisions, fence: Fence, id: u64) -> Reply {
    let command = Command::Decide {
        group: name(),
        fence,
        id: MapId(id),
        step: 9,
    };
    log.apply(&command, Time::ZERO)
}

fn abandon(log: &mut Decisions, fence: Fence, id: u64) -> Reply {
    let command = Command::Abandon {
        group: name(),
        fence,
        id: MapId(id),
    };
    log.apply(&command, Time::ZERO)
}

#[test]
fn commands_of_an_older_coordinator_are_rejected() {
    let mut log = formed();
    let old = take(&mut log, "a", 1);
    assert_eq!(take(&mut log, "a", 1), old, "resent");
    assert_eq!(stage(&mut log, old, 1), Reply::Staged(MapId(2)));
    let new = take(&mut log, "b", 1);
    assert!(new > old);
    let before = log.clone();
    assert_eq!(decide(&mut log, old, 2), Reply::Refused(Refusal::Fenced));
    assert_eq!(abandon(&mut log, old, 2), Reply::Refused(Refusal::Fenced));
    assert_eq!(log, before);
    assert!(matches!(decide(&mut log, new, 2), Reply::Decided(_)));
}

#[test]
fn first_of_decide_and_abandon_is_final() {
    let mut log = formed();
    let fence = take(&mut log, "a", 1);
    assert_eq!(stage(&mut log, fence, 1), Reply::Staged(MapId(2)));
    assert_eq!(stage(&mut log, fence, 1), Reply::Staged(MapId(2)), "resent");
    assert_eq!(abandon(&mut log, fence, 2), Reply::Abandoned(MapId(2)));
    assert_eq!(
        decide(&mut log, fence, 2),
        Reply::Refused(Refusal::NotStaged)
    );
    assert_eq!(stage(&mut log, fence, 1), Reply::Staged(MapId(3)));
    let decided = decide(&mut log, fence, 3);
    assert!(matches!(&decided, Reply::Decided(d) if d.id == MapId(3)));
    assert_eq!(abandon(&mut log, fence, 3), decided);
    assert_eq!(decide(&mut log, fence, 3), decided, "resent");
    let next = stage(&mut log, fence, 2);
    assert_eq!(next, Reply::Refused(Refusal::InFlight), "not settled");
}

#[test]
fn older_leader_gets_no_term() {
    let mut log = formed();
    let mut lead = |start| {
        let command = Command::Lead {
            group: name(),
            incarnation: Incarnation(start),
        };
        log.apply(&command, Time::ZERO)
    };
    let first = lead(1);
    let second = lead(2);
    assert_ne!(first, second);
    assert_eq!(lead(2), second, "resent");
    assert_eq!(lead(1), Reply::Refused(Refusal::Fenced));
}

#[test]
fn fencing_tokens_increase_strictly() {
    let mut log = formed();
    let mut last = Fence(0);
    for round in 0..20 {
        match round % 2 {
            0 => {
                take(&mut log, "a", round);
            }
            _ => {
                let command = Command::Order {
                    upstream: UpstreamName::from("u"),
                    id: OrderId::from(format!("order-{round}")),
                    change: Change::Become(pimentotide_experts::Role::Prefill),
                };
                assert!(matches!(log.apply(&command, Time::ZERO), Reply::Ordered(_)));
            }
        }
        assert!(log.fence() > last);
        last = log.fence();
    }
}
