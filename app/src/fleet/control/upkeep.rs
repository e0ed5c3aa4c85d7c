//! What the leader keeps up: it removes silent upstreams and records the number of entries.

use std::time::Duration;

use pimentotide_fleet::{Command, EntryRecord};
use pimentotide_instance::Clock;

use super::desk::Desk;

/// Pause between looks at the number of entries.
const COUNT_PAUSE: Duration = Duration::from_millis(500);
/// Pause between looks for silent upstreams.
const PAUSE: Duration = Duration::from_secs(2);
/// Silence after which an upstream is removed; entries avoid it long before, because requests to it fail.
const SILENCE: Duration = Duration::from_secs(20);

/// Removes silent upstreams while this replica leads, until it is aborted.
pub(super) async fn expire(desk: Desk) {
    let leader = desk.replica().leader();
    loop {
        tokio::time::sleep(PAUSE).await;
        if !leader.borrow().here {
            continue;
        }
        let silent = match desk.silent(SILENCE).await {
            Ok(silent) => silent,
            Err(failure) => {
                log::warn!("cannot look for silent upstreams: {failure}");
                continue;
            }
        };
        for record in silent {
            let command = Command::Expire {
                upstream: record.announcement.upstream,
                received_at: record.received_at,
            };
            // The outcome is logged with the order; the next look tries again.
            let _ = desk.order(&command).await;
        }
    }
}

/// Records the number of entries while this replica leads, until it is aborted.
pub(super) async fn count_entries(desk: Desk) {
    let leader = desk.replica().leader();
    let clock = Clock::start();
    let mut record = EntryRecord::new(clock.now());
    loop {
        tokio::time::sleep(COUNT_PAUSE).await;
        let (heard, recorded) = match desk.entry_counts().await {
            Ok(counts) => counts,
            Err(failure) => {
                log::warn!("cannot count entries: {failure}");
                continue;
            }
        };
        let due = record.due(heard, recorded, clock.now());
        if let Some(entries) = due.filter(|_| leader.borrow().here) {
            // The outcome is logged with the order; the next look tries again.
            let _ = desk.order(&Command::Entries(entries)).await;
        }
    }
}
