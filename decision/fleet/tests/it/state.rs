//! Replicated state: configurations, zones and announcements in any order.

use std::time::Duration;

use insta::assert_snapshot;
use pimentotide_consensus::{Index, Machine};
use pimentotide_fleet::{Announcement, Command, Condition, FleetState, Reply, Stage};
use pimentotide_model::Time;
use proptest::prelude::*;

pub(crate) fn announcement(upstream: &str, port: u16, born: u64, sequence: u64) -> Announcement {
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

/// State with the index of the last command applied.
#[derive(Default)]
pub(crate) struct Log {
    pub(crate) state: FleetState,
    index: u64,
}

impl Log {
    pub(crate) fn apply(&mut self, command: &Command) -> Reply {
        self.apply_at(command, Time::ZERO + Duration::from_millis(self.index + 1))
    }

    pub(crate) fn apply_at(&mut self, command: &Command, time: Time) -> Reply {
        self.apply_encoded(&command.encode(), time)
    }

    fn apply_if(&mut self, command: &Command, condition: Condition) -> Reply {
        let time = Time::ZERO + Duration::from_millis(self.index + 1);
        self.apply_encoded(&command.encode_if(condition), time)
    }

    fn apply_encoded(&mut self, command: &[u8], time: Time) -> Reply {
        self.index += 1;
        Reply::decode(&self.state.apply(Index(self.index), time, command))
    }
}

fn declare(version: u64, text: &str) -> Command {
    Command::Declare {
        version,
        document: text.as_bytes().into(),
    }
}

#[test]
fn highest_version_is_in_force_and_older_ones_are_acknowledged() {
    let mut log = Log::default();
    let declarations = [
        (4, "four"),
        (4, "four"),
        (4, "other"),
        (3, "three"),
        (9, "nine"),
        (4, "four"),
    ];
    let lines: Vec<String> = declarations
        .iter()
        .map(|(version, text)| {
            let reply = log.apply(&declare(*version, text));
            let declared = log.state.declared().unwrap();
            let declared = (
                declared.version,
                String::from_utf8_lossy(&declared.document).into_owned(),
            );
            format!("{version} {text}: {reply}, in force {declared:?}")
        })
        .collect();
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn closing_or_opening_a_zone_twice_changes_nothing() {
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

fn zone(serving: bool) -> Command {
    Command::Zone {
        zone: "a".into(),
        serving,
    }
}

/// Guards against a withdrawal of an evacuation that a replica held back, and that opens the zone after
/// it has been evacuated again.
#[test]
fn order_for_a_zone_is_superseded_by_a_newer_one() {
    let mut log = Log::default();
    let first = Condition::ZoneAsOf(log.state.zone_order(&"a".into()));
    assert_eq!(log.apply_if(&zone(false), first), Reply::Done);
    let held = Condition::ZoneAsOf(log.state.zone_order(&"a".into()));
    // Sent again elsewhere, and once more: the order is acknowledged each time.
    assert_eq!(log.apply_if(&zone(true), held), Reply::Done);
    assert_eq!(log.apply_if(&zone(true), held), Reply::NotNewer);
    let open = Condition::ZoneAsOf(log.state.zone_order(&"a".into()));
    assert_eq!(log.apply_if(&zone(false), open), Reply::Done);
    assert_eq!(log.apply_if(&zone(true), held), Reply::Superseded);
    assert!(log.state.closed().contains("a"));
    assert_eq!(log.apply_if(&zone(false), first), Reply::NotNewer);
    // Another zone has its own orders.
    let other = Command::Zone {
        zone: "b".into(),
        serving: false,
    };
    assert_eq!(log.apply_if(&other, Condition::ZoneAsOf(0)), Reply::Done);
}

/// Guards against a withdrawal that was never acknowledged and overtakes an evacuation that changed
/// nothing, since the zone was still closed.
#[test]
fn order_without_effect_supersedes_older_ones() {
    let mut log = Log::default();
    log.apply(&zone(false));
    let held = Condition::ZoneAsOf(log.state.zone_order(&"a".into()));
    assert_eq!(log.apply_if(&zone(false), held), Reply::NotNewer);
    assert_eq!(log.apply_if(&zone(true), held), Reply::Superseded);
}

/// Guards against the withdrawal of an upstream's earlier start, which would bar the present one.
#[test]
fn withdrawal_of_an_earlier_start_is_superseded() {
    let mut log = Log::default();
    log.apply(&Command::Announce(announcement("u1", 80, 5, 7)));
    log.apply(&Command::Announce(announcement("u1", 80, 6, 1)));
    let withdraw = Command::Withdraw("u1".into());
    let replies = [5, 6, 6].map(|born| log.apply_if(&withdraw, Condition::StartedAt(born)));
    assert_eq!(replies, [Reply::Superseded, Reply::Done, Reply::NotNewer]);
}

/// Guards against replicas of different versions that read the log differently while one after the
/// other is replaced.
#[test]
fn commands_and_snapshots_of_other_versions_are_read() {
    let command = zone(false).encode_if(Condition::ZoneAsOf(7));
    let (read, _) = postcard::take_from_bytes::<Command>(&command).unwrap();
    assert_eq!(read, zone(false));

    let mut log = Log::default();
    log.apply(&zone(false));
    let snapshot = log.state.snapshot();
    let mut restored = FleetState::default();
    restored.restore(&snapshot).unwrap();
    assert_eq!(restored, log.state);
    // One zone, its name of one byte and its index of one byte follow the parts of earlier versions.
    restored.restore(&snapshot[..snapshot.len() - 4]).unwrap();
    assert!(restored.closed().contains("a"));
    assert_eq!(restored.zone_order(&"a".into()), 0);
}

#[test]
fn stale_announcement_is_ignored() {
    let mut log = Log::default();
    log.apply(&Command::Announce(announcement("u1", 80, 5, 7)));
    for stale in [announcement("u1", 80, 5, 6), announcement("u1", 80, 4, 99)] {
        assert!(log.state.is_stale(&stale));
        assert_eq!(log.apply(&Command::Announce(stale)), Reply::NotNewer);
    }
    // After a restart under the same name the sequence numbers start again.
    assert_eq!(
        log.apply(&Command::Announce(announcement("u1", 80, 6, 1))),
        Reply::Done
    );
}

#[test]
fn late_announcement_does_not_restore_a_withdrawn_upstream() {
    let mut log = Log::default();
    log.apply(&Command::Announce(announcement("u1", 80, 5, 1)));
    assert_eq!(log.apply(&Command::Withdraw("u1".into())), Reply::Done);
    assert_eq!(
        log.apply(&Command::Announce(announcement("u1", 80, 5, 2))),
        Reply::NotNewer
    );
    assert!(log.state.upstreams().is_empty());
    assert_eq!(log.apply(&Command::Withdraw("u1".into())), Reply::NotNewer);
}

#[test]
fn reused_address_belongs_to_the_newest_upstream() {
    let mut log = Log::default();
    log.apply(&Command::Announce(announcement("old", 80, 5, 1)));
    log.apply(&Command::Announce(announcement("new", 80, 9, 1)));
    assert_eq!(
        log.apply(&Command::Announce(announcement("old", 80, 5, 2))),
        Reply::NotNewer
    );
    let names: Vec<&str> = log.state.upstreams().keys().map(|n| n.as_str()).collect();
    assert_eq!(names, ["new"]);
}

#[test]
fn becoming_cold_or_warm_is_an_update() {
    let mut log = Log::default();
    let with_cold = |sequence, cold_ms| Announcement {
        cold_ms,
        ..announcement("u1", 80, 5, sequence)
    };
    let cold = [3_000, 1_800, 0, 0, 3_000];
    let updates: Vec<bool> = (1..)
        .zip(cold)
        .map(|(sequence, cold_ms)| {
            let announcement = with_cold(sequence, cold_ms);
            let is_update = log.state.is_update(&announcement);
            if is_update {
                log.apply(&Command::Announce(announcement));
            }
            is_update
        })
        .collect();
    assert_eq!(updates, [true, false, true, false, true]);
}

#[test]
fn upstream_expires_only_without_newer_announcement() {
    let mut log = Log::default();
    log.apply(&Command::Announce(announcement("u1", 80, 5, 1)));
    let received_at = log.state.upstreams()["u1"].received_at;
    let expire = Command::Expire {
        upstream: "u1".into(),
        received_at,
    };
    log.apply(&Command::Announce(announcement("u1", 80, 5, 2)));
    assert_eq!(log.apply(&expire), Reply::NotNewer);
    let received_at = log.state.upstreams()["u1"].received_at;
    let expire = Command::Expire {
        upstream: "u1".into(),
        received_at,
    };
    assert_eq!(log.apply(&expire), Reply::Done);
}

#[test]
fn undecodable_command_is_reported_as_malformed() {
    let mut state = FleetState::default();
    let reply = state.apply(Index(1), Time::ZERO, &[250, 1, 2]);
    assert_eq!(Reply::decode(&reply), Reply::Malformed);
    assert_eq!(Reply::decode(&[]), Reply::Malformed);
}

fn commands() -> impl Strategy<Value = Command> {
    let announce =
        (0..4_u16, 0..3_u64, 0..5_u64, any::<bool>()).prop_map(|(u, born, sequence, draining)| {
            let mut announcement = announcement(&format!("u{u}"), 80 + u % 2, born, sequence);
            if draining {
                announcement.stage = Stage::Draining;
            }
            Command::Announce(announcement)
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
    fn snapshot_restores_the_state(commands in proptest::collection::vec(commands(), 0..40)) {
        let mut log = Log::default();
        for command in &commands {
            log.apply(command);
        }
        let mut other = FleetState::default();
        other.restore(&log.state.snapshot()).unwrap();
        prop_assert_eq!(&other, &log.state);
    }

    #[test]
    fn versions_never_decrease_and_addresses_are_unique(
        commands in proptest::collection::vec(commands(), 0..60),
    ) {
        let mut log = Log::default();
        let mut version = 0;
        for command in &commands {
            log.apply(command);
            let declared = log.state.declared().map_or(0, |d| d.version);
            prop_assert!(declared >= version);
            version = declared;
            let mut addresses: Vec<_> = log.state.upstreams().values().map(|r| r.announcement.address).collect();
            let count = addresses.len();
            addresses.sort_unstable();
            addresses.dedup();
            prop_assert_eq!(addresses.len(), count);
        }
    }
}

/// Guards against an upstream that is barred until it starts again, although it was only cut off, or
/// control had no leader for longer than the silence that is allowed.
#[test]
fn expired_upstream_may_announce_itself_again() {
    let mut log = Log::default();
    let time = Time::ZERO + Duration::from_secs(1);
    log.apply_at(&Command::Announce(announcement("u1", 80, 5, 1)), time);
    let expire = Command::Expire {
        upstream: "u1".into(),
        received_at: time,
    };
    assert_eq!(log.apply(&expire), Reply::Done);
    let again = announcement("u1", 80, 5, 2);
    assert!(!log.state.is_stale(&again));
    assert_eq!(log.apply(&Command::Announce(again)), Reply::Done);
    // A start that has withdrawn stays withdrawn.
    log.apply(&Command::Withdraw("u1".into()));
    assert!(log.state.is_stale(&announcement("u1", 80, 5, 3)));
}
