//! Admission of requests suspected of crashing upstreams.
//!
//! The content of a request is suspected after it ran on an upstream that
//! crashed. It runs again only as the replicated log admits it, so that no
//! content crashes more than two upstreams, whichever entries receive copies of
//! the request.

use std::time::Duration;

use pimentotide_control::{Command, Response};
use pimentotide_instance::Submitter;
use pimentotide_model::{ErrorKind, Failure, Fingerprint, Ran};
use pimentotide_outcome::{Command as OutcomeCommand, Crash, Reply, Ticket, Verdict, Witness};

use super::core::Core;
use super::placing::Placed;
use super::resolve::Job;

/// Timeout of committing one command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// Decision on whether and where a suspected request may run.
pub(super) enum Admission {
    /// May run without restrictions.
    Unrestricted,
    /// May run as the only suspect on the upstream.
    Isolated(Trial),
    /// May run only at another upstream.
    OtherUpstream,
    /// May run after this time.
    Delayed(Duration),
}

/// A running suspect; ends its trial when dropped.
pub(super) struct Trial {
    control: Submitter,
    content: Fingerprint,
    ticket: Ticket,
    finished: bool,
}

impl Trial {
    /// Records that the request completed, which clears its content.
    pub(super) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let (control, content, ticket) = (self.control.clone(), self.content, self.ticket);
        let end = OutcomeCommand::EndTrial {
            content,
            ticket,
            finished: self.finished,
        };
        actix_rt::spawn(async move {
            // A trial whose end is not recorded expires.
            if let Err(e) = control
                .submit(&Command::Outcome(end), COMMAND_TIMEOUT)
                .await
            {
                log::debug!("recording the end of a trial failed: {e}");
            }
        });
    }
}

/// Requests admission for a suspected request.
pub(super) async fn request_admission(
    core: &Core,
    job: &Job,
    placed: &Placed,
    attempt: u32,
) -> Result<Admission, Failure> {
    let Some(control) = core.control().cloned() else {
        return Ok(Admission::Unrestricted);
    };
    let content = job.meta.fingerprint;
    let ticket = Ticket {
        request: job.meta.id,
        attempt,
    };
    let command = Command::Outcome(OutcomeCommand::Trial {
        content,
        ticket,
        upstream: placed.upstream.clone(),
        allowed: job.meta.deadline.since(core.now()),
    });
    match control.submit(&command, COMMAND_TIMEOUT).await? {
        Response::Outcome(Reply::Verdict(verdict)) => match verdict {
            Verdict::Free => Ok(Admission::Unrestricted),
            Verdict::Apart => Ok(Admission::Isolated(Trial {
                control,
                content,
                ticket,
                finished: false,
            })),
            Verdict::Occupied => Ok(Admission::OtherUpstream),
            Verdict::Wait(delay) => Ok(Admission::Delayed(delay)),
            Verdict::Refused(delay) => Err(crashing_request(delay)),
        },
        other => {
            let detail = format!("unexpected response to a trial: {other:?}");
            Err(Failure::new(ErrorKind::Internal, detail).with_ran(Ran::No))
        }
    }
}

/// Records the failure of an agent that had received a request.
pub(super) async fn report_crash(core: &Core, crash: Crash) {
    let Some(control) = core.control() else {
        return;
    };
    if let Err(e) = control
        .submit(
            &Command::Outcome(OutcomeCommand::Crash(crash)),
            COMMAND_TIMEOUT,
        )
        .await
    {
        log::warn!("recording the failure of an agent failed: {e}");
    }
}

/// Builds the crash report for an agent that fails with a request.
pub(super) fn agent_crash(core: &Core, job: &Job, placed: &Placed) -> Crash {
    let view = core.view();
    Crash {
        upstream: placed.upstream.clone(),
        incarnation: placed.incarnation,
        zone: view.upstreams.get(&placed.upstream).map(|a| a.zone.clone()),
        witness: Witness::Entry,
        suspects: vec![job.meta.fingerprint],
    }
}

fn crashing_request(delay: Duration) -> Failure {
    let failure = Failure::new(
        ErrorKind::CrashingRequest,
        "this content crashed two upstreams",
    );
    failure.with_ran(Ran::No).with_retry(delay)
}
