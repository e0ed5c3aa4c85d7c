//! Claims and expert maps in the same machine: encoded, applied and restored.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pimentotide_control::machine::{MAX_COMMAND_BYTES, decode, encode};
use pimentotide_control::{Command, Machine, Response};
use pimentotide_experts::{self as experts, ExpertMap, Layout, Slot};
use pimentotide_model::{Fingerprint, Incarnation, RequestId, Time};
use pimentotide_outcome::{
    self as outcome, Blob, Body, Claim, ClaimRef, LedgerEpoch, Outcome, Place, Ticket,
};

/// Applies a command in encoded form, as the log does.
fn apply(machine: &mut Machine, command: &Command) -> Response {
    let bytes = encode(command).unwrap();
    let response = machine.apply_bytes(Time::from_millis(1), &bytes);
    decode(&response, MAX_COMMAND_BYTES).unwrap()
}

fn claim() -> Claim {
    Claim {
        ticket: Ticket {
            request: RequestId(7),
            attempt: 1,
        },
        workspace: "council".into(),
        service: "lodge".into(),
        key: "key".into(),
        generated: false,
        fingerprint: Fingerprint([1; 16]),
        place: Place {
            upstream: "u1".into(),
            incarnation: Incarnation(3),
            epoch: LedgerEpoch(4),
        },
        allowed: Duration::from_secs(30),
    }
}

#[test]
fn recorded_answers_survive_a_restore() {
    let mut machine = Machine::default();
    let granted = apply(&mut machine, &outcome::Command::Claim(claim()).into());
    let Response::Outcome(outcome::Reply::Granted(id)) = granted else {
        panic!("expected a grant, found {granted:?}");
    };
    let recorded = Arc::new(Outcome {
        status: 200,
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        body: Body::Whole(Blob::from(Bytes::from_static(&[0, 255, 7]))),
    });
    let held = ClaimRef {
        workspace: "council".into(),
        key: "key".into(),
        claim: id,
    };
    let settle = outcome::Command::Settle {
        held,
        outcome: Arc::clone(&recorded),
    };
    apply(&mut machine, &settle.into());
    let mut restored = Machine::default();
    restored.restore(&machine.snapshot().unwrap()).unwrap();
    assert_eq!(restored, machine);
    let again = apply(&mut restored, &outcome::Command::Claim(claim()).into());
    assert_eq!(again, Response::Outcome(outcome::Reply::Recorded(recorded)));
}

#[test]
fn decided_maps_survive_a_restore() {
    let mut machine = Machine::default();
    let slot = |expert| Slot { expert, weight: 1 };
    let form = experts::Command::Form {
        group: "g1".into(),
        layout: Layout::uniform(1, 2, 2, 1, 1),
        map: Arc::new(ExpertMap {
            layers: 1,
            slots: vec![slot(0), slot(1)],
        }),
    };
    let formed = apply(&mut machine, &form.into());
    assert!(
        !matches!(formed, Response::Experts(experts::Reply::Refused(_))),
        "{formed:?}"
    );
    let mut restored = Machine::default();
    restored.restore(&machine.snapshot().unwrap()).unwrap();
    assert_eq!(restored, machine);
    assert_ne!(restored, Machine::default());
}
