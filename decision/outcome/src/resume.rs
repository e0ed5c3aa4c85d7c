//! What to do with a stream whose engine died.

use derive_more::Display;
use pimentotide_model::{ErrorKind, Failure, Ran, Time, UpstreamName};

use crate::Verdict;

/// State of a request whose stream broke off.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Break {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Tokens that the caller has been sent.
    pub delivered: u64,
    /// Whether engines can go on from given tokens.
    pub resumable: bool,
    /// Attempts left, and allowed by the retry budget.
    pub attempts: u32,
    /// Time by which the request must be answered.
    pub deadline: Time,
    /// Upstream that can still export the KV cache.
    pub exporter: Option<UpstreamName>,
    /// Whether the content may run on the upstream chosen next, asked after the
    /// crash was reported.
    pub verdict: Verdict,
}

/// Where the next engine gets the KV cache from.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
pub enum KvSource {
    /// Exported by this upstream.
    #[display("import from {_0}")]
    Import(UpstreamName),
    /// Computed again from prompt and tokens.
    #[display("recompute")]
    Recompute,
}

/// What happens to the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ResumePlan {
    /// Go on elsewhere at token `from`.
    Continue {
        /// Position of the next token.
        from: u64,
        /// Source of the KV cache.
        source: KvSource,
    },
    /// Run it anew; the caller has been sent nothing.
    Restart,
    /// Ask again about the content at this time.
    Wait(Time),
    /// Choose another upstream and ask again.
    ChooseAgain,
    /// End the stream with an error event.
    Fail(Failure),
}

/// Decides about a stream that broke off.
pub fn after_break(state: &Break, now: Time) -> ResumePlan {
    if !state.idempotent {
        return fail(ErrorKind::StreamBroken, "the request may not run twice");
    }
    if now >= state.deadline {
        return fail(ErrorKind::DeadlineExceeded, "the stream broke off");
    }
    if state.attempts == 0 {
        return fail(ErrorKind::StreamBroken, "no attempt is left");
    }
    if state.delivered > 0 && !state.resumable {
        return fail(ErrorKind::StreamBroken, "the engine cannot resume");
    }
    match state.verdict {
        Verdict::Refused(_) => fail(ErrorKind::CrashingRequest, "crashed two upstreams"),
        Verdict::Wait(pause) if now + pause < state.deadline => ResumePlan::Wait(now + pause),
        Verdict::Wait(_) => fail(ErrorKind::StreamBroken, "no time for a retry apart"),
        Verdict::Occupied => ResumePlan::ChooseAgain,
        Verdict::Free | Verdict::Apart => go_on(state),
    }
}

fn go_on(state: &Break) -> ResumePlan {
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
