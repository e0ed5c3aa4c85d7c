//! Each order is carried out once, despite resent orders and restarted agents.

use std::collections::BTreeMap;

use pimentotide_experts::{
    AcceptedOrders, Change, Inventory, Order, OrderLog, Progress, Receipt, Role,
};
use pimentotide_model::{ErrorKind, Fence, ModelName, OrderId, UpstreamName, VersionName};

fn upstream() -> UpstreamName {
    UpstreamName::from("advice-1")
}

fn load(version: &str) -> Change {
    Change::Load(ModelName::from("advice"), VersionName::from(version))
}

fn place(log: &mut OrderLog, id: &str, change: &Change, fence: u64) -> Option<Order> {
    log.place(&upstream(), &OrderId::from(id), change, Fence(fence))
}

fn engine(version: &str) -> Inventory {
    let versions = [(ModelName::from("advice"), VersionName::from(version))];
    Inventory {
        models: BTreeMap::from(versions),
        ..Inventory::default()
    }
}

#[test]
fn resent_order_resolves_to_the_first_one() {
    let mut log = OrderLog::default();
    let first = place(&mut log, "a", &load("v2"), 1).expect("placed");
    assert_eq!(place(&mut log, "a", &load("v2"), 2), Some(first.clone()));
    assert_eq!(place(&mut log, "a", &load("v3"), 3), None, "other content");
    let mut agent = AcceptedOrders::default();
    agent.raise_floor(Fence(1));
    let state = engine("v1");
    assert_eq!(agent.receive(&first, &state), Ok(Receipt::Execute));
    let again = agent.receive(&first, &state);
    assert_eq!(again, Ok(Receipt::Recorded(Progress::Running)));
    agent.finish(&first.id, Progress::Done);
    let again = agent.receive(&first, &engine("v2"));
    assert_eq!(again, Ok(Receipt::Recorded(Progress::Done)));
}

#[test]
fn restarted_agent_does_not_repeat_an_order() {
    let mut log = OrderLog::default();
    let old = place(&mut log, "a", &load("v1"), 1).expect("placed");
    log.finish(&upstream(), &old.id, Progress::Done);
    let order = place(&mut log, "b", &load("v2"), 2).expect("placed");
    let mut agent = AcceptedOrders::default();
    let early = agent.receive(&order, &engine("v2")).expect_err("refused");
    assert_eq!(early.kind, ErrorKind::NotCurrent);
    agent.raise_floor(log.floor(&upstream()));
    // The engine carried out the order, but the agent restarted before it replied.
    let again = agent.receive(&order, &engine("v2"));
    assert_eq!(again, Ok(Receipt::Recorded(Progress::Done)));
    let late = agent.receive(&old, &engine("v2")).expect_err("refused");
    assert_eq!(late.kind, ErrorKind::Fenced);
}

#[test]
fn newer_order_supersedes_a_running_one_on_the_same_model() {
    let mut log = OrderLog::default();
    place(&mut log, "a", &load("v2"), 1).expect("placed");
    place(&mut log, "b", &Change::Become(Role::Decode), 2).expect("placed");
    place(&mut log, "c", &load("v3"), 3).expect("placed");
    let progress = |id| log.progress(&upstream(), &OrderId::from(id));
    assert_eq!(progress("a"), Some(Progress::Superseded));
    assert_eq!(progress("b"), Some(Progress::Running));
    let next = log.next_order(&upstream()).expect("running");
    assert_eq!(next.id, OrderId::from("b"), "orders are sent one at a time");
    assert_eq!(log.floor(&upstream()), Fence(2));
    log.finish(&upstream(), &OrderId::from("b"), Progress::Done);
    log.finish(&upstream(), &OrderId::from("c"), Progress::Failed);
    log.finish(&upstream(), &OrderId::from("c"), Progress::Done);
    let ended = log.progress(&upstream(), &OrderId::from("c"));
    assert_eq!(
        ended,
        Some(Progress::Failed),
        "only the first final progress counts"
    );
    assert_eq!(log.floor(&upstream()), Fence(4));
}
