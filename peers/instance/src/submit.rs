//! Submission of commands to the replicated log by entries and agents.

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

/// Method that accepts an encoded command and returns the encoded response.
const SUBMIT: &str = "control_submit";

/// Method that returns the fingerprints of requests suspected of crashing upstreams.
const SUSPECTS: &str = "control_suspects";

/// Limit for the answer of one replica.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay after every replica has failed once.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Replica that accepts commands for the log.
pub trait Submit: Clone + Send + Sync + 'static {
    /// Proposes a command; completes once it is committed and applied.
    fn submit(&self, command: Command) -> impl Future<Output = Result<Response, Failure>> + Send;

    /// Fingerprints of requests suspected of crashing upstreams, as of a time after the call.
    fn suspects(&self) -> impl Future<Output = Result<Vec<Fingerprint>, Failure>> + Send;
}

/// Builds the methods by which other processes submit commands and list suspects.
///
/// Rejects orders of operators, which are accepted on the operators' port only.
///
/// # Errors
///
/// Fails if a method is registered twice.
pub fn submit_module<S>(replica: S) -> Result<RpcModule<S>, RegisterMethodError>
where
    S: Submit,
{
    let mut module = RpcModule::new(replica);
    module.register_async_method(SUBMIT, |params, replica, _| async move {
        let text: String = params.one()?;
        let command = decode_command(&text).map_err(|e| rpc_error(&e))?;
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

fn decode_command(text: &str) -> Result<Command, Failure> {
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

/// Client that submits commands to any replica; clones share the preferred one.
#[derive(Clone)]
pub struct Submitter {
    replicas: Arc<[PeerClient]>,
    preferred: Arc<AtomicUsize>,
}

impl Submitter {
    /// Creates a submitter for `replicas`; connects on the first call.
    pub fn open(replicas: Vec<PeerClient>) -> Self {
        Self {
            replicas: replicas.into(),
            preferred: Arc::default(),
        }
    }

    /// Submits a command, trying the replicas in turn for at most `limit`.
    ///
    /// Commands must be idempotent: after a lost answer, a command is sent again.
    ///
    /// # Errors
    ///
    /// Fails with `NoQuorum` if no replica confirms the command in time; the
    /// command may still take effect.
    pub async fn submit(&self, command: &Command, limit: Duration) -> Result<Response, Failure> {
        let internal = |detail: String| Failure::new(ErrorKind::Internal, detail);
        let text = STANDARD.encode(encode(command).map_err(|e| internal(e.to_string()))?);
        decode_response(&self.call_any::<String, _>(SUBMIT, [text], limit).await?)
    }

    /// Returns the fingerprints of requests suspected of crashing upstreams.
    ///
    /// # Errors
    ///
    /// Fails with `NoQuorum` if no replica returns a confirmed answer in time.
    pub async fn suspects(&self, limit: Duration) -> Result<Vec<Fingerprint>, Failure> {
        self.call_any(SUSPECTS, [0; 0], limit).await
    }

    /// Calls the replicas in turn until one answers.
    async fn call_any<A, P>(&self, method: &str, params: P, limit: Duration) -> Result<A, Failure>
    where
        A: DeserializeOwned,
        P: ToRpcParams + Clone + Send,
    {
        let end = Instant::now() + limit;
        let mut failures = 0;
        while !self.replicas.is_empty() && Instant::now() < end {
            let position = self.preferred.load(Ordering::Relaxed) % self.replicas.len();
            let left = end
                .saturating_duration_since(Instant::now())
                .min(ATTEMPT_TIMEOUT);
            let replica = &self.replicas[position];
            match replica.call_within(left, method, params.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(e) if is_final(e.kind) => return Err(e),
                Err(e) => log::debug!("{method} at {} failed: {e}", replica.address()),
            }
            self.preferred.store(position + 1, Ordering::Relaxed);
            failures += 1;
            if failures % self.replicas.len() == 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        Err(Failure::new(
            ErrorKind::NoQuorum,
            "no control replica answered in time",
        ))
    }
}

/// Whether every other replica would reject the command too.
fn is_final(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::InvalidRequest | ErrorKind::Forbidden)
}

fn decode_response(text: &str) -> Result<Response, Failure> {
    let malformed = |detail: String| Failure::new(ErrorKind::Internal, detail);
    let bytes = STANDARD
        .decode(text)
        .map_err(|e| malformed(e.to_string()))?;
    decode(&bytes, MAX_COMMAND_BYTES).map_err(|e| malformed(e.to_string()))
}
