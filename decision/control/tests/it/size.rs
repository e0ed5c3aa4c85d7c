//! Sizes of messages, from which the traffic of large deployments is computed.

use pimentotide_control::currency::{Held, Update, WatchAnswer, WatchRequest};
use pimentotide_control::directory::{
    Announcer, Mark, Notice, RegistryUpdate, Report, ReportAnswer,
};
use pimentotide_model::{
    Announcement, Fence, Fingerprint, Incarnation, Revision, ServiceKind, Time, Warmth,
};
use serde::Serialize;

const NOW_MICROS: u64 = 1_780_000_000_000_000;

fn announcement() -> Announcement {
    Announcement {
        upstream: "accra-a-drafting-0012".into(),
        incarnation: Incarnation(NOW_MICROS),
        zone: "accra-a".into(),
        address: "10.20.30.40:9000".to_owned(),
        kind: ServiceKind::Model,
        services: Vec::new(),
        models: vec![("roadlaw-moe-large".into(), "2026-11-30".into())],
        adapters: vec!["accra".into(), "tema".into()],
        capacity: 64,
        group: Some("accra-a-group-3".into()),
        leaving: false,
        revision: Revision(6_600),
        fence: Fence(12_000),
    }
}

fn row<T>(name: &str, message: &T) -> String
where
    T: Serialize,
{
    format!("{name} {}", serde_json::to_vec(message).unwrap().len())
}

#[test]
fn bytes_of_each_message_as_json() {
    let mut agent = Announcer::new(announcement(), 1, Time::ZERO);
    let whole = agent.report(0);
    agent.receive(0, agent.rank(), ReportAnswer::Kept, Time::ZERO);
    agent.set_status(Revision(6_600), Fence(12_000), Warmth::Warm);
    let beat = agent.report(0);
    assert!(matches!(beat, Report::Beat(_)));
    let mark = Mark {
        epoch: NOW_MICROS,
        version: 90_000,
        settled: true,
    };
    let update = |present| RegistryUpdate {
        mark,
        whole: false,
        present,
        gone: Vec::new(),
    };
    let notice = Notice {
        sequence: 3,
        announcement: announcement(),
    };
    let answer = |directory| WatchAnswer {
        revision: Revision(6_600),
        digest: Fingerprint([200; 16]),
        update: Update::Same,
        lease: std::time::Duration::from_millis(2_900),
        floor: Fence(12_000),
        directory,
    };
    let request = WatchRequest {
        instance: "accra-a-entry-03".into(),
        upstream: None,
        held: Some(Held {
            revision: Revision(6_600),
            digest: Fingerprint([200; 16]),
        }),
        mark: Some(mark),
        directory: true,
        eager: false,
    };
    let rows = [
        row("report, whole", &whole),
        row("report, beat", &beat),
        row("answer to a report", &ReportAnswer::Kept),
        row("notice in a delta", &notice),
        row("watch request", &request),
        row("watch answer, agent, no update", &answer(None)),
        row(
            "watch answer, entry, no update",
            &answer(Some(update(Vec::new()))),
        ),
        row(
            "watch answer, entry, one upstream",
            &answer(Some(update(vec![notice.clone()]))),
        ),
    ];
    insta::assert_snapshot!(rows.join("\n"));
}
