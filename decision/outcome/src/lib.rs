//! At-most-once claims, recorded outcomes, stream assembly and crash suspicion.
//!
//! A non-idempotent request runs only under a claim that a quorum has
//! committed in the [`Journal`]. The agent of the upstream runs each claim at
//! most once and records it in an [`AgentLedger`]; the entry drives claim,
//! send, inquiry and settlement with an [`Attempt`]. After any failure, the next
//! entry that receives the key finds the claim and queries the agent about it.
//!
//! An entry is a process that receives requests from callers; an agent is a
//! process that manages one upstream.
//!
//! An [`Assembly`] reorders streamed answers, and [`plan_resume`] resumes or
//! ends a stream whose engine crashed. [`Liveness`] distinguishes the crash of
//! an upstream from a lost connection, and [`Suspicion`] identifies by content
//! the requests that crash upstreams, from the crashes in a [`CrashHistory`].

mod assembly;
mod attempt;
mod blob;
mod cancel;
mod claim;
mod crash_history;
mod journal;
mod ledger;
mod liveness;
mod resume;
mod suspicion;
mod window;

pub use assembly::{Assembly, Fault, Piece, Progress};
pub use attempt::{Action, Answer, Attempt, Event, Intent};
pub use blob::Blob;
pub use cancel::{CancelPlan, Work, on_caller_gone, on_suspicion};
pub use claim::{
    Body, Claim, ClaimRef, LedgerEpoch, MAX_KEY_BYTES, MAX_RECORDED_BYTES, Outcome, Place, Ticket,
    generated_key,
};
pub use crash_history::{Crash, CrashHistory, Strikes, Witness};
pub use journal::{Command, Journal, Reply};
pub use ledger::{AgentLedger, Begin, Conclusion, Finding, LedgerLimits, NotRun};
pub use liveness::Liveness;
pub use resume::{BrokenStream, KvSource, ResumePlan, plan_resume};
pub use suspicion::{Suspicion, Verdict};
pub use window::Limits;
