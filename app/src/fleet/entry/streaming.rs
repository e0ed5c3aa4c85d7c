//! Runs a request whose response is a stream of events.
//!
//! The caller receives the head with the first event, so that a send that fails
//! earlier stays invisible. A stream that is interrupted later resumes at another
//! upstream after the last event sent to the caller, under the first head. So does one whose
//! upstream becomes slow, if everything that this needs is at hand.
//!
//! A stream that is delimited by the close of its connection is complete if it ends between two
//! events, soon after the last one, and its upstream still answers.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use pimentotide_fleet::{Ended, Outcome, Step};
use pimentotide_model::{ErrorKind, Failure};
use pimentotide_platform::{Body, Relayed};
use pimentotide_upstream::StreamCursor;
use tokio::time::Instant;

use super::attempt::{Attempt, Destination, Running, SendError, TicketGuard};
use super::deadline::DeadlineStream;
use super::relay::{log_body_error, refuse};
use crate::lines::{Answered, BrokenOff};

/// Maximum time from the last event to the end of a stream without a length; a stream that is cut
/// off by a stalled group ends much later.
const MAX_END_DELAY: Duration = Duration::from_millis(500);
/// Time beyond the deadline after which a stream that its caller does not read is ended; one that is
/// read ends earlier.
const UNREAD_MARGIN: Duration = Duration::from_millis(200);

/// Stream to one caller, across the upstreams that produce it.
struct StreamRun {
    attempt: Attempt,
    cursor: StreamCursor,
    source: Option<Source>,
    /// Events not yet forwarded.
    pending: Bytes,
    /// Whether the stream has ended, and only its last events were left to forward.
    ended: bool,
}

/// Response stream of one upstream.
struct Source {
    body: Body,
    ticket: TicketGuard,
    /// Whether the stream is delimited by the close of its connection.
    unframed: bool,
    /// Time of the last complete event; `None` before the first.
    last_event: Option<Instant>,
}

/// Next item of a source.
enum Next {
    /// Complete events.
    Events(Bytes),
    /// Regular end of the stream.
    End,
    /// Early end of the send.
    Ended(Ended),
}

/// Runs a streaming request.
pub(super) async fn run(attempt: Attempt) -> Relayed {
    let last = attempt
        .call
        .last_event
        .as_deref()
        .and_then(|id| id.parse().ok());
    let mut run = StreamRun {
        attempt,
        cursor: StreamCursor::new(last),
        source: None,
        pending: Bytes::new(),
        ended: false,
    };
    loop {
        let (ended, upstream) = match run.attempt.send(None).await {
            Ok(running) => {
                let upstream = running.ticket.upstream.clone();
                let Running { answer, ticket } = running;
                if !answer.status.is_success() {
                    return forward_failure(&run.attempt, answer, ticket).await;
                }
                let (status, headers) = (answer.status, answer.headers);
                run.attach(answer.body, answer.unframed, ticket);
                match run.next().await {
                    Next::Events(events) => {
                        let waited = run.attempt.call.received.elapsed();
                        run.attempt.state.metrics().time(
                            "entry.first_event",
                            ("kind", "stream"),
                            waited,
                        );
                        run.pending = events;
                        return Relayed::Streamed {
                            status,
                            headers,
                            body: Box::pin(run.into_body()),
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
                    // A stream that was moved ended at another upstream.
                    Next::Ended(ended) => (ended, run.attempt.last_upstream().unwrap_or(upstream)),
                }
            }
            Err(SendError::Ended(ended, upstream)) => (ended, upstream),
            Err(SendError::Refused(failure)) => {
                return refuse(&run.attempt.state, &run.attempt.call, failure);
            }
        };
        match run.attempt.next_step(ended, &upstream, 0).await {
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

/// Forwards an upstream's own error response.
async fn forward_failure(
    attempt: &Attempt,
    answer: pimentotide_platform::Answer,
    ticket: TicketGuard,
) -> Relayed {
    let (status, headers) = (answer.status, answer.headers);
    let upstream = ticket.upstream.clone();
    let limit = Instant::from_std(attempt.answer_deadline());
    let reading = attempt.read_body(answer.body, answer.unframed);
    match tokio::time::timeout_at(limit, reading).await {
        Ok(Ok(body)) => {
            ticket.end(Outcome::Failed);
            Relayed::Whole {
                status,
                headers,
                body,
                unframed: answer.unframed,
            }
        }
        result => {
            ticket.end(match result {
                Ok(Err(e)) => log_body_error(&attempt.call.id, e),
                _ => Outcome::Failed,
            });
            let detail = format!("{upstream} broke off its answer {status}");
            refuse(
                &attempt.state,
                &attempt.call,
                attempt.failure(ErrorKind::UpstreamFailed, &detail),
            )
        }
    }
}

/// Yields the next events for the caller; the stream ends after an error.
async fn next_events(
    run: Option<StreamRun>,
) -> Option<(Result<Bytes, Failure>, Option<StreamRun>)> {
    let mut run = run?;
    if !run.pending.is_empty() {
        let events = std::mem::take(&mut run.pending);
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
            // Lets the server write out earlier events, which the error would discard.
            tokio::task::yield_now().await;
            return Some((Err(failure), None));
        }
    }
}

impl StreamRun {
    /// Returns the stream of events for the caller, which ends at the deadline also if it is not read.
    fn into_body(self) -> DeadlineStream<Result<Bytes, Failure>> {
        let request = self.attempt.call.id.clone();
        let metrics = self.attempt.state.metrics().clone();
        let deadline = Instant::from_std(self.attempt.answer_deadline()) + UNREAD_MARGIN;
        let events = stream::unfold(Some(self), next_events);
        DeadlineStream::new(events, deadline, move || {
            log::warn!("request {request}: the caller did not read its answer before the deadline");
            metrics.count("entry.interruptions", ("ended", "unread"), 1);
            Err(Failure::new(
                ErrorKind::StreamBroken,
                "the answer was not read in time",
            ))
        })
    }

    /// Attaches the stream of an upstream.
    fn attach(&mut self, body: Body, unframed: bool, ticket: TicketGuard) {
        self.source = Some(Source {
            body,
            ticket,
            unframed,
            last_event: None,
        });
    }

    /// Waits for complete events of the current source.
    ///
    /// The wait starts again only with an event that is new, since a stalled upstream may go on to
    /// send single bytes or comments. A stream that cannot go on elsewhere stays at a silent upstream
    /// until its deadline, unless its caller leaves.
    async fn next(&mut self) -> Next {
        if self.ended {
            return Next::End;
        }
        let mut waiting_since = Instant::now();
        let mut stays = false;
        loop {
            if let Some(fault) = self.cursor.fault() {
                log::warn!("request {}: {fault}", self.attempt.call.id);
                return self.end(Outcome::Failed, Ended::Broken);
            }
            let Some(source) = &mut self.source else {
                return Next::Ended(Ended::Broken);
            };
            let limit = Instant::from_std(self.attempt.answer_deadline());
            let silence = waiting_since + self.attempt.state.silence();
            let end = if stays { limit } else { limit.min(silence) };
            let reading = tokio::time::timeout_at(end, source.body.next());
            let withdrawn = self.attempt.state.until_refused(&self.attempt.digests);
            let relieved = self.attempt.until_relieved();
            let resumable = self.cursor.forwarded() == 0 || self.cursor.last().is_some();
            let part = tokio::select! {
                part = reading => part,
                () = withdrawn, if !self.attempt.is_sound() => {
                    return self.end(Outcome::Neutral, Ended::Withdrawn);
                }
                next = relieved, if resumable => match self.move_to(next).await {
                    Ok(()) => {
                        waiting_since = Instant::now();
                        stays = false;
                        continue;
                    }
                    Err(ended) => return Next::Ended(ended),
                },
            };
            let (before, progress) = (self.cursor.forwarded(), self.cursor.progress());
            match part {
                Ok(Some(Ok(bytes))) => match self.cursor.push(&bytes) {
                    Ok(events) if events.is_empty() => {
                        if self.cursor.progress() > progress {
                            waiting_since = Instant::now();
                            stays = false;
                        }
                        if self.cursor.is_holding() {
                            source.last_event = Some(Instant::now());
                        }
                    }
                    Ok(events) => {
                        source.last_event = Some(Instant::now());
                        self.attempt.record_events(self.cursor.forwarded() - before);
                        return Next::Events(events);
                    }
                    // The next round ends the source.
                    Err(_) => {}
                },
                Ok(Some(Err(e))) => {
                    let outcome = log_body_error(&self.attempt.call.id, e);
                    return self.end(outcome, Ended::Broken);
                }
                Ok(None) if self.cursor.is_partial() => {
                    return self.end(Outcome::Failed, Ended::Broken);
                }
                Ok(None) if source.unframed && !self.is_complete().await => {
                    return self.end(Outcome::Failed, Ended::Broken);
                }
                Ok(None) => {
                    let events = self.cursor.finish();
                    if events.is_empty() {
                        return Next::End;
                    }
                    self.ended = true;
                    return Next::Events(events);
                }
                Err(_) if Instant::now() < limit && !self.attempt.may_move() => {
                    self.record_silence();
                    stays = true;
                }
                Err(_) => return self.end(Outcome::Failed, Ended::Silent),
            }
        }
    }

    /// Whether a stream without a length, which has ended between two events, is complete.
    async fn is_complete(&self) -> bool {
        let last_event = self.source.as_ref().and_then(|s| s.last_event);
        if last_event.is_none_or(|at| at.elapsed() > MAX_END_DELAY) {
            return false;
        }
        let limit = Instant::from_std(self.attempt.answer_deadline());
        let silence = Instant::now() + self.attempt.state.silence();
        let running = self.attempt.is_upstream_running();
        let running = tokio::time::timeout_at(limit.min(silence), running).await;
        running.unwrap_or(false)
    }

    /// Records that the upstream is silent, although the stream stays there.
    fn record_silence(&self) {
        if let Some(source) = &self.source {
            source.ticket.record_silence();
        }
    }

    fn end(&mut self, outcome: Outcome, ended: Ended) -> Next {
        if let Some(source) = self.source.take() {
            source.ticket.end(outcome);
        }
        Next::Ended(ended)
    }

    /// Abandons the slow upstream and resumes the stream at the next one.
    async fn move_to(&mut self, next: Destination) -> Result<(), Ended> {
        if let Some(source) = self.source.take() {
            let upstream = source.ticket.upstream.clone();
            source.ticket.end(Outcome::Neutral);
            self.attempt.record_relief(&upstream);
        }
        self.cursor.discard_partial();
        let last = self.cursor.last().map(|id| id.to_string());
        match self.attempt.send_to(next, last).await {
            Ok(running) if running.answer.status.is_success() => {
                let Running { answer, ticket } = running;
                self.attach(answer.body, answer.unframed, ticket);
                Ok(())
            }
            Ok(running) => {
                running.ticket.end(Outcome::Failed);
                Err(Ended::Failed)
            }
            Err((ended, _)) => Err(ended),
        }
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            self.attempt.count_answer("stream");
            pimentotide_observe::event(&Answered {
                request: &self.attempt.call.id,
                upstream: &source.ticket.upstream,
                status: 200,
                sends: self.attempt.sends,
                events: self.cursor.forwarded(),
                after_ms: self.attempt.elapsed_ms(),
            });
            source.ticket.end(Outcome::Good);
            self.attempt.state.record_sound_run(&self.attempt.digests);
        }
    }

    /// Resumes the stream at another upstream.
    ///
    /// # Errors
    ///
    /// Fails if no retry is allowed, time has run out or no upstream is available.
    async fn resume(&mut self, ended: Ended) -> Result<(), Failure> {
        let mut ended = ended;
        loop {
            let upstream = self.attempt.last_upstream();
            let upstream = upstream.unwrap_or_else(|| "none".into());
            let step = self
                .attempt
                .next_step(ended, &upstream, self.cursor.forwarded())
                .await;
            if step != Step::Again || self.attempt.remaining().is_zero() {
                let detail = format!("{ended:?} at {upstream}");
                return Err(self.attempt.failure(ErrorKind::StreamBroken, &detail));
            }
            self.cursor.discard_partial();
            let last = self.cursor.last().map(|id| id.to_string());
            match self.attempt.send(last).await {
                Ok(running) if running.answer.status.is_success() => {
                    let Running { answer, ticket } = running;
                    self.attach(answer.body, answer.unframed, ticket);
                    return Ok(());
                }
                Ok(running) => {
                    running.ticket.end(Outcome::Failed);
                    ended = Ended::Failed;
                }
                Err(SendError::Ended(next, _)) => ended = next,
                Err(SendError::Refused(failure)) => return Err(failure),
            }
        }
    }
}
