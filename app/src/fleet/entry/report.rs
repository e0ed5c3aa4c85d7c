//! Sends observations about crashes of upstreams to the control replicas.
//!
//! Reports wait in a queue until a replica has recorded them, so that those of an entry that is
//! cut off arrive once it is back.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pimentotide_fleet::CrashReport;
use pimentotide_instance::{PeerClient, PeerTimeouts, Token};
use pimentotide_model::Fingerprint;
use tokio::sync::{Notify, watch};

use super::super::replicas::Replicas;
use super::super::rpc::{EntryReports, REPORT};
use super::state::EntryState;

/// Maximum number of crashes that wait to be reported; the oldest are dropped.
const MAX_QUEUED_CRASHES: usize = 64;
/// Delay before a report is sent again after all replicas failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeouts of a report; a replica needs a round trip to the leader and a sync.
const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(250),
    call: Duration::from_millis(900),
    retry_delay: Duration::from_millis(50),
    idle: Duration::from_millis(1_500),
};

/// Reports that no replica has recorded yet.
#[derive(Debug)]
pub(super) struct ReportQueue {
    waiting: Mutex<Waiting>,
    added: Notify,
    /// Number of crashes recorded or dropped since the start.
    recorded: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Waiting {
    crashes: Vec<CrashReport>,
    sound: BTreeSet<Fingerprint>,
    /// Number of crashes added since the start.
    added: u64,
}

impl Default for ReportQueue {
    fn default() -> Self {
        Self {
            waiting: Mutex::default(),
            added: Notify::new(),
            recorded: watch::Sender::new(0),
        }
    }
}

impl ReportQueue {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a crash and waits until it has been recorded.
    pub(super) async fn record_crash(&self, crash: CrashReport) {
        let number = {
            let mut waiting = self.lock();
            waiting.crashes.push(crash);
            waiting.added += 1;
            waiting.added
        };
        self.added.notify_one();
        // Fails only if the queue is dropped, which ends with the process.
        let _ = self
            .recorded
            .subscribe()
            .wait_for(|recorded| *recorded >= number)
            .await;
    }

    /// Adds suspected contents and parts that ran soundly.
    pub(super) fn record_sound_runs<I>(&self, digests: I)
    where
        I: IntoIterator<Item = Fingerprint>,
    {
        let mut waiting = self.lock();
        waiting.sound.extend(digests);
        if !waiting.sound.is_empty() {
            self.added.notify_one();
        }
    }

    fn take(&self) -> EntryReports {
        let mut waiting = self.lock();
        EntryReports {
            crashes: std::mem::take(&mut waiting.crashes),
            sound: std::mem::take(&mut waiting.sound).into_iter().collect(),
            limits: Vec::new(),
        }
    }

    /// Puts back reports that were not recorded.
    fn put_back(&self, reports: EntryReports) {
        let mut waiting = self.lock();
        let newer = std::mem::replace(&mut waiting.crashes, reports.crashes);
        waiting.crashes.extend(newer);
        waiting.sound.extend(reports.sound);
        let excess = waiting.crashes.len().saturating_sub(MAX_QUEUED_CRASHES);
        if excess > 0 {
            log::warn!("{excess} crashes are not reported: no replica records them");
            waiting.crashes.drain(..excess);
            self.recorded.send_modify(|r| *r += excess as u64);
        }
    }
}

/// Sends queued reports until the task is aborted.
pub(super) async fn send_reports(state: Arc<EntryState>, replicas: Replicas, token: Token) {
    let queue = state.reports();
    loop {
        queue.added.notified().await;
        let mut reports = queue.take();
        while reports != EntryReports::default() {
            if send(&reports, &replicas, &token).await {
                let crashes = reports.crashes.len() as u64;
                queue.recorded.send_modify(|r| *r += crashes);
            } else {
                queue.put_back(reports);
                tokio::time::sleep(RETRY_DELAY).await;
            }
            reports = queue.take();
        }
    }
}

/// Sends reports to one replica after another until one records them; returns whether one did.
pub(super) async fn send(reports: &EntryReports, replicas: &Replicas, token: &Token) -> bool {
    for address in replicas.list() {
        let client = PeerClient::with_timeouts(address, token.clone(), TIMEOUTS);
        match client.call::<_, ()>(REPORT, [reports]).await {
            Ok(()) => return true,
            Err(failure) => log::info!("{address} has not recorded a report: {failure}"),
        }
    }
    false
}
