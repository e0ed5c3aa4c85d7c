//! Relays one answer to the caller, retrying and resuming across attempts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pimentotide_instance::work::WorkClient;
use pimentotide_model::{ErrorKind, Failure, Ran, UpstreamName};
use pimentotide_routing::RetryBudget;

use super::attempt::{AnswerPart, Attempt, Head};
use super::core::{Core, Running};
use super::decision::{log_placed, log_refused};
use super::placing::{self, Placed};
use super::resolve::Job;
use super::trial::{self, Admission, Trial};

/// Maximum number of refusals by agents per request.
const MAX_REFUSALS: u32 = 16;

/// Delay before a suspected request is placed at another upstream.
const RELOCATION_DELAY: Duration = Duration::from_millis(50);

/// One answer on its way to the caller.
pub(super) struct Relay {
    core: Arc<Core>,
    client: WorkClient,
    job: Job,
    current: Option<Attempt>,
    tried: Vec<UpstreamName>,
    attempts: u32,
    refusals: u32,
    /// Failure of the last attempt that may have run.
    last_failure: Option<Failure>,
    /// Whether an attempt failed in a way that may have been a crash.
    maybe_crashed: bool,
    trial: Option<Trial>,
    /// Number of pieces passed to the caller.
    position: u64,
    _running: Running,
}

impl Relay {
    pub(super) fn new(core: Arc<Core>, client: WorkClient, job: Job, running: Running) -> Self {
        Self {
            core,
            client,
            job,
            current: None,
            tried: Vec::new(),
            attempts: 0,
            refusals: 0,
            last_failure: None,
            maybe_crashed: false,
            trial: None,
            position: 0,
            _running: running,
        }
    }

    /// Whether the answer is streamed.
    pub(super) fn is_stream(&self) -> bool {
        self.job.meta.stream
    }

    /// Places and retries the request until an upstream begins to answer.
    pub(super) async fn begin(&mut self) -> Result<Head, Failure> {
        loop {
            let placed = self.place().await?;
            let Some(placed) = self.admit(placed).await? else {
                continue;
            };
            match self.send(placed).await {
                Ok(head) => return Ok(head),
                Err(failure) => self.prepare_retry(failure).await?,
            }
        }
    }

    /// Requests admission for suspected content; returns `None` to place the request again.
    async fn admit(&mut self, placed: Placed) -> Result<Option<Placed>, Failure> {
        let suspected = self.maybe_crashed || self.core.is_suspect(&self.job.meta.fingerprint);
        if !suspected {
            return Ok(Some(placed));
        }
        let attempt = self.attempts + 1;
        let admission = trial::request_admission(&self.core, &self.job, &placed, attempt).await;
        match admission.map_err(|f| self.with_overall_ran(f))? {
            Admission::Unrestricted => {}
            Admission::Isolated(trial) => self.trial = Some(trial),
            Admission::OtherUpstream => {
                self.tried.push(placed.upstream.clone());
                tokio::time::sleep(RELOCATION_DELAY).await;
                return Ok(None);
            }
            Admission::Delayed(delay) if delay < self.time_left() => {
                tokio::time::sleep(delay).await;
                return Ok(None);
            }
            Admission::Delayed(delay) => {
                let detail = "the content is suspected of crashes; its retry is past the deadline";
                let failure = Failure::new(ErrorKind::NoUpstream, detail).with_retry(delay);
                return Err(self.with_overall_ran(failure));
            }
        }
        Ok(Some(placed))
    }

    /// Waits for the next piece for the caller; `None` at the end of the answer.
    pub(super) async fn next_piece(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.next_part().await {
                Ok(AnswerPart::Piece(data)) => {
                    self.position += 1;
                    return Ok(Some(data));
                }
                Ok(AnswerPart::End) => return Ok(None),
                Err(failure) => self.resume(failure).await?,
            }
        }
    }

    /// Collects the body of the answer that `head` begins; starts over when an attempt fails.
    pub(super) async fn collect(&mut self, mut head: Head) -> Result<(Head, Vec<u8>), Failure> {
        let mut body = Vec::new();
        loop {
            match self.next_part().await {
                Ok(AnswerPart::Piece(data)) => body.extend_from_slice(&data),
                Ok(AnswerPart::End) => return Ok((head, body)),
                Err(failure) => {
                    self.prepare_retry(failure).await?;
                    body.clear();
                    head = self.begin().await?;
                }
            }
        }
    }

    async fn next_part(&mut self) -> Result<AnswerPart, Failure> {
        let left = self.time_left();
        let Some(attempt) = &mut self.current else {
            return Err(Failure::new(ErrorKind::Internal, "no attempt is running"));
        };
        let part = tokio::time::timeout(left, attempt.next())
            .await
            .unwrap_or_else(|_| Err(deadline_exceeded()));
        if matches!(part, Ok(AnswerPart::End)) {
            self.core
                .record_success(&self.job.meta, &self.job.profile.retry);
            if let Some(trial) = self.trial.take() {
                trial.finish();
            }
        }
        part
    }

    async fn send(&mut self, placed: Placed) -> Result<Head, Failure> {
        log_placed(
            &self.job.meta,
            &self.job.profile.name,
            self.attempts + 1,
            &placed,
        );
        self.attempts += 1;
        self.tried.push(placed.upstream.clone());
        let (number, resume) = (self.attempts, self.position);
        let left = self.time_left();
        let begin = Attempt::begin(&self.core, &self.client, &self.job, placed, number, resume);
        let begun = tokio::time::timeout(left, begin)
            .await
            .unwrap_or_else(|_| Err(deadline_exceeded()));
        let (head, attempt) = begun?;
        self.current = Some(attempt);
        Ok(head)
    }

    async fn place(&mut self) -> Result<Placed, Failure> {
        let left = self.time_left();
        let place = placing::place(&self.core, &self.client, &self.job, &self.tried);
        let placed = match tokio::time::timeout(left, place).await {
            Ok(placed) => placed,
            Err(_) => Err(deadline_exceeded().with_ran(Ran::No)),
        };
        placed.map_err(|failure| {
            let revision = self.core.view().declarations.revision;
            let profile = &self.job.profile.name;
            log_refused(
                &self.job.meta,
                profile,
                self.attempts + 1,
                &failure.detail,
                revision,
            );
            self.with_overall_ran(failure)
        })
    }

    /// Sets whether any attempt of the request may have run, not only the last one.
    fn with_overall_ran(&self, failure: Failure) -> Failure {
        let ran = match &self.last_failure {
            Some(last) if last.ran != Ran::No => last.ran,
            _ => failure.ran,
        };
        failure.with_ran(ran)
    }

    /// Resumes the stream at another upstream after `failure`, from the next piece.
    async fn resume(&mut self, failure: Failure) -> Result<(), Failure> {
        let broken = |f| Failure {
            kind: ErrorKind::StreamBroken,
            ran: Ran::Yes,
            ..f
        };
        self.prepare_retry(failure).await.map_err(broken)?;
        let head = self.begin().await.map_err(broken)?;
        if head.is_event_stream() {
            return Ok(());
        }
        let detail = format!(
            "an upstream answered with status {} instead of resuming",
            head.status
        );
        Err(broken(Failure::new(ErrorKind::StreamBroken, detail)))
    }

    /// Waits for the retry delay, or returns `failure` if no further attempt is allowed.
    async fn prepare_retry(&mut self, failure: Failure) -> Result<(), Failure> {
        self.current = None;
        self.trial = None;
        if is_final(failure.kind) {
            return Err(self.with_overall_ran(failure));
        }
        if failure.ran == Ran::No {
            self.refusals += 1;
            if !RetryBudget::may_reroute(self.refusals) {
                // Upstreams that refused become candidates again, so that credits are requested from
                // their agents.
                self.tried.clear();
            }
            let exhausted = self.refusals >= MAX_REFUSALS || self.time_left().is_zero();
            return if exhausted {
                Err(self.with_overall_ran(failure))
            } else {
                Ok(())
            };
        }
        self.maybe_crashed = true;
        let attempts_run = self.attempts - self.refusals.min(self.attempts - 1);
        let Some(delay) = self.core.retry_delay(&self.job, attempts_run) else {
            return Err(failure);
        };
        self.last_failure = Some(failure);
        tokio::time::sleep(delay).await;
        Ok(())
    }

    fn time_left(&self) -> Duration {
        self.job.meta.deadline.since(self.core.now())
    }
}

/// Whether a retry at another upstream would fail in the same way.
fn is_final(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::InvalidRequest
            | ErrorKind::DeadlineExceeded
            | ErrorKind::Cancelled
            | ErrorKind::CrashingRequest
            | ErrorKind::Internal
    )
}

fn deadline_exceeded() -> Failure {
    Failure::new(ErrorKind::DeadlineExceeded, "the deadline passed")
}
