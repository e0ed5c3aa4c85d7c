//! Passes one request on to the upstream and frames its answer.

use std::sync::Arc;

use actix_web::http::Method;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, pin_mut};
use pimentotide_instance::work::{Frame, WorkOrder};
use pimentotide_model::{ErrorKind, Failure, Ran};
use pimentotide_routing::Outcome;
use pimentotide_upstream::{
    EngineAnswer, EngineClient, EngineError, EngineRequest, EventSplitter, KEY_HEADER,
    PRIORITY_HEADER, REQUEST_HEADER, RESUME_HEADER, STREAM_END, is_hop_header,
};
use tokio::sync::mpsc;

use super::core::Core;
use super::permit::Permit;

thread_local! {
    static CLIENT: EngineClient = EngineClient::open();
}

/// Passes `order` on; its frames go to `sender`.
///
/// An idempotent request ends when the entry gives it up or its deadline
/// passes. Any other request runs to its end, since its effect cannot be taken
/// back.
pub(super) async fn forward(
    core: Arc<Core>,
    order: WorkOrder,
    mut permit: Permit,
    sender: mpsc::Sender<Frame>,
) {
    let last = run(&core, &order, &mut permit, &sender).await;
    permit.ended(outcome_of(&last));
    // The place is free before the entry learns of the end.
    drop(permit);
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

/// Runs the request to its end, or to where it is given up.
async fn run(
    core: &Arc<Core>,
    order: &WorkOrder,
    permit: &mut Permit,
    sender: &mpsc::Sender<Frame>,
) -> Result<u64, Failure> {
    let cancel = Arc::clone(&permit.cancel);
    let pass = pass(core, order, permit, sender);
    if !order.idempotent {
        return pass.await;
    }
    tokio::select! {
        last = pass => last,
        () = cancel.notified() => Err(gone()),
        () = sender.closed() => Err(gone()),
        () = tokio::time::sleep(order.remaining) => Err(late()),
    }
}

/// Sends the head and the pieces; returns the number of pieces of the whole answer.
async fn pass(
    core: &Arc<Core>,
    order: &WorkOrder,
    permit: &mut Permit,
    sender: &mpsc::Sender<Frame>,
) -> Result<u64, Failure> {
    let client = CLIENT.with(Clone::clone);
    let request = engine_request(order)?;
    let answer = client
        .send(permit.engine, &request)
        .await
        .map_err(|e| engine_failure(&e))?;
    let headers = answer
        .headers
        .iter()
        .filter(|(name, _)| !is_hop_header(name));
    let headers = headers
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())));
    let head = Frame::Head {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        report: core.report(),
    };
    let _ = sender.send(head).await;
    if is_event_stream(&answer) {
        pass_events(order.resume, answer.body, permit, sender).await
    } else {
        pass_chunks(answer.body, permit, sender).await
    }
}

async fn pass_chunks<S>(
    body: S,
    permit: &mut Permit,
    sender: &mpsc::Sender<Frame>,
) -> Result<u64, Failure>
where
    S: Stream<Item = Result<Bytes, EngineError>>,
{
    pin_mut!(body);
    let mut position = 0;
    while let Some(chunk) = body.next().await {
        let data = chunk.map_err(|e| engine_failure(&e))?;
        permit.progress();
        let _ = sender.send(Frame::Piece { position, data }).await;
        position += 1;
    }
    Ok(position)
}

async fn pass_events<S>(
    resume: u64,
    body: S,
    permit: &mut Permit,
    sender: &mpsc::Sender<Frame>,
) -> Result<u64, Failure>
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
            permit.progress();
            let _ = sender
                .send(Frame::Piece {
                    position,
                    data: event.0,
                })
                .await;
            position += 1;
            if last {
                return Ok(position);
            }
        }
    }
    Err(broken("the stream stopped before its end"))
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

fn outcome_of(last: &Result<u64, Failure>) -> Outcome {
    match last {
        Ok(_) => Outcome::Good,
        Err(failure) if failure.kind == ErrorKind::Cancelled => Outcome::Cancelled,
        Err(_) => Outcome::Failed,
    }
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
