//! The agent's ledger stays bounded and never reports an evicted claim as not run.
//!
//! Guards against a second run of a claim, and against "not run" for a claim that ran
//! and was evicted from the ledger by its limits.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pimentotide_model::{ClaimId, Incarnation, Time, UpstreamName};
use pimentotide_outcome::{
    AgentLedger, Begin, Blob, Body, Conclusion, Finding, LedgerEpoch, LedgerLimits, NotRun,
    Outcome, Place,
};
use proptest::collection::vec;
use proptest::prelude::*;

const LIMITS: LedgerLimits = LedgerLimits {
    closed: 8,
    bytes: 64,
    age: Duration::from_secs(60),
};

fn place(epoch: u64, incarnation: u64) -> Place {
    Place {
        upstream: UpstreamName::from("order-1"),
        incarnation: Incarnation(incarnation),
        epoch: LedgerEpoch(epoch),
    }
}

fn outcome(bytes: usize) -> Arc<Outcome> {
    Arc::new(Outcome {
        status: 200,
        headers: Vec::new(),
        body: Body::Whole(Blob(Bytes::from(vec![b'x'; bytes]))),
    })
}

fn ledger() -> AgentLedger {
    AgentLedger::open(LedgerEpoch(1), Incarnation(1), LIMITS)
}

#[derive(Clone, Debug)]
enum Call {
    Begin(u64),
    Finish(u64, usize),
    Refuse(u64),
    Inquire(u64),
    Crash,
    Advance(u64),
}

fn calls() -> impl Strategy<Value = Vec<Call>> {
    let claim = 1..30u64;
    let call = prop_oneof![
        4 => claim.clone().prop_map(Call::Begin),
        3 => (claim.clone(), 0..40usize).prop_map(|(c, b)| Call::Finish(c, b)),
        1 => claim.clone().prop_map(Call::Refuse),
        2 => claim.prop_map(Call::Inquire),
        1 => Just(Call::Crash),
        1 => (1..40u64).prop_map(Call::Advance),
    ];
    vec(call, 0..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn claim_runs_at_most_once_and_is_never_reported_as_not_run(calls in calls()) {
        let mut ledger = ledger();
        let mut now = Time::ZERO;
        let mut runs = [0u32; 30];
        let mut running = 0usize;
        for call in calls {
            match call {
                Call::Begin(c) => {
                    let i = usize::try_from(c).unwrap();
                    match ledger.begin(ClaimId(c), &place(1, 1), now) {
                        Begin::Run => { runs[i] += 1; running += 1; }
                        Begin::NotRun(NotRun::Refused) => {}
                        Begin::NotRun(_) => prop_assert_eq!(runs[i], 0),
                        Begin::Running | Begin::Finished(_) | Begin::Lost => {}
                    }
                    prop_assert!(runs[i] <= 1);
                }
                Call::Finish(c, bytes) => {
                    ledger.finish(ClaimId(c), Conclusion::Finished(outcome(bytes)), now);
                }
                Call::Refuse(c) => ledger.finish(ClaimId(c), Conclusion::Refused, now),
                Call::Inquire(c) => {
                    let found = ledger.inquire(ClaimId(c), &place(1, 1), now);
                    if found == Finding::NotRun(NotRun::Barred) {
                        prop_assert_eq!(runs[usize::try_from(c).unwrap()], 0);
                    }
                }
                Call::Crash => { ledger.upstream_crashed(now); }
                Call::Advance(seconds) => now += Duration::from_secs(seconds),
            }
            prop_assert!(ledger.len() <= LIMITS.closed + running);
        }
    }
}

#[test]
fn replies_to_claims_and_inquiries() {
    let mut lines = Vec::new();
    let mut ledger = ledger();
    let mut note = |name: &str, reply: String| lines.push(format!("{name}: {reply}"));
    let now = Time::ZERO;
    note(
        "first",
        format!("{:?}", ledger.begin(ClaimId(5), &place(1, 1), now)),
    );
    note(
        "again",
        format!("{:?}", ledger.begin(ClaimId(5), &place(1, 1), now)),
    );
    note(
        "inquiry",
        format!("{:?}", ledger.inquire(ClaimId(5), &place(1, 1), now)),
    );
    note(
        "inquiry before the claim",
        format!("{:?}", ledger.inquire(ClaimId(6), &place(1, 1), now)),
    );
    note(
        "barred",
        format!("{:?}", ledger.begin(ClaimId(6), &place(1, 1), now)),
    );
    note(
        "old epoch",
        format!("{:?}", ledger.begin(ClaimId(7), &place(0, 1), now)),
    );
    note(
        "old epoch inquiry",
        format!("{:?}", ledger.inquire(ClaimId(7), &place(0, 1), now)),
    );
    note("crash", format!("{:?}", ledger.upstream_crashed(now)));
    ledger.upstream_started(Incarnation(2));
    note(
        "crashed inquiry",
        format!("{:?}", ledger.inquire(ClaimId(5), &place(1, 1), now)),
    );
    note(
        "old incarnation",
        format!("{:?}", ledger.begin(ClaimId(8), &place(1, 1), now)),
    );
    note(
        "new incarnation",
        format!("{:?}", ledger.begin(ClaimId(9), &place(1, 2), now)),
    );
    let later = now + LIMITS.age;
    note(
        "evicts the old",
        format!("{:?}", ledger.inquire(ClaimId(20), &place(1, 2), later)),
    );
    note(
        "evicted",
        format!("{:?}", ledger.begin(ClaimId(4), &place(1, 2), later)),
    );
    note(
        "evicted inquiry",
        format!("{:?}", ledger.inquire(ClaimId(5), &place(1, 1), later)),
    );
    insta::assert_snapshot!(lines.join("\n"));
}
