//! At-most-once claims, recorded outcomes, stream assembly and crash suspicion.
//!
//! A non-idempotent request runs only under a claim that a quorum has
//! committed in the [`Journal`]. The agent beside the upstream runs each claim
//! at most once and remembers it in an [`AgentLedger`]; the entry drives claim,
//! send, inquiry and settlement with an [`Attempt`]. Whatever dies, the next
//! entry that is asked for the key finds the claim and asks the agent about it.
//!
//! Streamed answers are put in order by an [`Assembly`], and a stream whose
//! engine dies is resumed or ended by [`after_break`]. A [`SignOfLife`] tells the
//! death of an upstream from a lost connection, and requests that crash what runs
//! them are found by content with [`Suspicion`].

mod assembly;
mod attempt;
mod blob;
mod cancel;
mod claim;
mod journal;
mod ledger;
mod life;
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
pub use journal::{Command, Journal, Reply};
pub use ledger::{AgentLedger, Begin, Conclusion, Finding, LedgerLimits, NotRun};
pub use life::SignOfLife;
pub use resume::{Break, KvSource, ResumePlan, after_break};
pub use suspicion::{Crash, Suspicion, Verdict, Witness};
pub use window::Limits;
