//! Directory of upstreams: incarnations, expiry, deltas and restarted replicas.

use std::time::Duration;

use pimentotide_control::directory::{
    Announcer, EXPIRY_TIMEOUT, Event, IncarnationState, MAX_ENTRIES, MAX_MEMBERS, Notice, Presence,
    Registry, Report, ReportAnswer, START_GRACE, View,
};
use pimentotide_model::{Announcement, Fence, Incarnation, Revision, ServiceKind, Time, Warmth};
use proptest::prelude::*;

const TICK: Duration = Duration::from_millis(500);

fn announcement(upstream: &str, incarnation: u64) -> Announcement {
    Announcement {
        upstream: upstream.into(),
        incarnation: Incarnation(incarnation),
        zone: "accra-a".into(),
        address: "127.0.0.1:9000".to_owned(),
        kind: ServiceKind::Model,
        services: Vec::new(),
        models: vec![("roadlaw".into(), "v3".into())],
        adapters: Vec::new(),
        capacity: 8,
        group: None,
        leaving: false,
        revision: Revision(1),
        fence: Fence(0),
    }
}

fn whole(upstream: &str, incarnation: u64, sequence: u64) -> Report {
    let notice = Notice {
        sequence,
        announcement: announcement(upstream, incarnation),
    };
    Report::Whole {
        notice,
        warmth: Warmth::Cold,
    }
}

fn follow(view: &mut View, registry: &Registry, now: Time) -> Vec<Event> {
    view.receive(&registry.update_since(view.mark(), now))
}

/// Expires a registry at every tick after `from`, through `until`.
fn tick(registry: &mut Registry, from: Time, until: Time) {
    let mut now = from;
    while now < until {
        now += TICK;
        registry.expire(now);
    }
}

#[test]
fn restart_at_the_same_address_is_a_new_incarnation() {
    let mut registry = Registry::new(1, Time::ZERO);
    let mut view = View::default();
    registry.receive(whole("u", 1, 0), Time::ZERO);
    assert!(matches!(
        follow(&mut view, &registry, Time::ZERO)[..],
        [Event::Started(_)]
    ));
    registry.receive(whole("u", 1, 1), Time::ZERO);
    assert!(matches!(
        follow(&mut view, &registry, Time::ZERO)[..],
        [Event::Changed(_)]
    ));
    registry.receive(whole("u", 2, 0), Time::ZERO);
    assert!(matches!(
        follow(&mut view, &registry, Time::ZERO)[..],
        [Event::Started(_)]
    ));
    let highest = Incarnation(2);
    assert_eq!(
        registry.receive(whole("u", 1, 2), Time::ZERO),
        ReportAnswer::Outdated { highest }
    );
    assert_eq!(follow(&mut view, &registry, Time::ZERO), vec![]);
}

#[test]
fn upstream_without_reports_expires_and_its_incarnation_is_retained() {
    let mut registry = Registry::new(1, Time::ZERO);
    let mut view = View::default();
    registry.receive(whole("u", 5, 0), Time::ZERO);
    follow(&mut view, &registry, Time::ZERO);
    let last = Time::ZERO + EXPIRY_TIMEOUT;
    tick(&mut registry, Time::ZERO, last - TICK);
    assert_eq!(registry.members().count(), 1);
    tick(&mut registry, last - TICK, last);
    assert_eq!(
        follow(&mut view, &registry, last),
        vec![Event::Gone("u".into())]
    );
    let highest = Incarnation(5);
    assert_eq!(
        registry.receive(whole("u", 4, 0), last),
        ReportAnswer::Outdated { highest }
    );
    assert_eq!(registry.receive(whole("u", 5, 0), last), ReportAnswer::Kept);
}

#[test]
fn stalled_replica_removes_no_upstream() {
    let mut registry = Registry::new(1, Time::ZERO);
    registry.receive(whole("u", 1, 0), Time::ZERO);
    let late = Time::ZERO + EXPIRY_TIMEOUT * 2;
    assert!(!registry.expire(late));
    assert_eq!(registry.members().count(), 1);
    assert!(!registry.update_since(None, late).mark.settled);
}

#[test]
fn newly_started_replica_removes_no_upstream() {
    let mut view = View::default();
    let mut first = Registry::new(1, Time::ZERO);
    first.receive(whole("u1", 1, 0), Time::ZERO);
    first.receive(whole("u2", 1, 0), Time::ZERO);
    follow(&mut view, &first, Time::ZERO);
    let start = Time::from_millis(60_000);
    let mut second = Registry::new(2, start);
    second.receive(whole("u2", 2, 0), start);
    view.detach();
    assert!(matches!(
        follow(&mut view, &second, start)[..],
        [Event::Started(_)]
    ));
    assert_eq!(view.announcements().count(), 2);
    let settled = start + EXPIRY_TIMEOUT;
    assert!(second.has_update(view.mark(), settled));
    assert_eq!(
        follow(&mut view, &second, settled),
        vec![Event::Gone("u1".into())]
    );
}

#[test]
fn heartbeats_suffice_while_nothing_changes() {
    let mut registry = Registry::new(1, Time::ZERO);
    let mut agent = Announcer::new(announcement("u", 1), 1, Time::ZERO);
    let mut send = |agent: &mut Announcer, at: Time| {
        let report = agent.report(0);
        let beat = matches!(report, Report::Beat(_));
        let answer = registry.receive(report, at);
        agent.receive(0, agent.rank(), answer, at);
        beat
    };
    assert!(!send(&mut agent, Time::ZERO));
    agent.set_status(Revision(7), Fence(3), Warmth::Warm);
    assert!(send(&mut agent, Time::ZERO));
    let mut leaving = announcement("u", 1);
    leaving.leaving = true;
    agent.set_announcement(leaving, Time::ZERO);
    assert!(!send(&mut agent, Time::ZERO));
    let member = registry.members().next().unwrap();
    assert_eq!(member.warmth, Warmth::Warm);
    assert!(member.notice.announcement.leaving);
    assert_eq!(member.notice.announcement.revision, Revision(7));
}

#[test]
fn agent_with_an_older_clock_raises_its_incarnation_only_during_start_grace() {
    let mut agent = Announcer::new(announcement("u", 3), 1, Time::ZERO);
    let answer = ReportAnswer::Outdated {
        highest: Incarnation(9),
    };
    let soon = Time::ZERO + START_GRACE / 2;
    assert_eq!(
        agent.receive(0, agent.rank(), answer, soon),
        IncarnationState::Newest
    );
    assert_eq!(agent.incarnation(), Incarnation(10));
    let answer = ReportAnswer::Outdated {
        highest: Incarnation(11),
    };
    let late = Time::ZERO + START_GRACE;
    assert_eq!(
        agent.receive(0, agent.rank(), answer, late),
        IncarnationState::Superseded
    );
    assert_eq!(agent.incarnation(), Incarnation(10));
}

#[test]
fn restarted_upstream_of_an_agent_is_a_new_incarnation() {
    let mut agent = Announcer::new(announcement("u", 30), 1, Time::ZERO);
    let mut seen = Vec::new();
    for given in [30, 40, 35, 35] {
        agent.set_announcement(announcement("u", given), Time::ZERO);
        seen.push(agent.incarnation().0);
    }
    assert_eq!(seen, [30, 40, 41, 41]);
}

#[test]
fn malformed_announcements_are_refused() {
    let mut registry = Registry::new(1, Time::ZERO);
    assert_eq!(
        registry.receive(whole("a b", 1, 0), Time::ZERO),
        ReportAnswer::Refused
    );
    let mut long = announcement("u", 1);
    long.address = "9".repeat(1_000);
    let notice = Notice {
        sequence: 0,
        announcement: long,
    };
    let warmth = Warmth::Cold;
    assert_eq!(
        registry.receive(Report::Whole { notice, warmth }, Time::ZERO),
        ReportAnswer::Refused
    );
}

#[test]
fn number_of_names_is_bounded() {
    let mut registry = Registry::new(1, Time::ZERO);
    let refused = (0..MAX_MEMBERS + 500)
        .filter(|i| {
            registry.receive(whole(&format!("u{i}"), 1, 0), Time::ZERO) == ReportAnswer::Refused
        })
        .count();
    assert_eq!(refused, 500);
    for i in 0..MAX_ENTRIES + 10 {
        let presence = Presence {
            instance: format!("e{i}").into(),
            zone: "accra-a".into(),
            revision: Revision(0),
            current: true,
        };
        registry.receive(Report::Entry(presence), Time::ZERO);
    }
    assert_eq!(registry.entries().count(), MAX_ENTRIES);
    let before = registry.update_since(None, Time::ZERO).mark;
    let late = Time::ZERO + EXPIRY_TIMEOUT;
    tick(&mut registry, Time::ZERO, late);
    assert_eq!(
        (registry.members().count(), registry.entries().count()),
        (0, 0)
    );
    let update = registry.update_since(Some(before), late);
    assert!(update.whole && update.gone.is_empty());
}

#[test]
fn replica_without_an_announcement_requests_it_whole() {
    let mut registry = Registry::new(1, Time::ZERO);
    let mut agent = Announcer::new(announcement("u", 1), 1, Time::ZERO);
    agent.receive(0, agent.rank(), ReportAnswer::Kept, Time::ZERO);
    let answer = registry.receive(agent.report(0), Time::ZERO);
    assert_eq!(answer, ReportAnswer::Unknown);
    agent.receive(0, agent.rank(), answer, Time::ZERO);
    assert_eq!(
        registry.receive(agent.report(0), Time::ZERO),
        ReportAnswer::Kept
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// A view that skips updates and switches replicas converges to the registry,
    /// and the notice of an upstream is never replaced by one of an older incarnation.
    #[test]
    fn view_converges_and_keeps_the_newest_notices(
        steps in prop::collection::vec((0..4_u8, 0..3_u64, 0..4_u64, any::<bool>()), 1..60),
    ) {
        let mut now = Time::ZERO;
        let mut registries = [Registry::new(1, now), Registry::new(2, now)];
        let mut view = View::default();
        let mut at = 0;
        for (kind, name, rank, other) in steps {
            let before: Vec<_> = view.announcements().cloned().collect();
            match kind {
                0 => for registry in &mut registries {
                    registry.receive(whole(&format!("u{name}"), rank / 2, rank % 2), now);
                },
                1 => {
                    now += TICK;
                    registries.iter_mut().for_each(|r| { r.expire(now); });
                }
                2 if other => {
                    at = 1 - at;
                    view.detach();
                }
                _ => { follow(&mut view, &registries[at], now); }
            }
            for old in before {
                let held = view.get(&old.upstream);
                prop_assert!(held.is_none_or(|new| new.incarnation >= old.incarnation));
            }
        }
        tick(&mut registries[at], now, now + EXPIRY_TIMEOUT - TICK);
        let end = now + EXPIRY_TIMEOUT;
        follow(&mut view, &registries[at], end);
        let held: Vec<_> = view.announcements().cloned().collect();
        let members: Vec<_> = registries[at].members().map(|m| m.notice.announcement.clone()).collect();
        prop_assert_eq!(held, members);
    }
}
