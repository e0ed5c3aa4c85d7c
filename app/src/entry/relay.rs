//! Relays one answer, over as many attempts as it takes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pimentotide_instance::work::WorkClient;
use pimentotide_model::{ErrorKind, Failure, Ran, UpstreamName};
use pimentotide_routing::RetryBudget;

use super::attempt::{Attempt, Head, Step};
use super::core::{Core, Running};
use super::decision::{log_placed, log_refused};
use super::placing::{self, Placed};
use super::resolve::Job;
use super::trial::{self, Admission, Trial};

/// Refusals by agents after which a request is given up.
const MAX_REFUSALS: u32 = 16;

/// Pause before a suspect is placed at another upstream.
const ELSEWHERE_PAUSE: Duration = Duration::from_millis(50);

/// One answer on its way to the caller.
pub(super) struct Relay {
    core: Arc<Core>,
    client: WorkClient,
    job: Job,
    current: Option<Attempt>,
    tried: Vec<UpstreamName>,
    attempts: u32,
    refusals: u32,
    last: Option<Failure>,
    /// Whether an attempt failed in a way that may have been a crash.
    crashed: bool,
    trial: Option<Trial>,
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
            last: None,
            crashed: false,
            trial: None,
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
            let placed = self.place().await?;
            let Some(placed) = self.admitted(placed).await? else {
                continue;
            };
            match self.send(placed).await {
                Ok(head) => return Ok(head),
                Err(failure) => self.may_retry(failure).await?,
            }
        }
    }

    /// Asks for admission if the content is under suspicion; none to place it anew.
    async fn admitted(&mut self, placed: Placed) -> Result<Option<Placed>, Failure> {
        let suspected = self.crashed || self.core.is_suspect(&self.job.meta.fingerprint);
        if !suspected {
            return Ok(Some(placed));
        }
        let attempt = self.attempts + 1;
        let admission = trial::ask(&self.core, &self.job, &placed, attempt).await;
        match admission.map_err(|f| self.truth(f))? {
            Admission::Free => {}
            Admission::Apart(trial) => self.trial = Some(trial),
            Admission::Elsewhere => {
                self.tried.push(placed.upstream.clone());
                tokio::time::sleep(ELSEWHERE_PAUSE).await;
                return Ok(None);
            }
            Admission::After(pause) if pause < self.time_left() => {
                tokio::time::sleep(pause).await;
                return Ok(None);
            }
            Admission::After(pause) => {
                let detail = "the content is under suspicion and its turn comes too late";
                let failure = Failure::new(ErrorKind::NoUpstream, detail).with_retry(pause);
                return Err(self.truth(failure));
            }
        }
        Ok(Some(placed))
    }

    /// Waits for the next piece that the caller does not have; none at the end.
    pub(super) async fn next_piece(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.step().await {
                Ok(Step::Piece(data)) => {
                    self.position += 1;
                    return Ok(Some(data));
                }
                Ok(Step::End) => return Ok(None),
                Err(failure) => self.resume(failure).await?,
            }
        }
    }

    /// Collects the whole answer that `head` begins; starts again where an attempt breaks off.
    pub(super) async fn whole(&mut self, mut head: Head) -> Result<(Head, Vec<u8>), Failure> {
        let mut body = Vec::new();
        loop {
            match self.step().await {
                Ok(Step::Piece(data)) => body.extend_from_slice(&data),
                Ok(Step::End) => return Ok((head, body)),
                Err(failure) => {
                    self.may_retry(failure).await?;
                    body.clear();
                    head = self.begin().await?;
                }
            }
        }
    }

    async fn step(&mut self) -> Result<Step, Failure> {
        let left = self.time_left();
        let Some(attempt) = &mut self.current else {
            return Err(Failure::new(ErrorKind::Internal, "no attempt is running"));
        };
        let step = tokio::time::timeout(left, attempt.next())
            .await
            .unwrap_or_else(|_| Err(late()));
        if matches!(step, Ok(Step::End)) {
            self.core.succeeded(&self.job.meta, &self.job.profile.retry);
            if let Some(trial) = self.trial.take() {
                trial.finish();
            }
        }
        step
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
            .unwrap_or_else(|_| Err(late()));
        let (head, attempt) = begun?;
        self.current = Some(attempt);
        Ok(head)
    }

    async fn place(&mut self) -> Result<Placed, Failure> {
        let left = self.time_left();
        let place = placing::place(&self.core, &self.client, &self.job, &self.tried);
        let placed = match tokio::time::timeout(left, place).await {
            Ok(placed) => placed,
            Err(_) => Err(late().with_ran(Ran::No)),
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
            self.truth(failure)
        })
    }

    /// Tells what became of the request, not only of its last attempt.
    fn truth(&self, failure: Failure) -> Failure {
        let ran = match &self.last {
            Some(last) if last.ran != Ran::No => last.ran,
            _ => failure.ran,
        };
        failure.with_ran(ran)
    }

    /// Goes on elsewhere after `failure`, from the piece that comes next.
    async fn resume(&mut self, failure: Failure) -> Result<(), Failure> {
        let broken = |f| Failure {
            kind: ErrorKind::StreamBroken,
            ran: Ran::Yes,
            ..f
        };
        self.may_retry(failure).await.map_err(broken)?;
        let head = self.begin().await.map_err(broken)?;
        if head.is_event_stream() {
            return Ok(());
        }
        let detail = format!(
            "an upstream answered with status {} instead of going on",
            head.status
        );
        Err(broken(Failure::new(ErrorKind::StreamBroken, detail)))
    }

    /// Passes `failure` on unless another attempt is allowed.
    async fn may_retry(&mut self, failure: Failure) -> Result<(), Failure> {
        self.current = None;
        self.trial = None;
        if is_final(failure.kind) {
            return Err(self.truth(failure));
        }
        if failure.ran == Ran::No {
            self.refusals += 1;
            if !RetryBudget::may_reroute(self.refusals) {
                // The agents that refused may be asked for credits.
                self.tried.clear();
            }
            let hopeless = self.refusals >= MAX_REFUSALS || self.time_left().is_zero();
            return if hopeless {
                Err(self.truth(failure))
            } else {
                Ok(())
            };
        }
        self.crashed = true;
        let ran = self.attempts - self.refusals.min(self.attempts - 1);
        let Some(pause) = self.core.may_retry(&self.job, ran) else {
            return Err(failure);
        };
        self.last = Some(failure);
        tokio::time::sleep(pause).await;
        Ok(())
    }

    fn time_left(&self) -> Duration {
        self.job.meta.deadline.since(self.core.now())
    }
}

/// Whether no other upstream would answer differently.
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

fn late() -> Failure {
    Failure::new(ErrorKind::DeadlineExceeded, "the deadline passed")
}
