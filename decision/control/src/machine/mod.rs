//! State machine of the replicated log; its state is equal on every replica.

mod codec;
mod fences;
mod history;
mod ledger;
mod replicated;
mod state;

pub use codec::{CodecError, MAX_COMMAND_BYTES, MAX_SNAPSHOT_BYTES, decode, encode};
pub use history::{Change, MAX_CHANGES, MAX_CHANGES_BYTES, MAX_RECORDS, Record};
pub use ledger::{MAX_ANSWERS, RESEND_WINDOW, Verdict};
pub use state::{Command, Machine, Response};
