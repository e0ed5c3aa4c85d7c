//! Passes one request on to the upstream and frames its answer.

use std::sync::Arc;

use actix_web::http::Method;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, pin_mut};
use pimentotide_instance::work::{Frame, WorkOrder};
use pimentotide_model::{ErrorKind, Failure, LoadReport, Ran};
use pimentotide_outcome::{Blob, Body, Conclusion, Outcome};
use pimentotide_routing::Outcome as Verdict;
use pimentotide_upstream::{
    EngineAnswer, EngineClient, EngineError, EngineRequest, EventSplitter, KEY_HEADER,
    PRIORITY_HEADER, REQUEST_HEADER, RESUME_HEADER, STREAM_END, is_hop_header,
};
use tokio::sync::{Notify, mpsc};

use super::core::Core;
use super::permit::Permit;

thread_local! {
    static CLIENT: EngineClient = EngineClient::open();
    /// For requests that may run only once.
    static FRESH_CLIENT: EngineClient = EngineClient::open_unpooled();
}

/// One request on its way through the agent.
struct Passage {
    permit: Permit,
    sender: mpsc::Sender<Frame>,
    /// Answer so far, kept for requests that run only once.
    record: Option<Recording>,
}

#[derive(Default)]
struct Recording {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// Passes `order` on; its frames go to `sender`.
///
/// An idempotent request ends when the entry gives it up or its deadline
/// passes. Any other request runs to its end, since its effect cannot be taken
/// back, and its answer is kept in the agent's ledger.
pub(super) async fn forward(
    core: Arc<Core>,
    order: WorkOrder,
    permit: Permit,
    sender: mpsc::Sender<Frame>,
) {
    let record = (!order.idempotent).then(Recording::default);
    let mut passage = Passage {
        permit,
        sender: sender.clone(),
        record,
    };
    let last = run(&core, &order, &mut passage).await;
    let last = match last {
        Err(failure) if may_be_crash(&failure) => Err(core.explain(&order, failure).await),
        last => last,
    };
    core.finish_claim(&order, conclusion(&last, passage.record.take()));
    passage.permit.ended(verdict_of(&last));
    // The place is free before the entry learns of the end.
    drop(passage);
    let frame = match last {
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
    // An entry that went away needs no last frame.
    let _ = sender.send(frame).await;
}

/// Frames of an answer that was recorded before.
pub(super) fn again(outcome: &Outcome, report: LoadReport) -> Vec<Frame> {
    let Body::Whole(body) = &outcome.body else {
        let detail = "the request ran; its answer is too large to be repeated";
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

/// Runs the request to its end, or to where it is given up.
async fn run(core: &Core, order: &WorkOrder, passage: &mut Passage) -> Result<u64, Failure> {
    let cancel = Arc::clone(&passage.permit.cancel);
    let sender = passage.sender.clone();
    let pass = passage.pass(core, order);
    pin_mut!(pass);
    let given_up = given_up(order, &cancel, &sender);
    pin_mut!(given_up);
    let mut signs = core.signs();
    loop {
        tokio::select! {
            last = &mut pass => return last,
            failure = &mut given_up => return Err(failure),
            sign = signs.changed() => {
                // A full buffer holds frames that say as much.
                if sign.is_ok() {
                    let _ = sender.try_send(Frame::Alive);
                }
            }
        }
    }
}

/// Completes when an idempotent request is given up; never for any other.
async fn given_up(order: &WorkOrder, cancel: &Notify, sender: &mpsc::Sender<Frame>) -> Failure {
    if !order.idempotent {
        return std::future::pending().await;
    }
    tokio::select! {
        () = cancel.notified() => gone(),
        () = sender.closed() => gone(),
        () = tokio::time::sleep(order.remaining) => late(),
    }
}

impl Passage {
    /// Sends the head and the pieces; returns the number of pieces of the whole answer.
    async fn pass(&mut self, core: &Core, order: &WorkOrder) -> Result<u64, Failure> {
        let client = if order.idempotent {
            CLIENT.with(Clone::clone)
        } else {
            FRESH_CLIENT.with(Clone::clone)
        };
        let request = engine_request(order)?;
        let answer = client.send(self.permit.engine, &request).await;
        let answer = answer.map_err(|e| engine_failure(&e))?;
        self.head(&answer, core.report()).await;
        if is_event_stream(&answer) {
            self.events(order.resume, answer.body).await
        } else {
            self.chunks(answer.body).await
        }
    }

    async fn head<S>(&mut self, answer: &EngineAnswer<S>, report: LoadReport) {
        let status = answer.status.as_u16();
        let kept = answer
            .headers
            .iter()
            .filter(|(name, _)| !is_hop_header(name));
        let headers: Vec<_> = kept
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

    async fn chunks<S>(&mut self, body: S) -> Result<u64, Failure>
    where
        S: Stream<Item = Result<Bytes, EngineError>>,
    {
        pin_mut!(body);
        let mut position = 0;
        while let Some(chunk) = body.next().await {
            self.piece(position, chunk.map_err(|e| engine_failure(&e))?)
                .await;
            position += 1;
        }
        Ok(position)
    }

    async fn events<S>(&mut self, resume: u64, body: S) -> Result<u64, Failure>
    where
        S: Stream<Item = Result<Bytes, EngineError>>,
    {
        pin_mut!(body);
        let mut splitter = EventSplitter::default();
        let mut position = resume;
        while let Some(chunk) = body.next().await {
            splitter.push(&chunk.map_err(|e| engine_failure(&e))?);
            while let Some(event) = splitter.next_event().map_err(|e| broken(&e.to_string()))? {
                let last = event.data() == Some(STREAM_END);
                self.piece(position, event.0).await;
                position += 1;
                if last {
                    return Ok(position);
                }
            }
        }
        Err(broken("the stream stopped before its end"))
    }

    async fn piece(&mut self, position: u64, data: Bytes) {
        self.permit.progress();
        if let Some(record) = &mut self.record {
            record.body.extend_from_slice(&data);
        }
        self.send(Frame::Piece { position, data }).await;
    }

    /// A request that runs only once goes on when the entry has gone away.
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

fn conclusion(last: &Result<u64, Failure>, record: Option<Recording>) -> Conclusion {
    match last {
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

fn verdict_of(last: &Result<u64, Failure>) -> Verdict {
    match last {
        Ok(_) => Verdict::Good,
        Err(failure) if failure.kind == ErrorKind::Cancelled => Verdict::Cancelled,
        Err(_) => Verdict::Failed,
    }
}

/// Whether the upstream may have died under the request.
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

fn broken(detail: &str) -> Failure {
    Failure::new(ErrorKind::UpstreamFailed, detail).with_ran(Ran::Yes)
}

fn gone() -> Failure {
    Failure::new(ErrorKind::Cancelled, "the entry gave the request up")
}

fn late() -> Failure {
    Failure::new(
        ErrorKind::DeadlineExceeded,
        "the deadline passed while the request ran",
    )
}
