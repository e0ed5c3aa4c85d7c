//! The engine beside an agent: its newest report, and orders to it.
//!
//! The client lives on one thread, the calls of other agents arrive on any. So
//! all go through one task, which handles them side by side.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use pimentotide_experts::{EngineReport, FencedOrder, HeldExperts, OrderAnswer, PickedExperts};
use pimentotide_model::{ErrorKind, Failure, Ran};
use pimentotide_platform::{EngineClient, EngineError};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use super::super::beacon::Seat;
use crate::lines::EngineOrdered;

/// Longest wait for the engine beside the agent.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the answer to an order, which the engine gives at once.
const ORDER_TIMEOUT: Duration = Duration::from_millis(60);
/// Attempts to have an order answered.
const ORDER_ATTEMPTS: u32 = 3;
/// Pause between reports.
const REPORT_PAUSE: Duration = Duration::from_millis(200);

/// Handle of the engine; clones lead to the same one.
#[derive(Clone)]
pub(super) struct EngineHandle {
    asks: mpsc::UnboundedSender<Ask>,
    report: Arc<Mutex<Option<EngineReport>>>,
    last: LastCounts,
}

/// What an engine tells the coordinator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Look {
    /// Report.
    pub(super) report: EngineReport,
    /// Experts that it holds.
    pub(super) held: HeldExperts,
    /// How often its requests chose each expert since the last question for it, layer after layer.
    pub(super) chosen: Option<Vec<u32>>,
}

/// Counts of the last question, and the start of the engine that told them.
type LastCounts = Arc<Mutex<Option<(u64, PickedExperts)>>>;

enum Ask {
    Report(oneshot::Sender<Result<EngineReport, EngineError>>),
    Held(oneshot::Sender<Result<HeldExperts, EngineError>>),
    Picked(oneshot::Sender<Result<PickedExperts, EngineError>>),
    Order(
        FencedOrder,
        oneshot::Sender<Result<OrderAnswer, EngineError>>,
    ),
}

impl EngineHandle {
    /// Starts to look after the engine at `address`.
    pub(super) fn spawn(address: SocketAddr) -> Self {
        let (asks, asked) = mpsc::unbounded_channel();
        let engine = Self {
            asks,
            report: Arc::default(),
            last: Arc::default(),
        };
        actix_rt::spawn(serve(EngineClient::open(address, TIMEOUT), asked));
        actix_rt::spawn(keep_report(engine.clone()));
        engine
    }

    /// Last report and the place of the engine in its group.
    pub(super) fn newest(&self) -> Option<(EngineReport, Seat)> {
        let report = self
            .report
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()?;
        let membership = report.membership.as_ref()?;
        let seat = Seat {
            group: membership.group.clone(),
            epoch: membership.epoch,
            rank: membership.rank,
        };
        Some((report, seat))
    }

    /// Place of the engine in its group, by its last report.
    pub(super) fn seat(&self) -> Option<Seat> {
        self.newest().map(|(_, seat)| seat)
    }

    /// Asks the engine for a report.
    pub(super) async fn report(&self) -> Result<EngineReport, Failure> {
        let result = self.ask(Ask::Report).await;
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = result.as_ref().ok().cloned();
        result
    }

    /// Asks the engine for what the coordinator needs, with the experts chosen if `counts`.
    pub(super) async fn look(&self, counts: bool) -> Result<Look, Failure> {
        let held = self.ask(Ask::Held).await?;
        let report = self.report().await?;
        let chosen = if counts {
            let picked = self.ask(Ask::Picked).await?;
            self.since_last(report.born, &picked)
        } else {
            None
        };
        Ok(Look {
            report,
            held,
            chosen,
        })
    }

    /// Choices since the last counts; none if the engine or its group has started anew.
    fn since_last(&self, born: u64, picked: &PickedExperts) -> Option<Vec<u32>> {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
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

    /// Gives the engine an order.
    pub(super) async fn order(&self, order: FencedOrder) -> Result<OrderAnswer, Failure> {
        let (text, fence) = (order.order.to_string(), order.fence);
        let answer = self.ask(|reply| Ask::Order(order, reply)).await;
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

    async fn ask<T, F>(&self, ask: F) -> Result<T, Failure>
    where
        F: FnOnce(oneshot::Sender<Result<T, EngineError>>) -> Ask,
    {
        let stopped = || Failure::new(ErrorKind::Stopping, "the agent stops");
        let (reply, answer) = oneshot::channel();
        self.asks.send(ask(reply)).map_err(|_| stopped())?;
        let result = answer.await.map_err(|_| stopped())?;
        result.map_err(|e| Failure::new(ErrorKind::UpstreamFailed, e.to_string()))
    }
}

async fn serve(client: EngineClient, mut asked: mpsc::UnboundedReceiver<Ask>) {
    while let Some(ask) = asked.recv().await {
        actix_rt::spawn(answer(client.clone(), ask));
    }
}

async fn answer(client: EngineClient, ask: Ask) {
    // Whoever asked may have gone.
    match ask {
        Ask::Report(reply) => drop(reply.send(client.report().await)),
        Ask::Held(reply) => drop(reply.send(client.held().await)),
        Ask::Picked(reply) => drop(reply.send(client.picked().await)),
        Ask::Order(given, reply) => drop(reply.send(order(&client, &given).await)),
    }
}

/// Gives an order, again if no answer comes; each order may be carried out twice.
async fn order(client: &EngineClient, given: &FencedOrder) -> Result<OrderAnswer, EngineError> {
    let mut answer = client.order(given, ORDER_TIMEOUT).await;
    for _ in 1..ORDER_ATTEMPTS {
        if answer.is_ok() {
            break;
        }
        answer = client.order(given, ORDER_TIMEOUT).await;
    }
    answer
}

async fn keep_report(engine: EngineHandle) {
    loop {
        if let Err(failure) = engine.report().await {
            log::debug!("no report: {failure}");
        }
        tokio::time::sleep(REPORT_PAUSE).await;
    }
}
