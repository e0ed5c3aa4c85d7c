//! The agent's memory stays bounded and never calls a forgotten claim "not run".

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
    Died,
    Pass(u64),
}

fn calls() -> impl Strategy<Value = Vec<Call>> {
    let claim = 1..30u64;
    let call = prop_oneof![
        4 => claim.clone().prop_map(Call::Begin),
        3 => (claim.clone(), 0..40usize).prop_map(|(c, b)| Call::Finish(c, b)),
        1 => claim.clone().prop_map(Call::Refuse),
        2 => claim.prop_map(Call::Inquire),
        1 => Just(Call::Died),
        1 => (1..40u64).prop_map(Call::Pass),
    ];
    vec(call, 0..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn a_claim_runs_once_and_no_run_is_denied(calls in calls()) {
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
                Call::Died => { ledger.upstream_died(now); }
                Call::Pass(seconds) => now += Duration::from_secs(seconds),
            }
            prop_assert!(ledger.len() <= LIMITS.closed + running);
        }
    }
}

#[test]
fn what_a_claim_is_told() {
    let mut lines = Vec::new();
    let mut ledger = ledger();
    let mut note = |what: &str, told: String| lines.push(format!("{what}: {told}"));
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
        "asked",
        format!("{:?}", ledger.inquire(ClaimId(5), &place(1, 1), now)),
    );
    note(
        "unseen",
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
        "old epoch asked",
        format!("{:?}", ledger.inquire(ClaimId(7), &place(0, 1), now)),
    );
    note("died", format!("{:?}", ledger.upstream_died(now)));
    ledger.upstream_started(Incarnation(2));
    note(
        "dead asked",
        format!("{:?}", ledger.inquire(ClaimId(5), &place(1, 1), now)),
    );
    note(
        "old start",
        format!("{:?}", ledger.begin(ClaimId(8), &place(1, 1), now)),
    );
    note(
        "new start",
        format!("{:?}", ledger.begin(ClaimId(9), &place(1, 2), now)),
    );
    let later = now + LIMITS.age;
    note(
        "closes the old",
        format!("{:?}", ledger.inquire(ClaimId(20), &place(1, 2), later)),
    );
    note(
        "forgotten",
        format!("{:?}", ledger.begin(ClaimId(4), &place(1, 2), later)),
    );
    note(
        "forgotten asked",
        format!("{:?}", ledger.inquire(ClaimId(5), &place(1, 1), later)),
    );
    insta::assert_snapshot!(lines.join("\n"));
}
