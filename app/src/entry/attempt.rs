//! One attempt of a request at one upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pimentotide_instance::work::{Frame, FrameStream, WorkClient, WorkError, WorkOrder};
use pimentotide_model::{ErrorKind, Failure, LoadReport, Ran, RequestId, UpstreamName};
use pimentotide_outcome::Crash;
use pimentotide_routing::AttemptOutcome;

use super::core::Core;
use super::placing::{InFlight, Placed};
use super::resolve::Job;
use super::trial;

/// Time without progress after which an attempt at an ejected upstream is cancelled.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Head of an upstream's answer.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
}

/// One attempt; cancels itself at the agent when dropped unfinished.
pub(super) struct Attempt {
    frames: Option<FrameStream>,
    client: WorkClient,
    upstream: UpstreamName,
    agent: SocketAddr,
    id: RequestId,
    idempotent: bool,
    core: Arc<Core>,
    /// Crash to report if the agent fails.
    crash: Crash,
    in_flight: Option<InFlight>,
}

/// Part of an answer.
pub(super) enum AnswerPart {
    /// The next piece of the answer.
    Piece(bytes::Bytes),
    /// The answer is complete.
    End,
}

impl Head {
    /// Whether the body is a stream of server-sent events.
    pub(super) fn is_event_stream(&self) -> bool {
        self.headers
            .iter()
            .any(|(name, value)| name == "content-type" && value.starts_with("text/event-stream"))
    }
}

impl Attempt {
    /// Sends the request and waits for the head of its answer.
    pub(super) async fn begin(
        core: &Arc<Core>,
        client: &WorkClient,
        job: &Job,
        placed: Placed,
        number: u32,
        resume: u64,
    ) -> Result<(Head, Self), Failure> {
        let order = work_order(core, job, &placed, number, resume);
        let mut attempt = Self {
            frames: None,
            client: client.clone(),
            id: job.meta.id,
            idempotent: job.meta.idempotent,
            core: Arc::clone(core),
            crash: trial::agent_crash(core, job, &placed),
            upstream: placed.upstream,
            agent: placed.agent,
            in_flight: Some(placed.in_flight),
        };
        match attempt.send(&order).await? {
            Frame::Head {
                status, headers, ..
            } => Ok((Head { status, headers }, attempt)),
            _ => Err(attempt.unexpected_frame()),
        }
    }

    /// Waits for the next piece or the end.
    pub(super) async fn next(&mut self) -> Result<AnswerPart, Failure> {
        match self.watched_frame().await? {
            Frame::Piece { data, .. } => {
                if let Some(in_flight) = &mut self.in_flight {
                    in_flight.record_piece();
                }
                Ok(AnswerPart::Piece(data))
            }
            Frame::End { .. } => {
                self.finish(AttemptOutcome::Good);
                Ok(AnswerPart::End)
            }
            _ => Err(self.unexpected_frame()),
        }
    }

    async fn send(&mut self, order: &WorkOrder) -> Result<Frame, Failure> {
        let client = self.client.clone();
        match client.send(self.agent, order).await {
            Ok(frames) => self.frames = Some(frames),
            Err(e) => return Err(self.agent_failed(&e).await),
        }
        self.watched_frame().await
    }

    /// Waits for a frame, or fails once the upstream is ejected and sends nothing.
    async fn watched_frame(&mut self) -> Result<Frame, Failure> {
        let Some(stalled) = self.in_flight.as_ref().map(|f| Arc::clone(&f.stalled)) else {
            return Err(self.unexpected_frame());
        };
        loop {
            tokio::select! {
                frame = self.next_frame() => match frame {
                    Ok(Frame::Alive) => self.record_activity(),
                    frame => return frame,
                },
                () = stalled.notified() => if self.is_stalled() {
                    self.finish(AttemptOutcome::Cancelled);
                    return Err(Failure::new(ErrorKind::UpstreamFailed, "the upstream stalled"));
                },
            }
        }
    }

    fn record_activity(&mut self) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.record_activity();
        }
    }

    /// Whether a request that may run elsewhere has made no progress within the timeout.
    fn is_stalled(&self) -> bool {
        let idle = self.in_flight.as_ref().map(InFlight::idle_time);
        self.idempotent && idle.is_some_and(|t| t >= STALL_TIMEOUT)
    }

    /// Returns refusals and failures of the agent as errors.
    async fn next_frame(&mut self) -> Result<Frame, Failure> {
        let Some(frames) = &mut self.frames else {
            return Err(Failure::new(
                ErrorKind::Internal,
                "no answer is in progress",
            ));
        };
        let frame = match frames.next_frame().await {
            Ok(frame) => frame,
            Err(e) => return Err(self.agent_failed(&e).await),
        };
        match frame {
            Frame::Refused { failure, report } => {
                self.finish(AttemptOutcome::Refused(Some(report)));
                Err(failure.with_ran(Ran::No))
            }
            Frame::Failed { failure } => {
                self.finish(AttemptOutcome::Failed);
                Err(failure)
            }
            Frame::Head { report, .. } | Frame::End { report, .. } => {
                self.report(&report);
                Ok(frame)
            }
            frame @ (Frame::Piece { .. } | Frame::Alive) => Ok(frame),
        }
    }

    /// Returns the failure of an agent that did not answer, after recording the possible crash.
    async fn agent_failed(&mut self, error: &WorkError) -> Failure {
        self.finish(AttemptOutcome::Failed);
        let failure = work_failure(error);
        if failure.ran != Ran::No {
            trial::report_crash(&self.core, self.crash.clone()).await;
        }
        failure
    }

    fn report(&self, report: &LoadReport) {
        if let Some(in_flight) = &self.in_flight {
            in_flight.report(&self.upstream, report);
        }
    }

    fn finish(&mut self, outcome: AttemptOutcome) {
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.finish(outcome);
        }
    }

    fn unexpected_frame(&self) -> Failure {
        let detail = format!("the agent of {} sent an unexpected frame", self.upstream);
        Failure::new(ErrorKind::UpstreamFailed, detail)
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.in_flight.is_none() {
            return;
        }
        let (client, agent, id) = (self.client.clone(), self.agent, self.id);
        actix_rt::spawn(async move {
            // The agent also cancels the request when the connection closes.
            if let Err(e) = client.cancel(agent, id).await {
                log::debug!("cancelling {id} at {agent} failed: {e}");
            }
        });
    }
}

/// Builds the work order of attempt `number`, to resume at piece `resume`.
pub(super) fn work_order(
    core: &Core,
    job: &Job,
    placed: &Placed,
    number: u32,
    resume: u64,
) -> WorkOrder {
    let meta = &job.meta;
    WorkOrder {
        id: meta.id,
        entry: core.name().clone(),
        incarnation: placed.incarnation,
        revision: placed.revision,
        workspace: meta.workspace.clone(),
        service: meta.service.clone(),
        priority: meta.priority,
        remaining: meta.deadline.since(core.now()),
        idempotent: meta.idempotent,
        key: meta.key.clone(),
        claim: None,
        fingerprint: meta.fingerprint,
        credit: placed.credit,
        attempt: number,
        resume,
        method: job.call.method.clone(),
        path: job.call.path.clone(),
        headers: job.call.headers.clone(),
        body: job.call.body.to_vec(),
    }
}

fn work_failure(error: &WorkError) -> Failure {
    let ran = if error.is_not_forwarded() {
        Ran::No
    } else {
        Ran::Unknown
    };
    Failure::new(ErrorKind::UpstreamFailed, error.to_string()).with_ran(ran)
}
