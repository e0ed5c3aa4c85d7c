//! Runs callers' requests and counts their outcomes.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use pimentotide_caller::{Answer, AnswerBody, Call, EntryAdvice, Health, PieceStream, Service};
use pimentotide_instance::work::WorkClient;
use pimentotide_model::{ErrorKind, Failure, ModelName, Ran};

use super::core::Core;
use super::once;
use super::relay::Relay;

/// Runs the requests that one thread accepts.
#[derive(Clone)]
pub(super) struct Dispatcher {
    core: Arc<Core>,
    client: WorkClient,
}

impl Dispatcher {
    pub(super) fn new(core: Arc<Core>, client: WorkClient) -> Self {
        Self { core, client }
    }

    async fn run(self, call: Call) -> Result<Answer, Failure> {
        let keyed = call.key.is_some();
        let (job, running) = self
            .core
            .accept(call)
            .map_err(|f| mark_ran_unknown(f, keyed))?;
        let service = job.meta.service.clone();
        let core = Arc::clone(&self.core);
        let answer = if job.meta.idempotent {
            answer(Relay::new(self.core, self.client, job, running)).await
        } else {
            once::run(self.core, self.client, job, running).await
        };
        let outcome = match &answer {
            Ok(_) => "answered".to_owned(),
            Err(failure) => failure.kind.to_string(),
        };
        core.metrics()
            .count("entry.requests", ("outcome", &outcome), 1);
        log::debug!("service {service}: {outcome}");
        answer
    }
}

impl Service for Dispatcher {
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, Failure>> + 'static {
        self.clone().run(call)
    }

    fn entries(&self, zone: Option<&str>) -> EntryAdvice {
        self.core.advice(zone)
    }

    fn health(&self) -> Health {
        Health {
            instance: self.core.name().clone(),
            stopping: self.core.is_draining(),
        }
    }

    fn models(&self) -> Vec<ModelName> {
        self.core.models()
    }
}

async fn answer(mut relay: Relay) -> Result<Answer, Failure> {
    let head = relay.begin().await?;
    if relay.is_stream() && head.is_event_stream() {
        let (status, headers) = (head.status, head.headers);
        return Ok(Answer {
            status,
            headers,
            body: AnswerBody::Events(pieces(relay)),
        });
    }
    let (head, body) = relay.collect(head).await?;
    let (status, headers) = (head.status, head.headers);
    Ok(Answer {
        status,
        headers,
        body: AnswerBody::Whole(Bytes::from(body)),
    })
}

fn pieces(relay: Relay) -> PieceStream {
    let pieces = stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next_piece().await {
            Ok(Some(piece)) => Some((Ok(piece), Some(relay))),
            Ok(None) => None,
            Err(failure) => Some((Err(failure), None)),
        }
    });
    Box::pin(pieces)
}

/// Reports a keyed request that a stopping entry refuses as possibly run, since another entry may
/// have run a request with the same key.
fn mark_ran_unknown(failure: Failure, keyed: bool) -> Failure {
    if keyed && failure.kind == ErrorKind::Stopping {
        return failure.with_ran(Ran::Unknown);
    }
    failure
}
