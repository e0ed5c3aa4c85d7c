//! Forwards one request to the upstream and frames its answer.

use std::sync::Arc;

use actix_web::http::Method;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, pin_mut};
use pimentotide_instance::work::{Frame, WorkOrder};
use pimentotide_model::{ErrorKind, Failure, LoadReport, Ran};
use pimentotide_outcome::{Blob, Body, Conclusion, Outcome};
use pimentotide_routing::Outcome as GateOutcome;
use pimentotide_upstream::{
    EngineAnswer, EngineClient, EngineError, EngineRequest, EventSplitter, KEY_HEADER,
    PRIORITY_HEADER, REQUEST_HEADER, RESUME_HEADER, STREAM_END, is_hop_header,
};
use tokio::sync::{Notify, mpsc};

use super::core::Core;
use super::permit::Permit;

thread_local! {
    static CLIENT: EngineClient = EngineClient::open();
}

/// One request that is being forwarded.
struct Forwarding {
    permit: Permit,
    sender: mpsc::Sender<Frame>,
    /// Answer so far; `None` for idempotent requests.
    record: Option<Recording>,
}

#[derive(Default)]
struct Recording {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// Forwards `order` and sends the frames of its answer to `sender`.
///
/// An idempotent request ends when the entry cancels it or its deadline passes.
/// Any other request runs to completion, since its effect cannot be undone, and
/// its answer is stored in the agent's ledger.
pub(super) async fn forward(
    core: Arc<Core>,
    order: WorkOrder,
    permit: Permit,
    sender: mpsc::Sender<Frame>,
) {
    let record = (!order.idempotent).then(Recording::default);
    let mut forwarding = Forwarding {
        permit,
        sender: sender.clone(),
        record,
    };
    let result = run(&core, &order, &mut forwarding).await;
    let result = match result {
        Err(failure) if may_be_crash(&failure) => {
            Err(core.report_if_crashed(&order, failure).await)
        }
        result => result,
    };
    core.finish_claim(&order, conclusion(&result, forwarding.record.take()));
    forwarding.permit.set_outcome(gate_outcome(&result));
    // Frees the slot before the entry receives the last frame.
    drop(forwarding);
    let frame = match result {
        Ok(pieces) => Frame::End {
            pieces,
            report: core.report(),
        },
        Err(failure) => {
            core.metrics()
                .count("agent.failed", ("kind", &failure.kind.to_string()), 1);
            Frame::Failed { failure }
        }
    };
    // The entry may have closed the connection.
    let _ = sender.send(frame).await;
}

/// Returns the frames of a stored answer.
pub(super) fn replay(outcome: &Outcome, report: LoadReport) -> Vec<Frame> {
    let Body::Whole(body) = &outcome.body else {
        let detail = "the request ran; its answer was too large to store";
        let failure = Failure::new(ErrorKind::OutcomeUnknown, detail).with_ran(Ran::Yes);
        return vec![Frame::Failed { failure }];
    };
    vec![
        Frame::Head {
            status: outcome.status,
            headers: outcome.headers.clone(),
            report,
        },
        Frame::Piece {
            position: 0,
            data: body.0.clone(),
        },
        Frame::End { pieces: 1, report },
    ]
}

/// Runs the request until it completes or is cancelled.
async fn run(core: &Core, order: &WorkOrder, forwarding: &mut Forwarding) -> Result<u64, Failure> {
    let cancel = Arc::clone(&forwarding.permit.cancel);
    let sender = forwarding.sender.clone();
    let exchange = forwarding.exchange(core, order);
    pin_mut!(exchange);
    let cancelled = cancelled(order, &cancel, &sender);
    pin_mut!(cancelled);
    let mut activity = core.activity();
    loop {
        tokio::select! {
            result = &mut exchange => return result,
            failure = &mut cancelled => return Err(failure),
            changed = activity.changed() => {
                // Frames in a full buffer already show that the upstream is alive.
                if changed.is_ok() {
                    let _ = sender.try_send(Frame::Alive);
                }
            }
        }
    }
}

/// Completes when an idempotent request is cancelled or late; never for any other.
async fn cancelled(order: &WorkOrder, cancel: &Notify, sender: &mpsc::Sender<Frame>) -> Failure {
    if !order.idempotent {
        return std::future::pending().await;
    }
    tokio::select! {
        () = cancel.notified() => cancelled_by_entry(),
        () = sender.closed() => cancelled_by_entry(),
        () = tokio::time::sleep(order.remaining) => deadline_exceeded(),
    }
}

impl Forwarding {
    /// Sends the head and the pieces; returns the position after the last piece.
    async fn exchange(&mut self, core: &Core, order: &WorkOrder) -> Result<u64, Failure> {
        let client = CLIENT.with(Clone::clone);
        let request = engine_request(order)?;
        let answer = client.send(self.permit.engine, &request).await;
        let answer = answer.map_err(|e| engine_failure(&e))?;
        self.send_head(&answer, core.report()).await;
        if is_event_stream(&answer) {
            self.send_events(order.resume, answer.body).await
        } else {
            self.send_chunks(answer.body).await
        }
    }

    async fn send_head<S>(&mut self, answer: &EngineAnswer<S>, report: LoadReport) {
        let status = answer.status.as_u16();
        let forwarded = answer
            .headers
            .iter()
            .filter(|(name, _)| !is_hop_header(name));
        let headers: Vec<_> = forwarded
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
            .collect();
        if let Some(record) = &mut self.record {
            record.status = status;
            record.headers.clone_from(&headers);
        }
        self.send(Frame::Head {
            status,
            headers,
            report,
        })
        .await;
    }

    async fn send_chunks<S>(&mut self, body: S) -> Result<u64, Failure>
    where
        S: Stream<Item = Result<Bytes, EngineError>>,
    {
        pin_mut!(body);
        let mut position = 0;
        while let Some(chunk) = body.next().await {
            self.send_piece(position, chunk.map_err(|e| engine_failure(&e))?)
                .await;
            position += 1;
        }
        Ok(position)
    }

    async fn send_events<S>(&mut self, resume: u64, body: S) -> Result<u64, Failure>
    where
        S: Stream<Item = Result<Bytes, EngineError>>,
    {
        pin_mut!(body);
        let mut splitter = EventSplitter::default();
        let mut position = resume;
        while let Some(chunk) = body.next().await {
            splitter.push(&chunk.map_err(|e| engine_failure(&e))?);
            while let Some(event) = splitter
                .next_event()
                .map_err(|e| broken_answer(&e.to_string()))?
            {
                let last = event.data() == Some(STREAM_END);
                self.send_piece(position, event.0).await;
                position += 1;
                if last {
                    return Ok(position);
                }
            }
        }
        Err(broken_answer("the stream ended early"))
    }

    async fn send_piece(&mut self, position: u64, data: Bytes) {
        self.permit.record_piece();
        if let Some(record) = &mut self.record {
            record.body.extend_from_slice(&data);
        }
        self.send(Frame::Piece { position, data }).await;
    }

    /// Ignores a closed connection, since a request that runs only once continues without it.
    async fn send(&self, frame: Frame) {
        let _ = self.sender.send(frame).await;
    }
}

fn engine_request(order: &WorkOrder) -> Result<EngineRequest, Failure> {
    let invalid = |what: &str| Failure::new(ErrorKind::InvalidRequest, format!("bad {what}"));
    let method = Method::from_bytes(order.method.as_bytes()).map_err(|_| invalid("method"))?;
    if !order.path.starts_with('/') {
        return Err(invalid("path"));
    }
    let mut headers = order.headers.clone();
    headers.push((REQUEST_HEADER.to_owned(), order.id.to_string()));
    headers.push((PRIORITY_HEADER.to_owned(), order.priority.to_string()));
    if let Some(key) = &order.key {
        headers.push((KEY_HEADER.to_owned(), key.to_string()));
    }
    if order.resume > 0 {
        headers.push((RESUME_HEADER.to_owned(), order.resume.to_string()));
    }
    let body = Bytes::from(order.body.clone());
    Ok(EngineRequest {
        method,
        path: order.path.clone(),
        headers,
        body,
    })
}

fn is_event_stream<S>(answer: &EngineAnswer<S>) -> bool {
    let kind = answer
        .headers
        .get("content-type")
        .and_then(|v| v.to_str().ok());
    kind.is_some_and(|k| k.starts_with("text/event-stream"))
}

fn conclusion(result: &Result<u64, Failure>, record: Option<Recording>) -> Conclusion {
    match result {
        Ok(_) => {
            let record = record.unwrap_or_default();
            Conclusion::Finished(Arc::new(Outcome {
                status: record.status,
                headers: record.headers,
                body: Body::Whole(Blob(Bytes::from(record.body))),
            }))
        }
        Err(failure) if failure.ran == Ran::No => Conclusion::Refused,
        Err(_) => Conclusion::Lost,
    }
}

fn gate_outcome(result: &Result<u64, Failure>) -> GateOutcome {
    match result {
        Ok(_) => GateOutcome::Good,
        Err(failure) if failure.kind == ErrorKind::Cancelled => GateOutcome::Cancelled,
        Err(_) => GateOutcome::Failed,
    }
}

/// Whether the upstream may have crashed while running the request.
fn may_be_crash(failure: &Failure) -> bool {
    failure.kind == ErrorKind::UpstreamFailed && failure.ran != Ran::No
}

fn engine_failure(error: &EngineError) -> Failure {
    let ran = match error {
        EngineError::Unreachable(_) => Ran::No,
        EngineError::Broken(_) => Ran::Unknown,
    };
    Failure::new(ErrorKind::UpstreamFailed, error.to_string()).with_ran(ran)
}

fn broken_answer(detail: &str) -> Failure {
    Failure::new(ErrorKind::UpstreamFailed, detail).with_ran(Ran::Yes)
}

fn cancelled_by_entry() -> Failure {
    Failure::new(ErrorKind::Cancelled, "the entry cancelled the request")
}

fn deadline_exceeded() -> Failure {
    Failure::new(
        ErrorKind::DeadlineExceeded,
        "the deadline passed while the request was running",
    )
}
