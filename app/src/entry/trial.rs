//! How a request under suspicion of crashing upstreams may run.
//!
//! A content is under suspicion after it ran on an upstream that died. It runs
//! again only as the log admits it, so that no content crashes more than two
//! upstreams, whichever entries its copies come through.

use std::time::Duration;

use pimentotide_control::{Command, Response};
use pimentotide_instance::Submitter;
use pimentotide_model::{ErrorKind, Failure, Fingerprint, Ran};
use pimentotide_outcome::{Command as Journal, Crash, Reply, Ticket, Verdict, Witness};

use super::core::Core;
use super::placing::Placed;
use super::resolve::Job;

/// Time allowed for one command.
const TIMEOUT: Duration = Duration::from_secs(2);

/// How a request may run at the place that was chosen.
pub(super) enum Admission {
    /// Like any other.
    Free,
    /// As the only suspect of the upstream.
    Apart(Trial),
    /// At another upstream.
    Elsewhere,
    /// Not before this time has passed.
    After(Duration),
}

/// A suspect that runs; ends its trial when dropped.
pub(super) struct Trial {
    control: Submitter,
    content: Fingerprint,
    ticket: Ticket,
    finished: bool,
}

impl Trial {
    /// Notes that the content ran to its end, which clears it.
    pub(super) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let (control, content, ticket) = (self.control.clone(), self.content, self.ticket);
        let end = Journal::EndTrial {
            content,
            ticket,
            finished: self.finished,
        };
        actix_rt::spawn(async move {
            // A trial that is not ended runs out by itself.
            if let Err(e) = control.submit(&Command::Outcome(end), TIMEOUT).await {
                log::debug!("ending a trial failed: {e}");
            }
        });
    }
}

/// Asks how a suspected request may run.
pub(super) async fn ask(
    core: &Core,
    job: &Job,
    placed: &Placed,
    attempt: u32,
) -> Result<Admission, Failure> {
    let Some(control) = core.control().cloned() else {
        return Ok(Admission::Free);
    };
    let content = job.meta.fingerprint;
    let ticket = Ticket {
        request: job.meta.id,
        attempt,
    };
    let command = Command::Outcome(Journal::Trial {
        content,
        ticket,
        upstream: placed.upstream.clone(),
        allowed: job.meta.deadline.since(core.now()),
    });
    match control.submit(&command, TIMEOUT).await? {
        Response::Outcome(Reply::Verdict(verdict)) => match verdict {
            Verdict::Free => Ok(Admission::Free),
            Verdict::Apart => Ok(Admission::Apart(Trial {
                control,
                content,
                ticket,
                finished: false,
            })),
            Verdict::Occupied => Ok(Admission::Elsewhere),
            Verdict::Wait(pause) => Ok(Admission::After(pause)),
            Verdict::Refused(pause) => Err(refused(pause)),
        },
        other => {
            let detail = format!("unexpected response to a trial: {other:?}");
            Err(Failure::new(ErrorKind::Internal, detail).with_ran(Ran::No))
        }
    }
}

/// Reports that an agent was lost with a request.
pub(super) async fn report_loss(core: &Core, crash: Crash) {
    let Some(control) = core.control() else {
        return;
    };
    if let Err(e) = control
        .submit(&Command::Outcome(Journal::Crash(crash)), TIMEOUT)
        .await
    {
        log::warn!("the loss of an agent was not recorded: {e}");
    }
}

/// Builds the report of an agent that was lost with a request.
pub(super) fn loss(core: &Core, job: &Job, placed: &Placed) -> Crash {
    let view = core.view();
    Crash {
        upstream: placed.upstream.clone(),
        incarnation: placed.incarnation,
        zone: view.upstreams.get(&placed.upstream).map(|a| a.zone.clone()),
        witness: Witness::Entry,
        suspects: vec![job.meta.fingerprint],
    }
}

fn refused(pause: Duration) -> Failure {
    let failure = Failure::new(
        ErrorKind::CrashingRequest,
        "this content crashed two upstreams",
    );
    failure.with_ran(Ran::No).with_retry(pause)
}
