//! Encoded request from an entry to an agent.

use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{
    ClaimId, Fingerprint, IdempotencyKey, Incarnation, InstanceName, Priority, RequestId, Revision,
    ServiceName, WorkspaceName,
};
use pimentotide_outcome::Place;
use pimentotide_routing::CreditId;
use serde::{Deserialize, Serialize};

/// Largest encoded order, in bytes.
pub const MAX_ORDER_BYTES: usize = 20 << 20;

/// Request with everything that an agent needs to run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkOrder {
    /// Identifier of the request.
    pub id: RequestId,
    /// Entry that sends it.
    pub entry: InstanceName,
    /// Incarnation of the upstream that the entry selected.
    pub incarnation: Incarnation,
    /// Revision of the configuration under which the entry placed it.
    pub revision: Revision,
    /// Workspace on whose behalf it runs.
    pub workspace: WorkspaceName,
    /// Requested service.
    pub service: ServiceName,
    /// Priority; higher values are served first.
    pub priority: Priority,
    /// Time left until its deadline.
    pub remaining: Duration,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Idempotency key of the caller; `None` if the caller sent none.
    pub key: Option<IdempotencyKey>,
    /// Claim under which it may run; set for non-idempotent requests.
    pub claim: Option<HeldClaim>,
    /// Digest of the content.
    pub fingerprint: Fingerprint,
    /// Credit to redeem; `None` if the entry holds none.
    pub credit: Option<CreditId>,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Number of pieces of the answer that the entry has already received.
    pub resume: u64,
    /// Method of the HTTP request.
    pub method: String,
    /// Path and query of the HTTP request.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// Body of the HTTP request.
    pub body: Vec<u8>,
}

/// Claim under which a request runs, with the place that it is valid for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldClaim {
    /// Identifier of the claim.
    pub claim: ClaimId,
    /// Upstream, incarnation and ledger epoch in which it may run.
    pub place: Place,
}

/// Reason why an order cannot be encoded or decoded.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OrderError {
    /// Larger than [`MAX_ORDER_BYTES`].
    #[display("order larger than {MAX_ORDER_BYTES} bytes")]
    TooLarge,
    /// Not an encoded order.
    #[display("malformed order: {_0}")]
    Malformed(String),
}

impl std::error::Error for OrderError {}

impl WorkOrder {
    /// Encodes the order.
    ///
    /// # Errors
    ///
    /// Fails if the order is larger than [`MAX_ORDER_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, OrderError> {
        let bytes = postcard::to_stdvec(self).map_err(|e| OrderError::Malformed(e.to_string()))?;
        if bytes.len() > MAX_ORDER_BYTES {
            return Err(OrderError::TooLarge);
        }
        Ok(bytes)
    }

    /// Decodes an order.
    ///
    /// # Errors
    ///
    /// Fails if the bytes exceed [`MAX_ORDER_BYTES`] or are not an encoded order.
    pub fn decode(bytes: &[u8]) -> Result<Self, OrderError> {
        if bytes.len() > MAX_ORDER_BYTES {
            return Err(OrderError::TooLarge);
        }
        postcard::from_bytes(bytes).map_err(|e| OrderError::Malformed(e.to_string()))
    }
}
