//! Access to the agent's local engine: its latest report, and orders to it.
//!
//! The client is bound to one thread while calls of other agents arrive on any
//! thread, so all requests go through one task, which handles them concurrently.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use pimentotide_experts::{
    EngineOrder, EngineReport, FencedOrder, HeldExperts, LOCAL_ORDER_TIMEOUTS, OrderAnswer,
    PickedExperts, ask_again,
};
use pimentotide_instance::Clock;
use pimentotide_model::{ErrorKind, Failure, Ran, Time};
use pimentotide_platform::{EngineClient, EngineError};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use super::super::beacon::Seat;
use crate::lines::EngineOrdered;

/// Timeout of a request to the local engine.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between polls of the engine report.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after an order about a pass in which reports decide whether the pass is released.
const PASS_ORDER_MEMORY: Duration = Duration::from_secs(1);
/// Time after an order in which a switch may be under way; copies take up to 0.5 s.
const ORDER_MEMORY: Duration = Duration::from_secs(2);

/// Handle of the local engine; clones share it.
#[derive(Clone)]
pub(super) struct EngineHandle {
    requests: mpsc::UnboundedSender<EngineRequest>,
    report: Arc<Mutex<Option<EngineReport>>>,
    /// Pace in the latest report, and when that was requested.
    pace: Arc<Mutex<Option<(f64, Time)>>>,
    clock: Clock,
    last_counts: LastCounts,
    ordered_at: Arc<Mutex<Option<Instant>>>,
    /// Time of the last order to hold or release a pass or to disarm.
    pass_ordered: Arc<Mutex<Option<Instant>>>,
    /// Seat in the last report that named one.
    seats: Arc<watch::Sender<Option<Seat>>>,
}

/// State of one rank as the coordinator reads it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct RankState {
    /// Latest report of the engine.
    pub(super) report: EngineReport,
    /// Experts that the rank holds; `None` if they were not requested.
    pub(super) held: Option<HeldExperts>,
    /// Times that each expert was chosen since the last counts, layer after layer.
    ///
    /// `None` if no counts were requested, or there are no earlier ones to compare with.
    pub(super) chosen: Option<Vec<u32>>,
}

/// Parts of the state of a rank that are read on request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct StateRequest {
    /// Whether to read the experts that the rank holds.
    pub(super) held: bool,
    /// Whether to read the expert choices.
    pub(super) counts: bool,
}

/// Last counts, with the start time of the engine that reported them.
type LastCounts = Arc<Mutex<Option<(u64, PickedExperts)>>>;

enum EngineRequest {
    Report(oneshot::Sender<Result<EngineReport, EngineError>>),
    CurrentReport(oneshot::Sender<Result<EngineReport, EngineError>>),
    Held(oneshot::Sender<Result<HeldExperts, EngineError>>),
    Picked(oneshot::Sender<Result<PickedExperts, EngineError>>),
    Order(
        FencedOrder,
        oneshot::Sender<Result<OrderAnswer, EngineError>>,
    ),
}

impl EngineHandle {
    /// Opens the engine at `address` and starts polling its report.
    pub(super) fn spawn(address: SocketAddr) -> Self {
        let (requests, receiver) = mpsc::unbounded_channel();
        let engine = Self {
            requests,
            report: Arc::default(),
            pace: Arc::default(),
            clock: Clock::start(),
            last_counts: Arc::default(),
            ordered_at: Arc::default(),
            pass_ordered: Arc::default(),
            seats: Arc::default(),
        };
        actix_rt::spawn(serve(EngineClient::open(address, ENGINE_TIMEOUT), receiver));
        actix_rt::spawn(poll_reports(engine.clone()));
        engine
    }

    /// Returns the last report and the engine's seat; `None` without a report or a group.
    pub(super) fn latest_report(&self) -> Option<(EngineReport, Seat)> {
        let report = self
            .report
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()?;
        let seat = seat_of(&report)?;
        Some((report, seat))
    }

    /// Returns a receiver of changes of the engine's seat; a failed report is no change.
    pub(super) fn seat_changes(&self) -> watch::Receiver<Option<Seat>> {
        self.seats.subscribe()
    }

    /// Returns the engine's seat by its last report.
    pub(super) fn seat(&self) -> Option<Seat> {
        self.latest_report().map(|(_, seat)| seat)
    }

    /// Returns the pace in the latest report, and when that was requested; `None` without a report.
    pub(super) fn latest_pace(&self) -> Option<(f64, Time)> {
        *self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time by the clock of [`latest_pace`](Self::latest_pace).
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Requests a report and stores it; a failure clears the stored one.
    pub(super) async fn report(&self) -> Result<EngineReport, Failure> {
        let asked_at = self.clock.now();
        // A report that decides on the release of a pass must not be a late copy of an earlier one.
        let result = if self.is_pass_ordered() {
            self.request(EngineRequest::CurrentReport).await
        } else {
            self.request(EngineRequest::Report).await
        };
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = result.as_ref().ok().cloned();
        let pace = result.as_ref().ok().map(|report| (report.pace, asked_at));
        *self.pace.lock().unwrap_or_else(PoisonError::into_inner) = pace;
        if let Some(seat) = result.as_ref().ok().and_then(seat_of) {
            self.seats.send_if_modified(|last| {
                let is_new = last.as_ref() != Some(&seat);
                *last = Some(seat);
                is_new
            });
        }
        result
    }

    /// Reads the state that the coordinator needs.
    pub(super) async fn state(&self, request: StateRequest) -> Result<RankState, Failure> {
        let held = if request.held {
            Some(self.request(EngineRequest::Held).await?)
        } else {
            None
        };
        let report = self.report().await?;
        let chosen = if request.counts {
            let picked = self.request(EngineRequest::Picked).await?;
            self.counts_since_last(report.born, &picked)
        } else {
            None
        };
        Ok(RankState {
            report,
            held,
            chosen,
        })
    }

    /// Returns the choices since the last counts.
    ///
    /// `None` for the first counts, and after a restart of the engine or its group.
    fn counts_since_last(&self, born: u64, picked: &PickedExperts) -> Option<Vec<u32>> {
        let mut last = self
            .last_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let old = last.replace((born, picked.clone()));
        let (_, old) = old.filter(|(b, old)| *b == born && old.epoch == picked.epoch)?;
        let pairs = picked.counts.iter().zip(&old.counts);
        let since = pairs.map(|(new, old)| new.saturating_sub(*old));
        Some(
            since
                .map(|n| u32::try_from(n).unwrap_or(u32::MAX))
                .collect(),
        )
    }

    /// Whether this agent has passed on an order lately.
    pub(super) fn is_ordered(&self) -> bool {
        let ordered_at = *self.lock_ordered();
        ordered_at.is_some_and(|at| at.elapsed() < ORDER_MEMORY)
    }

    /// Whether this agent has lately passed on an order to hold or release a pass or to disarm.
    fn is_pass_ordered(&self) -> bool {
        let ordered_at = *self.lock_pass_ordered();
        ordered_at.is_some_and(|at| at.elapsed() < PASS_ORDER_MEMORY)
    }

    fn lock_pass_ordered(&self) -> MutexGuard<'_, Option<Instant>> {
        self.pass_ordered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_ordered(&self) -> MutexGuard<'_, Option<Instant>> {
        self.ordered_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the engine an order and logs the outcome.
    pub(super) async fn order(&self, order: FencedOrder) -> Result<OrderAnswer, Failure> {
        *self.lock_ordered() = Some(Instant::now());
        match order.order {
            EngineOrder::Hold { .. } | EngineOrder::Go { .. } | EngineOrder::Disarm { .. } => {
                *self.lock_pass_ordered() = Some(Instant::now());
            }
            EngineOrder::Prepare { .. } | EngineOrder::Arm { .. } => {}
        }
        let (text, fence) = (order.order.to_string(), order.fence);
        let answer = self
            .request(|reply| EngineRequest::Order(order, reply))
            .await;
        pimentotide_observe::event(&EngineOrdered {
            order: text,
            fence,
            answer: match &answer {
                Ok(answer) => answer.to_string(),
                Err(failure) => failure.to_string(),
            },
        });
        answer.map_err(|f| f.with_ran(Ran::Unknown))
    }

    async fn request<T, F>(&self, make_request: F) -> Result<T, Failure>
    where
        F: FnOnce(oneshot::Sender<Result<T, EngineError>>) -> EngineRequest,
    {
        let stopped = || Failure::new(ErrorKind::Stopping, "the agent stops");
        let (reply, answer) = oneshot::channel();
        self.requests
            .send(make_request(reply))
            .map_err(|_| stopped())?;
        let result = answer.await.map_err(|_| stopped())?;
        result.map_err(|e| Failure::new(ErrorKind::UpstreamFailed, e.to_string()))
    }
}

/// Returns the seat that a report names; `None` outside a group.
fn seat_of(report: &EngineReport) -> Option<Seat> {
    let membership = report.membership.as_ref()?;
    Some(Seat {
        group: membership.group.clone(),
        epoch: membership.epoch,
        rank: membership.rank,
    })
}

async fn serve(client: EngineClient, mut requests: mpsc::UnboundedReceiver<EngineRequest>) {
    while let Some(request) = requests.recv().await {
        actix_rt::spawn(handle_request(client.clone(), request));
    }
}

async fn handle_request(client: EngineClient, request: EngineRequest) {
    // Sending fails if the caller no longer waits, which needs no handling.
    match request {
        EngineRequest::Report(reply) => drop(reply.send(client.report().await)),
        EngineRequest::CurrentReport(reply) => drop(reply.send(client.current_report().await)),
        EngineRequest::Held(reply) => drop(reply.send(client.held().await)),
        EngineRequest::Picked(reply) => drop(reply.send(client.picked().await)),
        EngineRequest::Order(fenced, reply) => drop(reply.send(order(&client, &fenced).await)),
    }
}

/// Sends an order and retries it on failure; orders are idempotent.
async fn order(client: &EngineClient, fenced: &FencedOrder) -> Result<OrderAnswer, EngineError> {
    ask_again(&LOCAL_ORDER_TIMEOUTS, |timeout| {
        client.order(fenced, timeout)
    })
    .await
}

async fn poll_reports(engine: EngineHandle) {
    loop {
        if let Err(failure) = engine.report().await {
            log::debug!("no engine report: {failure}");
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}
