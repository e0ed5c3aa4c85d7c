//! Commands that entries and agents submit to the replicated log.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::types::ErrorObjectOwned;
use pimentotide_control::machine::{MAX_COMMAND_BYTES, decode, encode};
use pimentotide_control::{Command, Response};
use pimentotide_model::{ErrorKind, Failure, Fingerprint};

use serde::de::DeserializeOwned;

use crate::{PeerClient, rpc_error};

/// Method that takes an encoded command and answers with the encoded response.
const SUBMIT: &str = "control_submit";

/// Method that answers with the contents under suspicion.
const SUSPECTS: &str = "control_suspects";

/// Time that one replica has for an answer.
const ATTEMPT: Duration = Duration::from_millis(1_000);

/// Pause after all replicas have failed in turn.
const PAUSE: Duration = Duration::from_millis(50);

/// Replica that puts commands into the log.
pub trait Submit: Clone + Send + Sync + 'static {
    /// Proposes a command; completes once it is committed and applied.
    fn submit(&self, command: Command) -> impl Future<Output = Result<Response, Failure>> + Send;

    /// Contents that may not run like any other, as of a moment after the call.
    fn suspects(&self) -> impl Future<Output = Result<Vec<Fingerprint>, Failure>> + Send;
}

/// Builds the method by which other processes submit commands.
///
/// Orders of operators are refused, since they come through the operators' port.
///
/// # Errors
///
/// Fails if the method stands twice.
pub fn submit_module<S>(replica: S) -> Result<RpcModule<S>, RegisterMethodError>
where
    S: Submit,
{
    let mut module = RpcModule::new(replica);
    module.register_async_method(SUBMIT, |params, replica, _| async move {
        let text: String = params.one()?;
        let command = command_in(&text).map_err(|e| rpc_error(&e))?;
        let response = replica.submit(command).await.map_err(|e| rpc_error(&e))?;
        let bytes = encode(&response)
            .map_err(|e| rpc_error(&Failure::new(ErrorKind::Internal, e.to_string())))?;
        Ok::<String, ErrorObjectOwned>(STANDARD.encode(bytes))
    })?;
    module.register_async_method(SUSPECTS, |_, replica, _| async move {
        replica.suspects().await.map_err(|e| rpc_error(&e))
    })?;
    Ok(module)
}

fn command_in(text: &str) -> Result<Command, Failure> {
    let malformed = |detail: String| Failure::new(ErrorKind::InvalidRequest, detail);
    let bytes = STANDARD
        .decode(text)
        .map_err(|e| malformed(e.to_string()))?;
    let command = decode(&bytes, MAX_COMMAND_BYTES).map_err(|e| malformed(e.to_string()))?;
    if matches!(command, Command::Declare(_)) {
        let detail = "orders of operators are taken on the operators' port only";
        return Err(Failure::new(ErrorKind::Forbidden, detail));
    }
    Ok(command)
}

/// Submits commands to whichever replica takes them; clones share what they learn.
#[derive(Clone)]
pub struct Submitter {
    replicas: Arc<[PeerClient]>,
    preferred: Arc<AtomicUsize>,
}

impl Submitter {
    /// Prepares to submit to `replicas`.
    pub fn open(replicas: Vec<PeerClient>) -> Self {
        Self {
            replicas: replicas.into(),
            preferred: Arc::default(),
        }
    }

    /// Submits a command, to one replica after the other, for at most `limit`.
    ///
    /// Commands have to bear being submitted twice, since an answer may be lost.
    ///
    /// # Errors
    ///
    /// Fails with `NoQuorum` if no replica confirms the command in time; it may
    /// take effect all the same.
    pub async fn submit(&self, command: &Command, limit: Duration) -> Result<Response, Failure> {
        let internal = |detail: String| Failure::new(ErrorKind::Internal, detail);
        let text = STANDARD.encode(encode(command).map_err(|e| internal(e.to_string()))?);
        response_in(&self.ask::<String, _>(SUBMIT, [text], limit).await?)
    }

    /// Asks for the contents that may not run like any other.
    ///
    /// # Errors
    ///
    /// Fails with `NoQuorum` if no replica can vouch for its answer in time.
    pub async fn suspects(&self, limit: Duration) -> Result<Vec<Fingerprint>, Failure> {
        self.ask(SUSPECTS, [0; 0], limit).await
    }

    /// Asks one replica after the other until one answers.
    async fn ask<A, P>(&self, method: &str, params: P, limit: Duration) -> Result<A, Failure>
    where
        A: DeserializeOwned,
        P: ToRpcParams + Clone + Send,
    {
        let end = Instant::now() + limit;
        let mut failures = 0;
        while !self.replicas.is_empty() && Instant::now() < end {
            let position = self.preferred.load(Ordering::Relaxed) % self.replicas.len();
            let left = end.saturating_duration_since(Instant::now()).min(ATTEMPT);
            let replica = &self.replicas[position];
            match replica.call_within(left, method, params.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(e) if is_final(e.kind) => return Err(e),
                Err(e) => log::debug!("{method} at {} failed: {e}", replica.address()),
            }
            self.preferred.store(position + 1, Ordering::Relaxed);
            failures += 1;
            if failures % self.replicas.len() == 0 {
                tokio::time::sleep(PAUSE).await;
            }
        }
        Err(Failure::new(
            ErrorKind::NoQuorum,
            "no control replica answered in time",
        ))
    }
}

/// Whether another replica would refuse the command as well.
fn is_final(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::InvalidRequest | ErrorKind::Forbidden)
}

fn response_in(text: &str) -> Result<Response, Failure> {
    let malformed = |detail: String| Failure::new(ErrorKind::Internal, detail);
    let bytes = STANDARD
        .decode(text)
        .map_err(|e| malformed(e.to_string()))?;
    decode(&bytes, MAX_COMMAND_BYTES).map_err(|e| malformed(e.to_string()))
}
