//! Claims on non-idempotent requests and the recorded outcomes.

use std::time::Duration;

use derive_more::{Display, From, Into};
use pimentotide_model::{
    ClaimId, Fingerprint, IdempotencyKey, Incarnation, RequestId, ServiceName, UpstreamName,
    WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::Blob;

/// Maximum size of headers and body together of an answer that is stored in full.
pub const MAX_RECORDED_BYTES: u64 = 128 << 10;

/// Maximum length of an idempotency key.
pub const MAX_KEY_BYTES: usize = 128;

/// Epoch of an agent's ledger; two ledgers of an agent never share one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct LedgerEpoch(pub u64);

/// Where a claim may run: one incarnation of an upstream under one ledger epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Upstream that runs the claim.
    pub upstream: UpstreamName,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Epoch of the agent's ledger.
    pub epoch: LedgerEpoch,
}

/// Identifies a proposal; a retried proposal keeps its ticket.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ticket {
    /// Request as identified by its entry.
    pub request: RequestId,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
}

/// Request for the right to run one non-idempotent request in one place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Identifies this proposal.
    pub ticket: Ticket,
    /// Workspace that the key belongs to.
    pub workspace: WorkspaceName,
    /// Requested service.
    pub service: ServiceName,
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
    /// Whether the entry generated the key.
    pub generated: bool,
    /// Digest of the request content.
    pub fingerprint: Fingerprint,
    /// Where the request will run.
    pub place: Place,
    /// Maximum run time, counted from the commit.
    pub allowed: Duration,
}

/// A granted claim together with its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRef {
    /// Workspace of the key.
    pub workspace: WorkspaceName,
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
    /// Number of the claim, assigned by the journal.
    pub claim: ClaimId,
}

/// Body of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// The complete body.
    Whole(Blob),
    /// Digest of a body too large to store.
    Digest {
        /// Length of the body in bytes.
        bytes: u64,
        /// BLAKE3 digest of the body.
        digest: [u8; 32],
    },
    /// Not stored: no retry can present a generated key.
    Omitted,
}

/// Answer of a request that ran to completion.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values in order; empty unless the body is stored in full.
    pub headers: Vec<(String, String)>,
    /// Body, or what replaces it in the record.
    pub body: Body,
}

impl Outcome {
    /// Returns the size of headers and body in a record, in bytes.
    pub fn size(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        let body = match &self.body {
            Body::Whole(blob) => blob.len(),
            Body::Digest { .. } | Body::Omitted => size_of::<Body>(),
        };
        (headers + body) as u64
    }

    /// Returns the form to record: complete, or with a digest if it exceeds
    /// [`MAX_RECORDED_BYTES`].
    #[must_use]
    pub fn bounded(&self) -> Self {
        if self.size() <= MAX_RECORDED_BYTES {
            return self.clone();
        }
        let body = match &self.body {
            Body::Whole(blob) => Body::Digest {
                bytes: blob.len() as u64,
                digest: *blake3::hash(blob).as_bytes(),
            },
            short @ (Body::Digest { .. } | Body::Omitted) => short.clone(),
        };
        Self {
            status: self.status,
            headers: Vec::new(),
            body,
        }
    }

    /// Returns the form to record under a generated key, without headers and body.
    #[must_use]
    pub fn omitted(&self) -> Self {
        Self {
            status: self.status,
            headers: Vec::new(),
            body: Body::Omitted,
        }
    }
}

/// Generates the key of a request that was received without one.
pub fn generated_key(request: RequestId) -> IdempotencyKey {
    IdempotencyKey::from(format!("generated-{request}"))
}
