//! What upstreams say of themselves in their answers, and the limits that are shared with other entries.
//!
//! An entry acts on its own answers at once. Limits go to the control replicas too, in batches: an
//! upstream whose answers contradict each other must not fill the log.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pimentotide_fleet::{LimitReport, RequestRate, Signals, Ticket};
use pimentotide_instance::Token;
use pimentotide_model::{Time, UpstreamName};
use tokio::sync::Notify;

use super::super::replicas::Replicas;
use super::super::rpc::EntryReports;
use super::report::send;
use super::state::EntryState;
use crate::lines::UpstreamSignal;

/// Minimum time between two reports on limits.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Latest observed limit of each upstream that no replica has recorded yet.
#[derive(Debug, Default)]
pub(super) struct LimitReports {
    waiting: Mutex<BTreeMap<UpstreamName, LimitReport>>,
    added: Notify,
}

impl LimitReports {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamName, LimitReport>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, report: LimitReport) {
        self.lock().insert(report.upstream.clone(), report);
        self.added.notify_one();
    }

    fn take(&self) -> Vec<LimitReport> {
        std::mem::take(&mut *self.lock()).into_values().collect()
    }

    /// Puts back reports that were not recorded, except those that newer ones replace.
    fn put_back(&self, reports: Vec<LimitReport>) {
        let mut waiting = self.lock();
        for report in reports {
            waiting.entry(report.upstream.clone()).or_insert(report);
        }
        self.added.notify_one();
    }
}

/// Reports limits to control until the task is aborted.
pub(super) async fn report_limits(state: Arc<EntryState>, replicas: Replicas, token: Token) {
    let queue = state.limit_reports();
    loop {
        queue.added.notified().await;
        let reports = EntryReports {
            limits: queue.take(),
            ..EntryReports::default()
        };
        if !reports.limits.is_empty() && !send(&reports, &replicas, &token).await {
            queue.put_back(reports.limits);
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

impl EntryState {
    /// Records what an upstream says of itself in an answer to a request of `sent_at`, and logs
    /// what is new.
    pub(super) fn record_signals(
        &self,
        request: &str,
        ticket: &Ticket,
        signals: &Signals,
        sent_at: Time,
    ) {
        let now = self.now();
        let line = |signal| UpstreamSignal {
            request,
            upstream: &ticket.upstream,
            signal,
            ..UpstreamSignal::default()
        };
        let newly_leaving = signals.leaving && self.lock().balancer.record_leaving(ticket);
        if newly_leaving {
            self.report_signal(&line("leaving"));
        }
        if let Some(backoff) = signals.backoff {
            self.lock().balancer.record_backoff(ticket, backoff, now);
            self.report_signal(&UpstreamSignal {
                for_ms: Some(backoff.as_millis()),
                ..line("backoff")
            });
        }
        let changed = self.record_limit(ticket, signals.limit, sent_at, now);
        if changed {
            self.report_signal(&UpstreamSignal {
                per_second: signals.limit.map(RequestRate::per_second),
                ..line("limit")
            });
        }
    }

    /// Records a limit and reports it if control does not have it; returns whether it has changed.
    fn record_limit(
        &self,
        ticket: &Ticket,
        rate: Option<RequestRate>,
        sent_at: Time,
        now: Time,
    ) -> bool {
        let balancer = &mut self.lock().balancer;
        let Some(report) = balancer.record_limit(ticket, rate, sent_at, now) else {
            return false;
        };
        if balancer.shared_limits().is_news(&report) {
            self.limit_reports().add(report);
        }
        true
    }

    fn report_signal(&self, line: &UpstreamSignal<'_>) {
        self.metrics()
            .count("entry.signals", ("signal", line.signal), 1);
        pimentotide_observe::event(line);
    }
}
