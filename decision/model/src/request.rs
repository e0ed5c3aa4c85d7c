//! Metadata of one request, available before it is placed.

use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, Fingerprint, IdempotencyKey, ModelName, Priority, RequestId, ServiceName, Time,
    VersionName, WorkspaceName,
};

/// Time by which a request must be answered.
pub type Deadline = Time;

/// Placement attributes of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestMeta {
    /// Identifier, unique in the deployment.
    pub id: RequestId,
    /// Workspace on whose behalf the request runs.
    pub workspace: WorkspaceName,
    /// Requested service.
    pub service: ServiceName,
    /// Requested model; `None` for plain services.
    pub model: Option<ModelName>,
    /// Requested model version; any version if `None`.
    pub version: Option<VersionName>,
    /// Requested adapter, if any.
    pub adapter: Option<AdapterName>,
    /// Queue priority; higher is served first.
    pub priority: Priority,
    /// Time by which the request must be answered.
    pub deadline: Deadline,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Digest of the request's content.
    pub fingerprint: Fingerprint,
    /// Digests of the prompt's blocks; each also covers all preceding blocks.
    pub prefix: Vec<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
}
