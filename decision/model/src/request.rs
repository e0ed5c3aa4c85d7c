//! What the deployment knows about one request before it is placed.

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
    /// Identifier in the deployment.
    pub id: RequestId,
    /// Workspace on whose behalf it runs.
    pub workspace: WorkspaceName,
    /// Service that is asked.
    pub service: ServiceName,
    /// Model asked for; none for plain services.
    pub model: Option<ModelName>,
    /// Version asked for; any if none.
    pub version: Option<VersionName>,
    /// Adapter asked for.
    pub adapter: Option<AdapterName>,
    /// Priority: higher goes first.
    pub priority: Priority,
    /// Time by which it must be answered.
    pub deadline: Deadline,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Key by which the caller marks a retry.
    pub key: Option<IdempotencyKey>,
    /// Digest of the content.
    pub fingerprint: Fingerprint,
    /// Digests of the prompt's blocks, each covering all before it.
    pub prefix: Vec<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
}
