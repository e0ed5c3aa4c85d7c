//! Runs a request whose answer is a stream of events.
//!
//! The caller gets the head once the first event is there, so that a send that
//! fails before it leaves no trace. A stream that is interrupted later continues
//! at another upstream behind the last event that the caller has, under the head
//! of the first one.

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use pimentotide_fleet::{Ended, Outcome, Step};
use pimentotide_model::{ErrorKind, Failure};
use pimentotide_platform::{Body, Relayed};
use pimentotide_upstream::StreamCursor;
use tokio::time::Instant;

use super::attempt::{Attempt, HeldTicket, Running, SendError};
use super::relay::refuse;
use crate::lines::{Answered, BrokenOff};

/// A stream on its way to the caller.
struct Run {
    attempt: Attempt,
    cursor: StreamCursor,
    source: Option<Source>,
    /// Events that wait to be passed on.
    ready: Bytes,
}

/// Stream of one upstream.
struct Source {
    body: Body,
    held: HeldTicket,
}

/// What came next.
enum Next {
    /// Whole events.
    Events(Bytes),
    /// The end of the stream.
    End,
    /// The send ended early.
    Ended(Ended),
}

/// Runs a streaming request.
pub(super) async fn run(attempt: Attempt) -> Relayed {
    let last = attempt
        .call
        .last_event
        .as_deref()
        .and_then(|id| id.parse().ok());
    let mut run = Run {
        attempt,
        cursor: StreamCursor::new(last),
        source: None,
        ready: Bytes::new(),
    };
    loop {
        let (ended, upstream) = match run.attempt.send(None).await {
            Ok(running) => {
                let upstream = running.held.upstream.clone();
                let Running { answer, held } = running;
                if !answer.status.is_success() {
                    return pass_failure(&run.attempt, answer, held).await;
                }
                let (status, headers) = (answer.status, answer.headers);
                run.start(answer.body, answer.unframed, held);
                match run.next().await {
                    Next::Events(events) => {
                        let waited = run.attempt.call.received.elapsed();
                        run.attempt.state.metrics().time(
                            "entry.first_event",
                            ("kind", "stream"),
                            waited,
                        );
                        run.ready = events;
                        return Relayed::Streamed {
                            status,
                            headers,
                            body: Box::pin(stream::unfold(Some(run), pass)),
                        };
                    }
                    Next::End => {
                        run.finish();
                        return Relayed::Whole {
                            status,
                            headers,
                            body: Bytes::new(),
                            unframed: false,
                        };
                    }
                    Next::Ended(ended) => (ended, upstream),
                }
            }
            Err(SendError::Ended(ended, upstream)) => (ended, upstream),
            Err(SendError::Refused(failure)) => {
                return refuse(&run.attempt.state, &run.attempt.call, failure);
            }
        };
        match run.attempt.after(ended, &upstream, 0) {
            Step::Again => run.cursor.discard_partial(),
            Step::Answer(kind) => {
                let failure = run
                    .attempt
                    .failure(kind, &format!("{ended:?} at {upstream}"));
                return refuse(&run.attempt.state, &run.attempt.call, failure);
            }
            Step::Pass => {
                let failure = run
                    .attempt
                    .failure(ErrorKind::UpstreamFailed, "the stream broke off");
                return refuse(&run.attempt.state, &run.attempt.call, failure);
            }
        }
    }
}

/// Passes an upstream's own failure on.
async fn pass_failure(
    attempt: &Attempt,
    answer: pimentotide_platform::Answer,
    held: HeldTicket,
) -> Relayed {
    let (status, headers) = (answer.status, answer.headers);
    let upstream = held.upstream.clone();
    let limit = Instant::from_std(attempt.limit());
    match tokio::time::timeout_at(limit, answer.body.read_all()).await {
        Ok(Ok(body)) => {
            held.end(Outcome::Failed);
            Relayed::Whole {
                status,
                headers,
                body,
                unframed: answer.unframed,
            }
        }
        Ok(Err(_)) | Err(_) => {
            held.end(Outcome::Failed);
            let detail = format!("{upstream} broke off its answer {status}");
            refuse(
                &attempt.state,
                &attempt.call,
                attempt.failure(ErrorKind::UpstreamFailed, &detail),
            )
        }
    }
}

/// Yields what comes next for the caller; ends after an error.
async fn pass(run: Option<Run>) -> Option<(Result<Bytes, Failure>, Option<Run>)> {
    let mut run = run?;
    if !run.ready.is_empty() {
        let events = std::mem::take(&mut run.ready);
        return Some((Ok(events), Some(run)));
    }
    loop {
        let ended = match run.next().await {
            Next::Events(events) => return Some((Ok(events), Some(run))),
            Next::End => {
                run.finish();
                return None;
            }
            Next::Ended(ended) => ended,
        };
        if let Err(failure) = run.resume(ended).await {
            pimentotide_observe::event(&BrokenOff {
                request: &run.attempt.call.id,
                events: run.cursor.forwarded(),
                kind: failure.kind.to_string(),
                detail: &failure.detail,
                after_ms: run.attempt.elapsed_ms(),
            });
            // Lets the server write out the events before the error drops them.
            tokio::task::yield_now().await;
            return Some((Err(failure), None));
        }
    }
}

impl Run {
    /// Takes over the stream of an upstream.
    ///
    /// One whose end does not show could pass for complete when it is cut, so it
    /// counts as broken off.
    fn start(&mut self, body: Body, unframed: bool, held: HeldTicket) {
        if unframed {
            held.end(Outcome::Neutral);
            return;
        }
        self.source = Some(Source { body, held });
    }

    /// Waits for whole events of the present source.
    async fn next(&mut self) -> Next {
        loop {
            let Some(source) = &mut self.source else {
                return Next::Ended(Ended::Broken);
            };
            let limit = Instant::from_std(self.attempt.limit());
            let silence = Instant::now() + self.attempt.state.silence();
            let part = tokio::time::timeout_at(limit.min(silence), source.body.next()).await;
            match part {
                Ok(Some(Ok(bytes))) => match self.cursor.push(&bytes) {
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => return Next::Events(events),
                    Err(e) => {
                        log::warn!("request {}: {e}", self.attempt.call.id);
                        return self.end(Outcome::Failed, Ended::Broken);
                    }
                },
                Ok(Some(Err(_))) => return self.end(Outcome::Failed, Ended::Broken),
                Ok(None) if self.cursor.is_partial() => {
                    return self.end(Outcome::Failed, Ended::Broken);
                }
                Ok(None) => return Next::End,
                Err(_) => return self.end(Outcome::Failed, Ended::Silent),
            }
        }
    }

    fn end(&mut self, outcome: Outcome, ended: Ended) -> Next {
        if let Some(source) = self.source.take() {
            source.held.end(outcome);
        }
        Next::Ended(ended)
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            self.attempt.count_answer("stream");
            pimentotide_observe::event(&Answered {
                request: &self.attempt.call.id,
                upstream: &source.held.upstream,
                status: 200,
                sends: self.attempt.sends,
                events: self.cursor.forwarded(),
                after_ms: self.attempt.elapsed_ms(),
            });
            source.held.end(Outcome::Good);
        }
    }

    /// Continues the stream at another upstream.
    async fn resume(&mut self, ended: Ended) -> Result<(), Failure> {
        let mut ended = ended;
        loop {
            let upstream = self.attempt.tried.last().cloned();
            let upstream = upstream.unwrap_or_else(|| "none".into());
            let step = self
                .attempt
                .after(ended, &upstream, self.cursor.forwarded());
            if step != Step::Again || self.attempt.left().is_zero() {
                let detail = format!("{ended:?} at {upstream}");
                return Err(self.attempt.failure(ErrorKind::StreamBroken, &detail));
            }
            self.cursor.discard_partial();
            let last = self.cursor.last().map(|id| id.to_string());
            match self.attempt.send(last).await {
                Ok(running) if running.answer.status.is_success() => {
                    let Running { answer, held } = running;
                    self.start(answer.body, answer.unframed, held);
                    return Ok(());
                }
                Ok(running) => {
                    running.held.end(Outcome::Failed);
                    ended = Ended::Failed;
                }
                Err(SendError::Ended(next, _)) => ended = next,
                Err(SendError::Refused(failure)) => return Err(failure),
            }
        }
    }
}
