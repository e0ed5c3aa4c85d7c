//! Periodic tasks of the leader: removal of silent upstreams and the recorded number of entries.

use std::time::{Duration, Instant};

use pimentotide_fleet::{Command, EntryRecord};
use pimentotide_instance::Clock;

use super::desk::ControlService;

/// Time between checks of the number of entries.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between checks for silent upstreams.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);
/// Silence after which an upstream is removed; entries avoid it earlier, because requests to it fail.
const UPSTREAM_TIMEOUT: Duration = Duration::from_secs(20);

/// Removes silent upstreams while this replica leads, until the task is aborted.
///
/// Without a leader, and while this replica is paused, no announcement is recorded. So silence counts
/// from the time since which this replica has led.
pub(super) async fn expire_upstreams(service: ControlService) {
    let leader = service.replica().leader();
    let mut led_since = None;
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        if !leader.borrow().here || service.was_paused() {
            led_since = None;
            continue;
        }
        if led_since.get_or_insert_with(Instant::now).elapsed() < UPSTREAM_TIMEOUT {
            continue;
        }
        let silent = match service.silent_upstreams(UPSTREAM_TIMEOUT).await {
            Ok(silent) => silent,
            Err(failure) => {
                log::warn!("cannot check for silent upstreams: {failure}");
                continue;
            }
        };
        for record in silent {
            let command = Command::Expire {
                upstream: record.announcement.upstream,
                received_at: record.received_at,
            };
            // The outcome is logged with the order; the next check retries.
            let _ = service.replicate(&command).await;
        }
    }
}

/// Records the number of entries while this replica leads, until the task is aborted.
pub(super) async fn record_entry_count(service: ControlService) {
    let leader = service.replica().leader();
    let clock = Clock::start();
    let mut record = EntryRecord::new(clock.now());
    loop {
        tokio::time::sleep(COUNT_INTERVAL).await;
        let (live, recorded) = match service.entry_counts().await {
            Ok(counts) => counts,
            Err(failure) => {
                log::warn!("cannot count entries: {failure}");
                continue;
            }
        };
        let due = record.due(live, recorded, clock.now());
        if let Some(entries) = due.filter(|_| leader.borrow().here) {
            // The outcome is logged with the order; the next check retries.
            let _ = service.replicate(&Command::Entries(entries)).await;
        }
    }
}
