//! One attempt of a request at one upstream.

use pimentotide_instance::work::{Frame, FrameStream, WorkClient, WorkError, WorkOrder};
use pimentotide_model::{ErrorKind, Failure, Ran, RequestId};

use super::core::{Core, Flight};
use super::decision::Placed;
use super::resolve::Job;

/// Head of an upstream's answer.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
}

/// An attempt whose answer has begun; cancels itself when dropped unfinished.
pub(super) struct Attempt {
    frames: FrameStream,
    client: WorkClient,
    agent: std::net::SocketAddr,
    id: RequestId,
    finished: bool,
    _flight: Flight,
}

/// What an attempt yields next.
pub(super) enum Step {
    /// A piece of the answer at its position.
    Piece(u64, bytes::Bytes),
    /// The answer is whole, with so many pieces.
    End(u64),
}

impl Attempt {
    /// Sends the request and waits for the head of its answer.
    pub(super) async fn begin(
        core: &std::sync::Arc<Core>,
        client: &WorkClient,
        job: &Job,
        placed: &Placed,
        number: u32,
        resume: u64,
    ) -> Result<(Head, Self), Failure> {
        let flight = core.fly(&placed.upstream);
        let order = order(core, job, placed, number, resume);
        let frames = client
            .send(placed.agent, &order)
            .await
            .map_err(|e| work_failure(&e))?;
        let mut attempt = Self {
            frames,
            client: client.clone(),
            agent: placed.agent,
            id: job.meta.id,
            finished: false,
            _flight: flight,
        };
        match attempt.next_frame().await? {
            Frame::Head {
                status, headers, ..
            } => Ok((Head { status, headers }, attempt)),
            _ => Err(attempt.out_of_order()),
        }
    }

    /// Waits for the next piece or the end.
    pub(super) async fn next(&mut self) -> Result<Step, Failure> {
        match self.next_frame().await? {
            Frame::Piece { position, data } => Ok(Step::Piece(position, data)),
            Frame::End { pieces, .. } => {
                self.finished = true;
                Ok(Step::End(pieces))
            }
            _ => Err(self.out_of_order()),
        }
    }

    /// Refusals and failures of the agent come back as errors.
    async fn next_frame(&mut self) -> Result<Frame, Failure> {
        let frame = self
            .frames
            .next_frame()
            .await
            .map_err(|e| work_failure(&e))?;
        match frame {
            Frame::Refused { failure, .. } => {
                self.finished = true;
                Err(failure.with_ran(Ran::No))
            }
            Frame::Failed { failure } => {
                self.finished = true;
                Err(failure)
            }
            frame => Ok(frame),
        }
    }

    fn out_of_order(&self) -> Failure {
        Failure::new(
            ErrorKind::UpstreamFailed,
            "the agent sent a frame out of order",
        )
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.finished {
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

fn order(core: &Core, job: &Job, placed: &Placed, number: u32, resume: u64) -> WorkOrder {
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
        attempt: number,
        resume,
        method: job.call.method.clone(),
        path: job.call.path.clone(),
        headers: job.call.headers.clone(),
        body: job.call.body.to_vec(),
    }
}

fn work_failure(error: &WorkError) -> Failure {
    let ran = match error {
        WorkError::Unreachable(_) | WorkError::Rejected(_) => Ran::No,
        WorkError::Broken(_) => Ran::Unknown,
    };
    Failure::new(ErrorKind::UpstreamFailed, error.to_string()).with_ran(ran)
}
