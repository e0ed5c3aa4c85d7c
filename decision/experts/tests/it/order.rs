//! An order acts once, whatever is resent and whoever restarts.

use std::collections::BTreeMap;

use pimentotide_experts::{Change, Inventory, Order, OrderBook, OrderLog, Progress, Receipt, Role};
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
fn a_resent_order_is_the_same_order() {
    let mut log = OrderLog::default();
    let first = place(&mut log, "a", &load("v2"), 1).expect("placed");
    assert_eq!(place(&mut log, "a", &load("v2"), 2), Some(first.clone()));
    assert_eq!(place(&mut log, "a", &load("v3"), 3), None, "other content");
    let mut book = OrderBook::default();
    book.learn_floor(Fence(1));
    let state = engine("v1");
    assert_eq!(book.receive(&first, &state), Ok(Receipt::Act));
    let again = book.receive(&first, &state);
    assert_eq!(again, Ok(Receipt::Known(Progress::Running)));
    book.finish(&first.id, Progress::Done);
    let again = book.receive(&first, &engine("v2"));
    assert_eq!(again, Ok(Receipt::Known(Progress::Done)));
}

#[test]
fn an_agent_that_restarted_does_not_act_again() {
    let mut log = OrderLog::default();
    let old = place(&mut log, "a", &load("v1"), 1).expect("placed");
    log.finish(&upstream(), &old.id, Progress::Done);
    let order = place(&mut log, "b", &load("v2"), 2).expect("placed");
    let mut book = OrderBook::default();
    let unsure = book.receive(&order, &engine("v2")).expect_err("refused");
    assert_eq!(unsure.kind, ErrorKind::NotCurrent);
    book.learn_floor(log.floor(&upstream()));
    // The engine carried the order out before the agent's answer was lost.
    let again = book.receive(&order, &engine("v2"));
    assert_eq!(again, Ok(Receipt::Known(Progress::Done)));
    let late = book.receive(&old, &engine("v2")).expect_err("refused");
    assert_eq!(late.kind, ErrorKind::Fenced);
}

#[test]
fn a_newer_order_on_the_same_model_replaces_one_that_runs() {
    let mut log = OrderLog::default();
    place(&mut log, "a", &load("v2"), 1).expect("placed");
    place(&mut log, "b", &Change::Become(Role::Decode), 2).expect("placed");
    place(&mut log, "c", &load("v3"), 3).expect("placed");
    let progress = |id| log.progress(&upstream(), &OrderId::from(id));
    assert_eq!(progress("a"), Some(Progress::Superseded));
    assert_eq!(progress("b"), Some(Progress::Running));
    let next = log.next_order(&upstream()).expect("running");
    assert_eq!(next.id, OrderId::from("b"), "orders go one after another");
    assert_eq!(log.floor(&upstream()), Fence(2));
    log.finish(&upstream(), &OrderId::from("b"), Progress::Done);
    log.finish(&upstream(), &OrderId::from("c"), Progress::Failed);
    log.finish(&upstream(), &OrderId::from("c"), Progress::Done);
    let ended = log.progress(&upstream(), &OrderId::from("c"));
    assert_eq!(ended, Some(Progress::Failed), "the first ending stands");
    assert_eq!(log.floor(&upstream()), Fence(4));
}
