//! What a claim names and what a finished request leaves behind.

use std::time::Duration;

use derive_more::{Display, From, Into};
use pimentotide_model::{
    ClaimId, Fingerprint, IdempotencyKey, Incarnation, RequestId, ServiceName, UpstreamName,
    WorkspaceName,
};
use serde::{Deserialize, Serialize};

use crate::Blob;

/// Largest answer, headers and body together, that is recorded whole.
pub const MAX_RECORDED_BYTES: u64 = 128 << 10;

/// Longest key of a request, bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Start of an agent's memory of claims: two memories never share a number.
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

/// Where a claim may run: one start of an upstream, one memory of its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Upstream.
    pub upstream: UpstreamName,
    /// Start of the upstream.
    pub incarnation: Incarnation,
    /// Memory of the agent.
    pub epoch: LedgerEpoch,
}

/// Identifies a proposal, the same when it is proposed again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ticket {
    /// Request at the entry.
    pub request: RequestId,
    /// Attempt of that request, from 1.
    pub attempt: u32,
}

/// Asks for the right to run one non-idempotent request in one place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Identifies this proposal.
    pub ticket: Ticket,
    /// Workspace that the key belongs to.
    pub workspace: WorkspaceName,
    /// Service that is asked.
    pub service: ServiceName,
    /// Key of the request.
    pub key: IdempotencyKey,
    /// Whether the entry made the key up.
    pub generated: bool,
    /// Digest of the content.
    pub fingerprint: Fingerprint,
    /// Where it will run.
    pub place: Place,
    /// Time that it may take from the commit on.
    pub allowed: Duration,
}

/// A granted claim together with the key that it stands for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRef {
    /// Workspace of the key.
    pub workspace: WorkspaceName,
    /// Key of the request.
    pub key: IdempotencyKey,
    /// Claim.
    pub claim: ClaimId,
}

/// Body of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// All of it.
    Whole(Blob),
    /// Too large to repeat.
    Digest {
        /// Length of the body.
        bytes: u64,
        /// BLAKE3 digest of the body.
        digest: [u8; 32],
    },
    /// Left out, since nobody can ask for it again.
    Omitted,
}

/// Answer of a request that ran to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Headers, in order.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Body,
}

impl Outcome {
    /// Bytes that it occupies in a record.
    pub fn size(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        let body = match &self.body {
            Body::Whole(blob) => blob.len(),
            Body::Digest { .. } | Body::Omitted => size_of::<Body>(),
        };
        (headers + body) as u64
    }

    /// Returns what is recorded of it: all, or a digest if it is too large.
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

    /// Returns what is recorded of it under a key that an entry made up.
    #[must_use]
    pub fn omitted(&self) -> Self {
        Self {
            status: self.status,
            headers: Vec::new(),
            body: Body::Omitted,
        }
    }
}

/// Makes up the key of a request that came without one.
pub fn generated_key(request: RequestId) -> IdempotencyKey {
    IdempotencyKey::from(format!("generated-{request}"))
}
