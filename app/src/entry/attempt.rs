//! One attempt of a request at one upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pimentotide_instance::work::{Frame, FrameStream, WorkClient, WorkError, WorkOrder};
use pimentotide_model::{ErrorKind, Failure, LoadReport, Ran, RequestId, UpstreamName};
use pimentotide_outcome::Crash;
use pimentotide_routing::AttemptOutcome;

use super::core::Core;
use super::placing::{Flight, Placed};
use super::resolve::Job;
use super::trial;

/// Silence after which an attempt at an ejected upstream is given up.
const STALL_SILENCE: Duration = Duration::from_secs(1);

/// Head of an upstream's answer.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
}

/// An attempt whose answer has begun; cancels itself when dropped unfinished.
pub(super) struct Attempt {
    frames: Option<FrameStream>,
    client: WorkClient,
    upstream: UpstreamName,
    agent: SocketAddr,
    id: RequestId,
    idempotent: bool,
    core: Arc<Core>,
    /// What to report if the agent is lost.
    loss: Crash,
    flight: Option<Flight>,
}

/// What an attempt yields next.
pub(super) enum Step {
    /// The next piece of the answer.
    Piece(bytes::Bytes),
    /// The answer is whole.
    End,
}

impl Head {
    /// Whether server-sent events follow.
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
        let order = order(core, job, &placed, number, resume);
        let mut attempt = Self {
            frames: None,
            client: client.clone(),
            id: job.meta.id,
            idempotent: job.meta.idempotent,
            core: Arc::clone(core),
            loss: trial::loss(core, job, &placed),
            upstream: placed.upstream,
            agent: placed.agent,
            flight: Some(placed.flight),
        };
        match attempt.send(&order).await? {
            Frame::Head {
                status, headers, ..
            } => Ok((Head { status, headers }, attempt)),
            _ => Err(attempt.out_of_order()),
        }
    }

    /// Waits for the next piece or the end.
    pub(super) async fn next(&mut self) -> Result<Step, Failure> {
        match self.watched_frame().await? {
            Frame::Piece { data, .. } => {
                if let Some(flight) = &mut self.flight {
                    flight.progress();
                }
                Ok(Step::Piece(data))
            }
            Frame::End { .. } => {
                self.finish(AttemptOutcome::Good);
                Ok(Step::End)
            }
            _ => Err(self.out_of_order()),
        }
    }

    async fn send(&mut self, order: &WorkOrder) -> Result<Frame, Failure> {
        let client = self.client.clone();
        match client.send(self.agent, order).await {
            Ok(frames) => self.frames = Some(frames),
            Err(e) => return Err(self.lost(&e).await),
        }
        self.watched_frame().await
    }

    /// Waits for a frame, unless the upstream is ejected and nothing comes.
    async fn watched_frame(&mut self) -> Result<Frame, Failure> {
        let Some(stalled) = self.flight.as_ref().map(|f| Arc::clone(&f.stalled)) else {
            return Err(self.out_of_order());
        };
        loop {
            tokio::select! {
                frame = self.next_frame() => match frame {
                    Ok(Frame::Alive) => self.alive(),
                    frame => return frame,
                },
                () = stalled.notified() => if self.is_silent() {
                    self.finish(AttemptOutcome::Cancelled);
                    return Err(Failure::new(ErrorKind::UpstreamFailed, "no progress"));
                },
            }
        }
    }

    fn alive(&mut self) {
        if let Some(flight) = &mut self.flight {
            flight.alive();
        }
    }

    /// Whether nothing has come for long of a request that may run elsewhere.
    fn is_silent(&self) -> bool {
        let silence = self.flight.as_ref().map(Flight::silence);
        self.idempotent && silence.is_some_and(|s| s >= STALL_SILENCE)
    }

    /// Refusals and failures of the agent come back as errors.
    async fn next_frame(&mut self) -> Result<Frame, Failure> {
        let Some(frames) = &mut self.frames else {
            return Err(Failure::new(ErrorKind::Internal, "no answer is under way"));
        };
        let frame = match frames.next_frame().await {
            Ok(frame) => frame,
            Err(e) => return Err(self.lost(&e).await),
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

    /// Tells of an agent that gave no answer, once its loss is recorded.
    async fn lost(&mut self, error: &WorkError) -> Failure {
        self.finish(AttemptOutcome::Failed);
        let failure = work_failure(error);
        if failure.ran != Ran::No {
            trial::report_loss(&self.core, self.loss.clone()).await;
        }
        failure
    }

    fn report(&self, report: &LoadReport) {
        if let Some(flight) = &self.flight {
            flight.report(&self.upstream, report);
        }
    }

    fn finish(&mut self, verdict: AttemptOutcome) {
        if let Some(flight) = self.flight.take() {
            flight.finish(verdict);
        }
    }

    fn out_of_order(&self) -> Failure {
        let detail = format!("the agent of {} sent a frame out of order", self.upstream);
        Failure::new(ErrorKind::UpstreamFailed, detail)
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.flight.is_none() {
            return;
        }
        let (client, agent, id) = (self.client.clone(), self.agent, self.id);
        actix_rt::spawn(async move {
            // The agent also notices when the connection closes.
            if let Err(e) = client.cancel(agent, id).await {
                log::debug!("cancelling {id} at {agent} failed: {e}");
            }
        });
    }
}

pub(super) fn order(
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
