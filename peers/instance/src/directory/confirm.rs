//! Quorum confirmations that all followers of one replica share.

use std::time::Duration;

use pimentotide_control::currency::{Confirmation, MAX_CONFIRMATION_AGE};
use pimentotide_model::{ErrorKind, Failure, Time};
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::Source;
use crate::Clock;

/// Limit for a quorum round; shorter than a follower's timeout.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(200);

/// Latest successful and latest failed round, with their times.
#[derive(Debug, Default)]
struct Latest {
    confirmed: Option<Confirmation>,
    failed: Option<(Time, Failure)>,
}

/// Confirmations of one replica; runs one quorum round at a time.
#[derive(Debug)]
pub(super) struct Confirmations {
    clock: Clock,
    latest: Mutex<Latest>,
}

impl Confirmations {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            latest: Mutex::default(),
        }
    }

    /// Returns a recent confirmation, or runs a quorum round for a new one.
    pub(super) async fn get<S>(&self, source: &S) -> Result<Confirmation, Failure>
    where
        S: Source,
    {
        let arrived = self.clock.now();
        let mut latest = self.latest.lock().await;
        let started = self.clock.now();
        if let Some(confirmation) = latest.confirmed
            && started.since(confirmation.started) < MAX_CONFIRMATION_AGE
        {
            return Ok(confirmation);
        }
        // A round that failed after this request arrived holds for it as well.
        if let Some((at, failure)) = &latest.failed
            && *at >= arrived
        {
            return Err(failure.clone());
        }
        match timeout(CONFIRM_TIMEOUT, source.confirm()).await {
            Ok(Ok(())) => {
                let confirmation = Confirmation { started };
                latest.confirmed = Some(confirmation);
                Ok(confirmation)
            }
            Ok(Err(failure)) => Err(self.fail(&mut latest, failure)),
            Err(_) => {
                let failure = Failure::new(ErrorKind::NoQuorum, "no quorum confirmed in time");
                Err(self.fail(&mut latest, failure))
            }
        }
    }

    fn fail(&self, latest: &mut Latest, failure: Failure) -> Failure {
        latest.failed = Some((self.clock.now(), failure.clone()));
        failure
    }
}
