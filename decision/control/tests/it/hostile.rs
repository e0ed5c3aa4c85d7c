//! Hostile messages between processes: extreme numbers and damaged text.

use std::time::Duration;

use pimentotide_control::currency::{
    Confirmation, Held, Update, Watch, WatchAnswer, WatchRequest, grant, has_update,
};
use pimentotide_control::directory::{
    Announcer, Heartbeat, Mark, Notice, Registry, Report, ReportAnswer, View,
};
use pimentotide_control::machine::Change;
use pimentotide_control::{Action, Machine, Scope};
use pimentotide_model::{
    Announcement, Fence, Fingerprint, Incarnation, Revision, ServiceKind, Time, Warmth,
};
use proptest::prelude::*;

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u64::MAX - 1),
        Just(u64::MAX),
        any::<u64>()
    ]
}

fn announcement(incarnation: u64) -> Announcement {
    Announcement {
        upstream: "u".into(),
        incarnation: Incarnation(incarnation),
        zone: "accra-a".into(),
        address: "127.0.0.1:9000".to_owned(),
        kind: ServiceKind::Plain,
        services: Vec::new(),
        models: Vec::new(),
        adapters: Vec::new(),
        capacity: 1,
        group: None,
        leaving: false,
        revision: Revision(0),
        fence: Fence(0),
    }
}

fn report() -> impl Strategy<Value = Report> {
    let notice = (number(), number()).prop_map(|(incarnation, sequence)| Report::Whole {
        notice: Notice {
            sequence,
            announcement: announcement(incarnation),
        },
        warmth: Warmth::Cold,
    });
    let beat = (number(), number(), number()).prop_map(|(incarnation, sequence, other)| {
        Report::Beat(Heartbeat {
            upstream: "u".into(),
            incarnation: Incarnation(incarnation),
            sequence,
            revision: Revision(other),
            fence: Fence(other),
            warmth: Warmth::Warm,
        })
    });
    prop_oneof![notice, beat]
}

fn request() -> impl Strategy<Value = WatchRequest> {
    let held = prop::option::of((number(), any::<u8>()));
    let mark = prop::option::of((number(), number(), any::<bool>()));
    (held, mark).prop_map(|(held, mark)| WatchRequest {
        instance: "e".into(),
        upstream: None,
        held: held.map(|(revision, byte)| Held {
            revision: Revision(revision),
            digest: Fingerprint([byte; 16]),
        }),
        mark: mark.map(|(epoch, version, settled)| Mark {
            epoch,
            version,
            settled,
        }),
        directory: true,
        eager: false,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn extreme_numbers_are_answered(
        reports in prop::collection::vec(report(), 0..20),
        requests in prop::collection::vec(request(), 1..10),
        now in number(),
    ) {
        let now = Time::from_micros(now);
        let machine = Machine::default();
        let mut registry = Registry::new(1, Time::ZERO);
        for report in reports {
            registry.receive(report, now);
        }
        for request in requests {
            has_update(&machine, &registry, &request, now);
            let confirmation = Confirmation { started: now };
            if let Ok(answer) = grant(&machine, &registry, confirmation, &request, now) {
                View::default().receive(&answer.directory.unwrap());
            }
        }
        registry.expire(now);
    }

    #[test]
    fn extreme_answers_are_applied_or_rejected(
        sent in number(),
        numbers in prop::collection::vec(number(), 6),
    ) {
        let sent = Time::from_micros(sent);
        let mut watch = Watch::default();
        let change = Change {
            revision: Revision(numbers[0]),
            action: Action::Pause(Scope::All),
        };
        for update in [Update::Same, Update::Changes(vec![change]), Update::Whole(Default::default())] {
            let answer = WatchAnswer {
                revision: Revision(numbers[1]),
                digest: Fingerprint::default(),
                update,
                lease: Duration::from_micros(numbers[2]),
                floor: Fence(numbers[3]),
                directory: None,
            };
            watch.receive(sent, &answer);
        }
        let mut agent = Announcer::new(announcement(numbers[4]), 1, Time::ZERO);
        let highest = Incarnation(numbers[5]);
        agent.receive(0, agent.rank(), ReportAnswer::Outdated { highest }, Time::ZERO);
        agent.set_announcement(announcement(numbers[5]), Time::ZERO);
        prop_assert!(agent.incarnation() >= highest);
    }

    #[test]
    fn damaged_text_is_rejected_or_parsed(
        report in report(),
        request in request(),
        damage in (any::<prop::sample::Index>(), any::<u8>()),
    ) {
        for mut bytes in [serde_json::to_vec(&report).unwrap(), serde_json::to_vec(&request).unwrap()] {
            let at = damage.0.index(bytes.len());
            bytes[at] = damage.1;
            let mut registry = Registry::new(1, Time::ZERO);
            if let Ok(report) = serde_json::from_slice::<Report>(&bytes) {
                registry.receive(report, Time::ZERO);
            }
            if let Ok(request) = serde_json::from_slice::<WatchRequest>(&bytes) {
                has_update(&Machine::default(), &registry, &request, Time::ZERO);
            }
        }
    }
}
