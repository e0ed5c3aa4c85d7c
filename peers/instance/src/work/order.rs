//! One request as an entry passes it to an agent.

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

/// One request with all that an agent has to know about it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkOrder {
    /// Identifier of the request.
    pub id: RequestId,
    /// Entry that sends it.
    pub entry: InstanceName,
    /// Start of the upstream that the entry means.
    pub incarnation: Incarnation,
    /// Configuration under which the entry placed it.
    pub revision: Revision,
    /// Workspace on whose behalf it runs.
    pub workspace: WorkspaceName,
    /// Service that is asked.
    pub service: ServiceName,
    /// Priority: higher goes first.
    pub priority: Priority,
    /// Time left until its deadline.
    pub remaining: Duration,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Key of the caller.
    pub key: Option<IdempotencyKey>,
    /// Right to run it; set for non-idempotent requests.
    pub claim: Option<HeldClaim>,
    /// Digest of the content.
    pub fingerprint: Fingerprint,
    /// Credit to use.
    pub credit: Option<CreditId>,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Pieces of the answer that the entry has already.
    pub resume: u64,
    /// Method of the HTTP request.
    pub method: String,
    /// Path and query of the HTTP request.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Claim under which a request runs, and where it may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldClaim {
    /// Claim.
    pub claim: ClaimId,
    /// Where it may run.
    pub place: Place,
}

/// Why an order cannot be read or written.
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
    /// Fails if the order is too large.
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
    /// Fails if the bytes are too many or not an order.
    pub fn decode(bytes: &[u8]) -> Result<Self, OrderError> {
        if bytes.len() > MAX_ORDER_BYTES {
            return Err(OrderError::TooLarge);
        }
        postcard::from_bytes(bytes).map_err(|e| OrderError::Malformed(e.to_string()))
    }
}
