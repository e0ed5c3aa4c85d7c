//! What callers ask, and what they are answered.

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

/// One request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifier given on arrival.
    pub id: RequestId,
    /// Workspace; the entry's default if none.
    pub workspace: Option<WorkspaceName>,
    /// Service that is asked by name.
    pub service: Option<ServiceName>,
    /// Model that is asked; none for plain services.
    pub model: Option<ModelName>,
    /// Version of the model.
    pub version: Option<VersionName>,
    /// Adapter of the model.
    pub adapter: Option<AdapterName>,
    /// Priority that the caller wants.
    pub priority: Option<Priority>,
    /// Time that the caller allows.
    pub deadline: Option<Duration>,
    /// Key that marks a retry.
    pub key: Option<IdempotencyKey>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Text by which prompts share a prefix.
    pub prompt: Bytes,
    /// HTTP method.
    pub method: String,
    /// Path and query for the upstream.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// Pieces of an answer as they arrive.
pub type PieceStream = Pin<Box<dyn Stream<Item = Result<Bytes, Failure>>>>;

/// Body of an answer.
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Server-sent events; a failure is told by a last event of type `error`.
    Events(PieceStream),
    /// Parts of a long body; a failure breaks the connection off.
    Parts(PieceStream),
}

/// Answer to a request.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: AnswerBody,
}

/// Which entries a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAdvice {
    /// Addresses, best first.
    pub addresses: Vec<(SocketAddr, ZoneName)>,
    /// How long to keep this answer.
    pub keep: Duration,
}

/// Whether an entry serves callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Whether it takes no new requests.
    pub stopping: bool,
}

/// Whatever places requests and runs them.
pub trait Service: Clone + 'static {
    /// Runs one request. Dropping the future gives the request up.
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, Failure>> + 'static;

    /// Names the entries that a caller in `zone` should use.
    fn entries(&self, zone: Option<&str>) -> EntryAdvice;

    /// Tells whether this entry serves callers.
    fn health(&self) -> Health;

    /// Names the models in service.
    fn models(&self) -> Vec<ModelName>;
}
