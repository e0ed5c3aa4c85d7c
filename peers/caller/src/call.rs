//! Requests of callers, their answers and the service behind the interface.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use pimentotide_model::{
    AdapterName, Failure, IdempotencyKey, InstanceName, ModelName, Priority, RequestId,
    ServiceName, VersionName, WorkspaceName, ZoneName,
};
use serde::{Deserialize, Serialize};

/// Parsed request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifier assigned on arrival.
    pub id: RequestId,
    /// Workspace of the caller; the entry's default if `None`.
    pub workspace: Option<WorkspaceName>,
    /// Service requested by name; chosen by the model if `None`.
    pub service: Option<ServiceName>,
    /// Requested model; `None` for plain services.
    pub model: Option<ModelName>,
    /// Requested version of the model.
    pub version: Option<VersionName>,
    /// Requested adapter of the model.
    pub adapter: Option<AdapterName>,
    /// Requested priority.
    pub priority: Option<Priority>,
    /// Time allowed by the caller, from the arrival of the request.
    pub deadline: Option<Duration>,
    /// Idempotency key, equal for all retries of a request.
    pub key: Option<IdempotencyKey>,
    /// Whether to stream the answer.
    pub stream: bool,
    /// Raw JSON of the prompt or messages, for prefix-aware placement; empty for plain services.
    pub prompt: Bytes,
    /// HTTP method.
    pub method: String,
    /// Path and query for the upstream.
    pub path: String,
    /// Headers to forward to the upstream.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
}

/// Chunks of an answer in order of arrival.
pub type PieceStream = Pin<Box<dyn Stream<Item = Result<Bytes, Failure>>>>;

/// Body of an answer.
pub enum AnswerBody {
    /// Complete body.
    Whole(Bytes),
    /// Server-sent events; a failure ends the stream with an event of type `error`.
    Events(PieceStream),
    /// Chunks of a long body; a failure closes the connection.
    Parts(PieceStream),
}

/// Answer to a request.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: AnswerBody,
}

/// Entries that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAdvice {
    /// Addresses with their zones, in order of preference.
    pub addresses: Vec<(SocketAddr, ZoneName)>,
    /// Time for which the caller may cache this advice.
    pub keep: Duration,
}

/// Health of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Whether the entry is stopping and accepts no new requests.
    pub stopping: bool,
}

/// Service that places and executes requests.
pub trait Service: Clone + 'static {
    /// Executes one request; dropping the future cancels it.
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, Failure>> + 'static;

    /// Returns the entries that a caller in `zone` should use.
    fn entries(&self, zone: Option<&str>) -> EntryAdvice;

    /// Returns the health of this entry.
    fn health(&self) -> Health;

    /// Returns the models in service.
    fn models(&self) -> Vec<ModelName>;
}
