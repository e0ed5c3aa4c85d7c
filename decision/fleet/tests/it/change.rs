//! Changes reported for an upstream whose record changes.

use insta::assert_snapshot;
use pimentotide_fleet::{Command, Record, Stage, UpstreamEvent};

use crate::state::{Log, announcement};

fn record(change: impl FnOnce(&mut pimentotide_fleet::Announcement)) -> Record {
    let mut log = Log::default();
    let mut announcement = announcement("u1", 80, 1, 1);
    change(&mut announcement);
    log.apply(&Command::Announce(announcement));
    let mut records = log.state.upstreams().values().cloned();
    records.next().expect("a record")
}

#[test]
fn every_change_is_named() {
    let first = record(|_| {});
    let cases = [
        ("first seen", None, Some(first.clone())),
        ("the same again", Some(first.clone()), Some(first.clone())),
        (
            "restarted",
            Some(first.clone()),
            Some(record(|a| a.born = 9)),
        ),
        (
            "another address",
            Some(first.clone()),
            Some(record(|a| a.address.set_port(81))),
        ),
        (
            "draining",
            Some(first.clone()),
            Some(record(|a| a.stage = Stage::Draining)),
        ),
        (
            "back from draining",
            Some(record(|a| a.stage = Stage::Draining)),
            Some(first.clone()),
        ),
        (
            "cold again",
            Some(first.clone()),
            Some(Record {
                cold_index: first.cold_index + 1,
                ..first.clone()
            }),
        ),
        ("left", Some(first), None),
    ];
    let lines: Vec<String> = cases
        .iter()
        .map(|(name, before, after)| {
            let event = UpstreamEvent::between(before.as_ref(), after.as_ref());
            let change = event.map_or("nothing".to_owned(), |e| e.change.to_string());
            format!("{name}: {change}")
        })
        .collect();
    assert_snapshot!(lines.join("\n"), @r"
    first seen: new
    the same again: nothing
    restarted: restarted
    another address: moved
    draining: draining
    back from draining: ready
    cold again: cold
    left: gone
    ");
}
