//! Detects crashes of upstreams while they run requests of this entry.
//!
//! A broken connection does not prove a crash: a stalled group, a reset and a malformed
//! answer look the same to the request. So the entry connects to the upstream once more:
//! a live process accepts, while the instance of a crashed one refuses. Requests that break
//! at the same upstream at the same time share one check. Control records a crash before the
//! requests are retried, so that a second crash under the same content is known as such.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pimentotide_fleet::{RequestDigests, SuspectView, Ticket, is_sound_run};
use pimentotide_model::Incarnation;
use pimentotide_outcome::{Crash, Witness};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::state::EntryState;
use crate::lines::{SuspectRequest, SuspectsChanged, UpstreamCrashed};

/// Timeout of connecting to an upstream that may have crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time for which a request waits for the check and its record before it is retried.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of requests in the log line of a crash.
const MAX_LOGGED_REQUESTS: usize = 32;

/// Request that broke off at an upstream that may have crashed.
#[derive(Clone, Debug)]
pub(super) struct Interruption {
    /// Id of the request.
    pub(super) request: String,
    /// Digests by which the request is compared with others.
    pub(super) digests: RequestDigests,
    /// Identifiers of the prompt's parts that other requests may share.
    pub(super) parts: Vec<Arc<str>>,
    /// Number of events that this upstream had sent.
    pub(super) events: u64,
}

/// Checks in progress, by the send whose upstream is checked.
#[derive(Debug, Default)]
pub(super) struct CrashChecks {
    open: Mutex<BTreeMap<Ticket, CrashCheck>>,
}

/// Requests that wait for one check.
#[derive(Debug)]
struct CrashCheck {
    interruptions: Vec<Interruption>,
    done: watch::Receiver<()>,
}

impl CrashChecks {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<Ticket, CrashCheck>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an interruption to the check of its upstream; returns the sender that ends the check
    /// if this one starts it, and a receiver that closes at its end.
    fn join(
        &self,
        ticket: &Ticket,
        interruption: Interruption,
    ) -> (Option<watch::Sender<()>>, watch::Receiver<()>) {
        let mut open = self.lock();
        if let Some(check) = open.get_mut(ticket) {
            check.interruptions.push(interruption);
            return (None, check.done.clone());
        }
        let (sender, done) = watch::channel(());
        let check = CrashCheck {
            interruptions: vec![interruption],
            done: done.clone(),
        };
        open.insert(ticket.clone(), check);
        (Some(sender), done)
    }

    fn take(&self, ticket: &Ticket) -> Vec<Interruption> {
        let check = self.lock().remove(ticket);
        check.map_or_else(Vec::new, |c| c.interruptions)
    }
}

/// Checks whether the upstream of an interrupted send has crashed, and reports the crash.
///
/// Returns once the check has ended and control has recorded the crash, at the latest after
/// [`CHECK_TIMEOUT`].
pub(super) async fn check_crash(
    state: &Arc<EntryState>,
    ticket: &Ticket,
    address: SocketAddr,
    interruption: Interruption,
) {
    let (sender, mut done) = state.crash_checks().join(ticket, interruption);
    if let Some(sender) = sender {
        let (state, ticket) = (state.clone(), ticket.clone());
        // Continues if the caller of this request disconnects, since other requests wait for it.
        actix_rt::spawn(async move {
            let crashed = refuses_connections(address).await;
            let interruptions = state.crash_checks().take(&ticket);
            if crashed {
                record_crash(&state, &ticket, &interruptions).await;
            }
            drop(sender);
        });
    }
    // The request continues after the check and after the timeout alike.
    let _ = tokio::time::timeout(CHECK_TIMEOUT, done.changed()).await;
}

/// Whether an instance answers but no process listens at `address`.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Err(e)) => e.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

async fn record_crash(state: &EntryState, ticket: &Ticket, interruptions: &[Interruption]) {
    state
        .metrics()
        .count("entry.crashes", ("scope", "upstream"), 1);
    let requests = interruptions.iter().take(MAX_LOGGED_REQUESTS);
    pimentotide_observe::event(&UpstreamCrashed {
        upstream: ticket.upstream.to_string(),
        born: ticket.born,
        running: interruptions.len(),
        requests: requests
            .map(|i| SuspectRequest {
                request: i.request.clone(),
                content: i.digests.content.to_string(),
                parts: i.parts.clone(),
                events: i.events,
            })
            .collect(),
    });
    let crash = Crash {
        upstream: ticket.upstream.clone(),
        incarnation: Incarnation(ticket.born),
        zone: None,
        witness: Witness::Agent,
        suspects: Vec::new(),
    };
    let suspects = interruptions.iter().filter(|i| !is_sound_run(i.events));
    let suspects: Vec<RequestDigests> = suspects.map(|i| i.digests.clone()).collect();
    let report = state
        .lock()
        .evidence
        .record_crash(crash, &suspects, state.now());
    state.notify_suspects();
    if let Some(report) = report {
        state.reports().record_crash(report).await;
    }
}

impl EntryState {
    /// Whether a request is refused because it crashes upstreams.
    pub(super) fn is_refused(&self, request: &RequestDigests) -> bool {
        let now = self.now();
        self.lock().evidence.is_refused(request, now)
    }

    /// Waits until a request is refused.
    pub(super) async fn until_refused(&self, request: &RequestDigests) {
        let mut changes = self.suspect_changes();
        while !self.is_refused(request) {
            // The sender is part of this state, so that the wait does not fail.
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that a request ran soundly, and reports what of it is suspected.
    pub(super) fn record_sound_run(&self, request: &RequestDigests) {
        let now = self.now();
        let suspected = self.lock().evidence.record_sound_run(request, now);
        self.reports().record_sound_runs(suspected);
    }

    /// Applies the shared view of what is suspected and refused.
    pub(super) fn update_suspects(&self, view: SuspectView) {
        let now = self.now();
        let mut inner = self.lock();
        if inner.seen_suspects() >= view.revision {
            return;
        }
        let before = inner.evidence.shared();
        if (&before.refused, &before.refused_parts) != (&view.refused, &view.refused_parts) {
            let parts = view.refused_parts.iter();
            pimentotide_observe::event(&SuspectsChanged {
                suspected: view.suspected.len(),
                refused: view.refused.iter().map(ToString::to_string).collect(),
                parts: parts
                    .map(|set| set.iter().map(ToString::to_string).collect())
                    .collect(),
                revision: view.revision,
            });
        }
        inner.set_seen_suspects(view.revision);
        let sound = inner.evidence.update(view, now);
        drop(inner);
        self.reports().record_sound_runs(sound);
        self.notify_suspects();
    }
}
