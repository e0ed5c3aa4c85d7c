//! Decision tables for broken streams, disconnected callers and suspected contents.

use std::time::Duration;

use pimentotide_model::{Time, UpstreamName};
use pimentotide_outcome::{
    BrokenStream, ResumePlan, Verdict, Work, on_caller_gone, on_suspicion, plan_resume,
};

const DEADLINE: Time = Time::from_millis(10_000);

fn base() -> BrokenStream {
    BrokenStream {
        idempotent: true,
        delivered: 12,
        resumable: true,
        attempts: 1,
        deadline: DEADLINE,
        exporter: None,
        verdict: Verdict::Free,
    }
}

fn describe(plan: &ResumePlan) -> String {
    match plan {
        ResumePlan::Fail(failure) => format!("fail {failure} (ran: {})", failure.ran),
        plan => format!("{plan:?}"),
    }
}

#[test]
fn broken_stream_decisions() {
    let exporter = Some(UpstreamName::from("draft-2"));
    let wait = |seconds| Verdict::Wait(Duration::from_secs(seconds));
    let cases = [
        ("resume", base()),
        ("resume from export", BrokenStream { exporter, ..base() }),
        (
            "nothing delivered",
            BrokenStream {
                delivered: 0,
                resumable: false,
                ..base()
            },
        ),
        (
            "not resumable",
            BrokenStream {
                resumable: false,
                ..base()
            },
        ),
        (
            "not idempotent",
            BrokenStream {
                idempotent: false,
                ..base()
            },
        ),
        (
            "no attempts",
            BrokenStream {
                attempts: 0,
                ..base()
            },
        ),
        (
            "past the deadline",
            BrokenStream {
                deadline: Time::ZERO,
                ..base()
            },
        ),
        (
            "suspected",
            BrokenStream {
                verdict: Verdict::Apart,
                ..base()
            },
        ),
        (
            "suspected, nothing delivered",
            BrokenStream {
                verdict: Verdict::Apart,
                delivered: 0,
                ..base()
            },
        ),
        (
            "upstream runs another suspect",
            BrokenStream {
                verdict: Verdict::Occupied,
                ..base()
            },
        ),
        (
            "retry delay",
            BrokenStream {
                verdict: wait(3),
                ..base()
            },
        ),
        (
            "retry delay past the deadline",
            BrokenStream {
                verdict: wait(30),
                ..base()
            },
        ),
        (
            "refused",
            BrokenStream {
                verdict: Verdict::Refused(DEADLINE.since(Time::ZERO)),
                ..base()
            },
        ),
    ];
    let lines: Vec<String> = cases
        .iter()
        .map(|(name, state)| format!("{name}: {}", describe(&plan_resume(state, Time::ZERO))))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn cancelled_and_suspected_work_decisions() {
    let mut lines = Vec::new();
    for idempotent in [true, false] {
        for sent in [false, true] {
            for waiting in [0, 1] {
                let work = Work {
                    idempotent,
                    sent,
                    waiting,
                };
                let gone = on_caller_gone(work);
                let suspected = [false, true].map(|admitted| on_suspicion(work, admitted));
                lines.push(format!("{work:?}: {gone:?}, suspected {suspected:?}"));
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}
