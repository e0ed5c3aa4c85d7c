//! Currency leases: which process may act on which revision, and for how long.
//!
//! An entry or an agent holds a configuration and a lease on its being
//! current. A replica grants a lease only if a quorum has confirmed that the
//! replica's applied state is current, and counts it from the start of that
//! confirmation. The holder counts it from the time at which it sent the
//! request. Both shorten the lease, so a process that holds one at time `t` has
//! every order that was committed before `t - LEASE`.

mod fence;
mod grant;
mod message;
mod rotation;
mod watch;

use std::time::Duration;

pub use fence::FenceGate;
pub use grant::{Confirmation, grant, has_update};
pub use message::{Held, Update, WatchAnswer, WatchRequest};
pub use rotation::Rotation;
pub use watch::{Watch, WatchOutcome, admit};

/// Time for which a confirmed configuration may be acted on.
pub const LEASE: Duration = Duration::from_secs(3);

/// Longest time for which a replica holds a request without an update.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Age at which a replica renews its confirmation with a quorum.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(250);

/// Time beyond `LONG_POLL_TIMEOUT` after which a holder fails over to the next replica.
pub const LONG_POLL_MARGIN: Duration = Duration::from_millis(300);

/// Delay after all replicas have failed in turn.
pub const RETRY_PAUSE: Duration = Duration::from_millis(100);
