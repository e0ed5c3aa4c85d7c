//! Replies of the journal for each state of a key, and the limits on what it stores.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pimentotide_model::{
    ClaimId, Fingerprint, IdempotencyKey, Incarnation, RequestId, ServiceName, Time, UpstreamName,
    WorkspaceName,
};
use pimentotide_outcome::{
    Blob, Body, Claim, ClaimRef, Command, Journal, LedgerEpoch, Limits, MAX_KEY_BYTES,
    MAX_RECORDED_BYTES, Outcome, Place, Reply, Ticket,
};
use proptest::collection::vec;
use proptest::prelude::*;

/// Maximum size of a snapshot of the replicated state.
const MAX_SNAPSHOT_BYTES: usize = 256 << 20;
const SECOND: Duration = Duration::from_secs(1);

fn limits() -> Limits {
    Limits {
        workspaces: 2,
        running: 3,
        records: 2,
        bytes: 100,
        keys: 6,
        answers: 60 * SECOND,
        longest: 600 * SECOND,
        shortest: 300 * SECOND,
        grace: 10 * SECOND,
    }
}

fn claim(workspace: &str, key: &str, content: &str, request: u128) -> Command {
    Command::Claim(Claim {
        ticket: Ticket {
            request: RequestId(request),
            attempt: 1,
        },
        workspace: WorkspaceName::from(workspace),
        service: ServiceName::from("lodging"),
        key: IdempotencyKey::from(key),
        generated: false,
        fingerprint: Fingerprint::of([content.as_bytes()]),
        place: Place {
            upstream: UpstreamName::from("register-1"),
            incarnation: Incarnation(u64::try_from(request).unwrap_or(u64::MAX)),
            epoch: LedgerEpoch(1),
        },
        allowed: 30 * SECOND,
    })
}

fn held(workspace: &str, key: &str, claim: u64) -> ClaimRef {
    ClaimRef {
        workspace: WorkspaceName::from(workspace),
        key: IdempotencyKey::from(key),
        claim: ClaimId(claim),
    }
}

fn outcome(bytes: usize) -> Outcome {
    Outcome {
        status: 201,
        headers: vec![("etag".to_owned(), "7".to_owned())],
        body: Body::Whole(Blob(Bytes::from(vec![b'x'; bytes]))),
    }
}

fn settle(held: ClaimRef, bytes: usize) -> Command {
    let outcome = Arc::new(outcome(bytes));
    Command::Settle { held, outcome }
}

fn describe(reply: &Reply) -> String {
    match reply {
        Reply::Recorded(outcome) => format!("Recorded({})", outcome.status),
        Reply::Running { claim, since, .. } => format!("Running({claim}, {since})"),
        reply => format!("{reply:?}"),
    }
}

#[test]
fn replies_for_each_state_of_a_key() {
    let mut journal = Journal::default();
    let lost = |key| Command::Lose {
        held: held("kumasi", key, 3),
        crashed: false,
    };
    let script = [
        ("claim", claim("kumasi", "a", "x", 1)),
        ("same proposal", claim("kumasi", "a", "x", 1)),
        ("another entry", claim("kumasi", "a", "x", 2)),
        ("other content", claim("kumasi", "a", "y", 3)),
        ("other workspace", claim("tema", "a", "y", 4)),
        ("settle", settle(held("kumasi", "a", 1), 5)),
        ("settle again", settle(held("kumasi", "a", 1), 5)),
        ("release too late", Command::Release(held("kumasi", "a", 1))),
        ("retry", claim("kumasi", "a", "x", 5)),
        ("claim b", claim("kumasi", "b", "x", 6)),
        ("lose", lost("b")),
        (
            "release of a lost one",
            Command::Release(held("kumasi", "b", 3)),
        ),
        ("retry of a lost one", claim("kumasi", "b", "x", 7)),
        ("late answer", settle(held("kumasi", "b", 3), 5)),
        ("retry after the late answer", claim("kumasi", "b", "x", 8)),
        ("claim c", claim("kumasi", "c", "x", 9)),
        ("release", Command::Release(held("kumasi", "c", 4))),
        ("release again", Command::Release(held("kumasi", "c", 4))),
        ("claim c again", claim("kumasi", "c", "x", 10)),
        (
            "release the old c",
            Command::Release(held("kumasi", "c", 4)),
        ),
        ("lose nothing", lost("d")),
    ];
    let lines: Vec<String> = script
        .iter()
        .map(|(name, command)| format!("{name}: {}", describe(&journal.apply(command, Time::ZERO))))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn windows_are_bounded_by_count_bytes_and_age() {
    let mut journal = Journal::with_limits(limits());
    let mut lines = Vec::new();
    let mut now = Time::ZERO;
    let mut id: u128 = 0;
    let mut run = |journal: &mut Journal, key: &str, at: Time| {
        id += 1;
        let reply = journal.apply(&claim("kumasi", key, "x", id), at);
        if let Reply::Granted(claim) = reply {
            journal.apply(&settle(held("kumasi", key, claim.0), 10), at);
        }
        describe(&reply)
    };
    for key in ["a", "b", "c", "d", "e", "f", "g"] {
        now += SECOND;
        lines.push(format!("{key} at {now}: {}", run(&mut journal, key, now)));
    }
    for (key, seconds) in [
        ("f", 8),
        ("a", 8),
        ("f", 70),
        ("g", 301),
        ("a", 302),
        ("f", 700),
    ] {
        let now = Time::ZERO + SECOND * seconds;
        lines.push(format!("{key} at {now}: {}", run(&mut journal, key, now)));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn overdue_claims_become_unknown_and_empty_workspaces_are_removed() {
    let mut journal = Journal::with_limits(limits());
    let at = |seconds| Time::ZERO + SECOND * seconds;
    let mut lines = Vec::new();
    let mut note = |name: &str, reply: &Reply| lines.push(format!("{name}: {}", describe(reply)));
    note(
        "claim",
        &journal.apply(&claim("kumasi", "a", "x", 1), at(0)),
    );
    note(
        "second workspace",
        &journal.apply(&claim("tema", "a", "x", 2), at(0)),
    );
    note(
        "third workspace",
        &journal.apply(&claim("accra", "a", "x", 3), at(0)),
    );
    journal.apply(&Command::Expire, at(39));
    note(
        "in time",
        &journal.apply(&claim("kumasi", "a", "x", 4), at(39)),
    );
    journal.apply(&Command::Expire, at(40));
    note(
        "overdue",
        &journal.apply(&claim("kumasi", "a", "x", 5), at(40)),
    );
    journal.apply(&Command::Expire, at(640));
    note("keys left", &Reply::Granted(ClaimId(journal.len() as u64)));
    note(
        "third workspace",
        &journal.apply(&claim("accra", "a", "x", 6), at(640)),
    );
    insta::assert_snapshot!(lines.join("\n"));
}

/// Keys a to d have the same content; the upstream crashes while it runs a, then c.
///
/// Guards against a third crash: the content has to run alone and is then refused.
#[test]
fn suspected_content_runs_alone_and_is_refused_after_two_crashes() {
    let mut journal = Journal::default();
    let lost = |key, claim| Command::Lose {
        held: held("kumasi", key, claim),
        crashed: true,
    };
    let script = [
        (0, "a", claim("kumasi", "a", "x", 1)),
        (0, "b", claim("kumasi", "b", "x", 2)),
        (1, "a crashes", lost("a", 1)),
        (1, "c in the retry delay", claim("kumasi", "c", "x", 3)),
        (4, "c while b runs", claim("kumasi", "c", "x", 3)),
        (5, "b did not run", Command::Release(held("kumasi", "b", 2))),
        (5, "c", claim("kumasi", "c", "x", 3)),
        (5, "d while c runs", claim("kumasi", "d", "x", 4)),
        (5, "other content", claim("kumasi", "e", "y", 5)),
        (6, "c crashes", lost("c", 3)),
        (6, "d", claim("kumasi", "d", "x", 4)),
        (605, "d", claim("kumasi", "d", "x", 4)),
        (606, "d", claim("kumasi", "d", "x", 4)),
    ];
    let lines: Vec<String> = script
        .iter()
        .map(|(seconds, name, command)| {
            let reply = journal.apply(command, Time::ZERO + SECOND * *seconds);
            format!("{name} at {seconds} s: {}", describe(&reply))
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn oversized_answer_is_recorded_as_a_digest() {
    let largest = usize::try_from(MAX_RECORDED_BYTES).unwrap() - "etag7".len();
    assert_eq!(outcome(largest).bounded(), outcome(largest));
    let bounded = outcome(largest + 1).bounded();
    assert!(matches!(bounded.body, Body::Digest { bytes, .. } if bytes == largest as u64 + 1));
    assert!(bounded.size() < 100);
}

/// Fills a workspace with names, keys and answers of maximum size.
fn fill_workspace(journal: &mut Journal, limits: &Limits) {
    let workspace = "w".repeat(128);
    for i in 0..limits.keys + limits.running {
        let key = format!("{i:0>width$}", width = MAX_KEY_BYTES);
        let Command::Claim(mut claim) = claim(&workspace, &key, "x", u128::MAX - i as u128) else {
            unreachable!("claim() builds a claim");
        };
        claim.place.upstream = UpstreamName::from("u".repeat(128));
        let reply = journal.apply(&Command::Claim(claim), Time::from_micros(u64::MAX / 2));
        let Reply::Granted(claim) = reply else {
            return;
        };
        if i < limits.keys - limits.running {
            let bytes = usize::try_from(limits.bytes).unwrap() / limits.records;
            let settled = settle(held(&workspace, &key, claim.0), bytes - "etag7".len());
            journal.apply(&settled, Time::from_micros(u64::MAX / 2));
        }
    }
}

#[test]
fn full_journal_fits_into_a_snapshot() {
    let limits = Limits::default();
    let mut journal = Journal::default();
    fill_workspace(&mut journal, &limits);
    assert_eq!(journal.len(), limits.keys);
    let bytes = postcard::to_stdvec(&journal).unwrap();
    assert!(
        bytes.len() * limits.workspaces < MAX_SNAPSHOT_BYTES,
        "{} bytes",
        bytes.len()
    );
    assert_eq!(postcard::from_bytes::<Journal>(&bytes).unwrap(), journal);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// No key is granted twice within the shortest retention, whatever another workspace
    /// does, and the number of keys stays within the limits.
    #[test]
    fn windows_are_bounded_and_never_grant_twice(
        steps in vec((0..3usize, 0..12u8, 0..4u8, 0..30u64), 0..200),
    ) {
        let names = ["accra", "kumasi", "tema"];
        let mut journal = Journal::with_limits(limits());
        let mut granted: Vec<(usize, u8, Time)> = Vec::new();
        let mut now = Time::ZERO;
        for (i, (workspace, key, action, seconds)) in steps.into_iter().enumerate() {
            now += SECOND * u32::try_from(seconds).unwrap();
            let name = names[workspace];
            let text = format!("key-{key}");
            if action == 3 {
                journal.apply(&Command::Expire, now);
            }
            let reply = journal.apply(&claim(name, &text, "x", i as u128), now);
            if let Reply::Granted(claim) = reply {
                let again = granted.iter().any(|(w, k, at)| {
                    (*w, *k) == (workspace, key) && now.since(*at) < limits().shortest
                });
                prop_assert!(!again);
                granted.push((workspace, key, now));
                if action > 0 {
                    journal.apply(&settle(held(name, &text, claim.0), 40), now);
                }
            }
            prop_assert!(journal.len() <= limits().keys * limits().workspaces);
        }
    }
}
