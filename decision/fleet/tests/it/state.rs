//! Shared state: configurations, zones and announcements in any order.

use std::time::Duration;

use insta::assert_snapshot;
use pimentotide_consensus::{Index, Machine};
use pimentotide_fleet::{Announcement, Command, FleetState, Reply, Stage};
use pimentotide_model::Time;
use proptest::prelude::*;

pub(crate) fn said(upstream: &str, port: u16, born: u64, sequence: u64) -> Announcement {
    Announcement {
        upstream: upstream.into(),
        service: "advice".into(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "a".into(),
        stage: Stage::Ready,
        slots: 12,
        cold_ms: 0,
        born,
        sequence,
    }
}

/// State with a count of the entries applied.
#[derive(Default)]
pub(crate) struct Log {
    pub(crate) state: FleetState,
    index: u64,
}

impl Log {
    pub(crate) fn apply(&mut self, command: &Command) -> Reply {
        self.index += 1;
        let time = Time::ZERO + Duration::from_millis(self.index);
        Reply::decode(&self.state.apply(Index(self.index), time, &command.encode()))
    }
}

fn declare(version: u64, text: &str) -> Command {
    Command::Declare {
        version,
        document: text.as_bytes().into(),
    }
}

#[test]
fn the_highest_version_is_in_force_and_old_orders_are_acknowledged() {
    let mut log = Log::default();
    let orders = [
        (4, "four"),
        (4, "four"),
        (4, "other"),
        (3, "three"),
        (9, "nine"),
        (4, "four"),
    ];
    let told: Vec<String> = orders
        .iter()
        .map(|(version, text)| {
            let reply = log.apply(&declare(*version, text));
            let held = log.state.declared().unwrap();
            let held = (
                held.version,
                String::from_utf8_lossy(&held.document).into_owned(),
            );
            format!("{version} {text}: {reply}, in force {held:?}")
        })
        .collect();
    assert_snapshot!(told.join("\n"));
}

#[test]
fn zones_are_closed_and_opened_again_any_number_of_times() {
    let mut log = Log::default();
    let zone = |serving| Command::Zone {
        zone: "a".into(),
        serving,
    };
    let replies = [false, false, true, true].map(|serving| log.apply(&zone(serving)));
    assert_eq!(
        replies,
        [Reply::Done, Reply::NotNewer, Reply::Done, Reply::NotNewer]
    );
    assert!(log.state.closed().is_empty());
}

#[test]
fn a_late_announcement_of_an_earlier_start_changes_nothing() {
    let mut log = Log::default();
    log.apply(&Command::Announce(said("u1", 80, 5, 7)));
    for stale in [said("u1", 80, 5, 6), said("u1", 80, 4, 99)] {
        assert!(log.state.is_stale(&stale));
        assert_eq!(log.apply(&Command::Announce(stale)), Reply::NotNewer);
    }
    // Started again under the same name: its counts start anew.
    assert_eq!(
        log.apply(&Command::Announce(said("u1", 80, 6, 1))),
        Reply::Done
    );
}

#[test]
fn an_upstream_that_left_does_not_come_back_by_a_late_announcement() {
    let mut log = Log::default();
    log.apply(&Command::Announce(said("u1", 80, 5, 1)));
    assert_eq!(log.apply(&Command::Withdraw("u1".into())), Reply::Done);
    assert_eq!(
        log.apply(&Command::Announce(said("u1", 80, 5, 2))),
        Reply::NotNewer
    );
    assert!(log.state.upstreams().is_empty());
    assert_eq!(log.apply(&Command::Withdraw("u1".into())), Reply::NotNewer);
}

#[test]
fn a_reused_address_belongs_to_the_newest_start() {
    let mut log = Log::default();
    log.apply(&Command::Announce(said("old", 80, 5, 1)));
    log.apply(&Command::Announce(said("new", 80, 9, 1)));
    assert_eq!(
        log.apply(&Command::Announce(said("old", 80, 5, 2))),
        Reply::NotNewer
    );
    let names: Vec<&str> = log.state.upstreams().keys().map(|n| n.as_str()).collect();
    assert_eq!(names, ["new"]);
}

#[test]
fn becoming_cold_again_and_warm_is_news() {
    let mut log = Log::default();
    let with_cold = |sequence, cold_ms| Announcement {
        cold_ms,
        ..said("u1", 80, 5, sequence)
    };
    let cold = [3_000, 1_800, 0, 0, 3_000];
    let news: Vec<bool> = (1..)
        .zip(cold)
        .map(|(sequence, cold_ms)| {
            let said = with_cold(sequence, cold_ms);
            let news = log.state.is_update(&said);
            if news {
                log.apply(&Command::Announce(said));
            }
            news
        })
        .collect();
    assert_eq!(news, [true, false, true, false, true]);
}

#[test]
fn only_an_upstream_that_stayed_silent_expires() {
    let mut log = Log::default();
    log.apply(&Command::Announce(said("u1", 80, 5, 1)));
    let received_at = log.state.upstreams()["u1"].received_at;
    let expire = Command::Expire {
        upstream: "u1".into(),
        received_at,
    };
    log.apply(&Command::Announce(said("u1", 80, 5, 2)));
    assert_eq!(log.apply(&expire), Reply::NotNewer);
    let received_at = log.state.upstreams()["u1"].received_at;
    let expire = Command::Expire {
        upstream: "u1".into(),
        received_at,
    };
    assert_eq!(log.apply(&expire), Reply::Done);
}

#[test]
fn unreadable_commands_are_told_and_change_nothing() {
    let mut state = FleetState::default();
    let reply = state.apply(Index(1), Time::ZERO, &[250, 1, 2]);
    assert_eq!(Reply::decode(&reply), Reply::Malformed);
    assert_eq!(Reply::decode(&[]), Reply::Malformed);
}

fn commands() -> impl Strategy<Value = Command> {
    let announce =
        (0..4_u16, 0..3_u64, 0..5_u64, any::<bool>()).prop_map(|(u, born, sequence, draining)| {
            let mut said = said(&format!("u{u}"), 80 + u % 2, born, sequence);
            if draining {
                said.stage = Stage::Draining;
            }
            Command::Announce(said)
        });
    prop_oneof![
        announce,
        (0..4_u16).prop_map(|u| Command::Withdraw(format!("u{u}").into())),
        (0..5_u64, 0..2_u8).prop_map(|(v, text)| declare(v, &text.to_string())),
        any::<bool>().prop_map(|serving| Command::Zone {
            zone: "a".into(),
            serving
        }),
    ]
}

proptest! {
    #[test]
    fn a_snapshot_restores_the_state(commands in proptest::collection::vec(commands(), 0..40)) {
        let mut log = Log::default();
        for command in &commands {
            log.apply(command);
        }
        let mut other = FleetState::default();
        other.restore(&log.state.snapshot()).unwrap();
        prop_assert_eq!(&other, &log.state);
    }

    #[test]
    fn versions_never_fall_and_addresses_are_held_once(
        commands in proptest::collection::vec(commands(), 0..60),
    ) {
        let mut log = Log::default();
        let mut version = 0;
        for command in &commands {
            log.apply(command);
            let held = log.state.declared().map_or(0, |d| d.version);
            prop_assert!(held >= version);
            version = held;
            let mut addresses: Vec<_> = log.state.upstreams().values().map(|r| r.announcement.address).collect();
            let count = addresses.len();
            addresses.sort_unstable();
            addresses.dedup();
            prop_assert_eq!(addresses.len(), count);
        }
    }
}
