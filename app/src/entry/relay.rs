//! Relays one answer, over as many attempts as it takes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pimentotide_instance::work::WorkClient;
use pimentotide_model::{ErrorKind, Failure, Ran, UpstreamName};

use super::attempt::{Attempt, Head, Step};
use super::core::{Core, Running};
use super::decision::{log_placed, log_refused};
use super::resolve::Job;

/// Refusals by agents after which a request is given up.
const MAX_REFUSALS: u32 = 8;

/// One answer on its way to the caller.
pub(super) struct Relay {
    core: Arc<Core>,
    client: WorkClient,
    job: Job,
    current: Option<Attempt>,
    tried: Vec<UpstreamName>,
    attempts: u32,
    refusals: u32,
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
            position: 0,
            _running: running,
        }
    }

    /// Whether the answer is streamed.
    pub(super) fn is_stream(&self) -> bool {
        self.job.meta.stream
    }

    /// Places the request until an upstream begins to answer.
    pub(super) async fn begin(&mut self) -> Result<Head, Failure> {
        loop {
            match self.try_once().await {
                Ok(head) => return Ok(head),
                Err(failure) => self.may_retry(failure)?,
            }
        }
    }

    /// Waits for the next piece that the caller does not have; none at the end.
    pub(super) async fn next_piece(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.step().await {
                Ok(Step::Piece(position, data)) if position == self.position => {
                    self.position += 1;
                    return Ok(Some(data));
                }
                // The caller has this piece from an earlier attempt.
                Ok(Step::Piece(position, _)) if position < self.position => {}
                Ok(Step::End(pieces)) if pieces == self.position => return Ok(None),
                Ok(_) => {
                    let gap = Failure::new(ErrorKind::StreamBroken, "a piece is missing");
                    self.resume(gap).await?;
                }
                Err(failure) => self.resume(failure).await?,
            }
        }
    }

    /// Collects the whole body; starts again where an attempt breaks off.
    pub(super) async fn whole(&mut self) -> Result<Vec<u8>, Failure> {
        let mut body = Vec::new();
        while let Some(piece) = self.next_whole_piece(&mut body).await? {
            body.extend_from_slice(&piece);
        }
        Ok(body)
    }

    async fn next_whole_piece(&mut self, body: &mut Vec<u8>) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.step().await {
                Ok(Step::Piece(_, data)) => return Ok(Some(data)),
                Ok(Step::End(_)) => return Ok(None),
                Err(failure) => {
                    self.may_retry(failure)?;
                    body.clear();
                    self.begin().await?;
                }
            }
        }
    }

    async fn step(&mut self) -> Result<Step, Failure> {
        let left = self.time_left();
        let Some(attempt) = &mut self.current else {
            return Err(Failure::new(ErrorKind::Internal, "no attempt is running"));
        };
        tokio::time::timeout(left, attempt.next())
            .await
            .unwrap_or_else(|_| Err(late()))
    }

    async fn try_once(&mut self) -> Result<Head, Failure> {
        self.attempts += 1;
        let profile = self.job.profile.name.clone();
        let placed = match self.core.place(&self.job.meta, &self.tried) {
            Ok(placed) => placed,
            Err(failure) => {
                let revision = self.core.view().declarations.revision;
                log_refused(
                    &self.job.meta,
                    &profile,
                    self.attempts,
                    &failure.detail,
                    revision,
                );
                return Err(failure);
            }
        };
        log_placed(&self.job.meta, &profile, self.attempts, &placed);
        self.tried.push(placed.upstream.clone());
        let left = self.time_left();
        let begin = Attempt::begin(
            &self.core,
            &self.client,
            &self.job,
            &placed,
            self.attempts,
            self.position,
        );
        let begun = tokio::time::timeout(left, begin)
            .await
            .unwrap_or_else(|_| Err(late()));
        let (head, attempt) = begun?;
        self.current = Some(attempt);
        Ok(head)
    }

    /// Goes on elsewhere after `failure`, from the piece that comes next.
    async fn resume(&mut self, failure: Failure) -> Result<(), Failure> {
        self.may_retry(failure).map_err(|f| Failure {
            kind: ErrorKind::StreamBroken,
            ran: Ran::Yes,
            ..f
        })?;
        self.begin().await.map(drop)
    }

    /// Passes `failure` on unless another attempt is allowed.
    fn may_retry(&mut self, failure: Failure) -> Result<(), Failure> {
        self.current = None;
        if failure.kind == ErrorKind::NoUpstream && self.tried.is_empty() {
            return Err(failure);
        }
        let harmless = failure.ran == Ran::No;
        if harmless {
            self.refusals += 1;
        }
        let left = self.attempts < self.job.profile.retry.attempts + self.refusals;
        let allowed = left && self.refusals <= MAX_REFUSALS && !self.time_left().is_zero();
        let placed_all = failure.kind == ErrorKind::NoUpstream;
        if allowed && !placed_all && (harmless || self.job.meta.idempotent) {
            return Ok(());
        }
        Err(failure)
    }

    fn time_left(&self) -> Duration {
        self.job.meta.deadline.since(self.core.now())
    }
}

fn late() -> Failure {
    Failure::new(ErrorKind::DeadlineExceeded, "the deadline passed")
}
