//! Decides about a stream whose engine crashed.

use derive_more::Display;
use pimentotide_model::{ErrorKind, Failure, Ran, Time, UpstreamName};

use crate::Verdict;

/// State of a request whose stream broke.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BrokenStream {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of tokens already sent to the caller.
    pub delivered: u64,
    /// Whether engines can continue from given tokens.
    pub resumable: bool,
    /// Number of attempts left that the retry budget allows.
    pub attempts: u32,
    /// Time by which the request must be answered.
    pub deadline: Time,
    /// Upstream that can still export the KV cache, if any.
    pub exporter: Option<UpstreamName>,
    /// Whether the content may run on the upstream chosen next, as decided after
    /// the crash was reported.
    pub verdict: Verdict,
}

/// Source of the KV cache for the next engine.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
pub enum KvSource {
    /// Imported from this upstream.
    #[display("import from {_0}")]
    Import(UpstreamName),
    /// Recomputed from the prompt and the delivered tokens.
    #[display("recompute")]
    Recompute,
}

/// What happens to the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ResumePlan {
    /// Continue on another engine at token `from`.
    Continue {
        /// Position of the next token.
        from: u64,
        /// Source of the KV cache.
        source: KvSource,
    },
    /// Run it from the start; the caller has received no token.
    Restart,
    /// Request a new verdict on the content at this time.
    Wait(Time),
    /// Choose another upstream and request a new verdict.
    ChooseAgain,
    /// End the stream with an error event.
    Fail(Failure),
}

/// Decides about a broken stream.
pub fn plan_resume(state: &BrokenStream, now: Time) -> ResumePlan {
    if !state.idempotent {
        return fail(ErrorKind::StreamBroken, "the request is not idempotent");
    }
    if now >= state.deadline {
        return fail(
            ErrorKind::DeadlineExceeded,
            "the stream broke and the deadline passed",
        );
    }
    if state.attempts == 0 {
        return fail(ErrorKind::StreamBroken, "no attempts left");
    }
    if state.delivered > 0 && !state.resumable {
        return fail(ErrorKind::StreamBroken, "the engine cannot resume a stream");
    }
    match state.verdict {
        Verdict::Refused(_) => fail(
            ErrorKind::CrashingRequest,
            "this content crashed two upstreams",
        ),
        Verdict::Wait(pause) if now + pause < state.deadline => ResumePlan::Wait(now + pause),
        Verdict::Wait(_) => fail(
            ErrorKind::StreamBroken,
            "too close to the deadline for an isolated retry",
        ),
        Verdict::Occupied => ResumePlan::ChooseAgain,
        Verdict::Free | Verdict::Apart => resume_or_restart(state),
    }
}

fn resume_or_restart(state: &BrokenStream) -> ResumePlan {
    if state.delivered == 0 {
        return ResumePlan::Restart;
    }
    ResumePlan::Continue {
        from: state.delivered,
        source: state
            .exporter
            .clone()
            .map_or(KvSource::Recompute, KvSource::Import),
    }
}

fn fail(kind: ErrorKind, detail: &str) -> ResumePlan {
    ResumePlan::Fail(Failure::new(kind, detail).with_ran(Ran::Yes))
}
