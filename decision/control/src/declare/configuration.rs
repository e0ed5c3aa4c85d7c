//! Declarations and their digest.

use derive_more::{Deref, Into};
use pimentotide_model::{Declarations, Fingerprint};
use serde::{Deserialize, Serialize};

/// Declarations in force and the digest by which two processes compare them.
#[derive(Clone, Debug, Deref, Into, PartialEq, Serialize, Deserialize)]
#[serde(from = "Declarations", into = "Declarations")]
pub struct Configuration {
    #[deref]
    declarations: Declarations,
    #[into(skip)]
    digest: Fingerprint,
}

impl Configuration {
    /// Combines declarations with the digest that another process has computed.
    ///
    /// Processes of different builds may compute different digests.
    pub fn with_digest(declarations: Declarations, digest: Fingerprint) -> Self {
        Self {
            declarations,
            digest,
        }
    }

    /// Declarations in force.
    pub fn declarations(&self) -> &Declarations {
        &self.declarations
    }

    /// Digest of the declarations, their revision included.
    pub fn digest(&self) -> Fingerprint {
        self.digest
    }
}

impl From<Declarations> for Configuration {
    fn from(declarations: Declarations) -> Self {
        let bytes = postcard::to_stdvec(&declarations).unwrap_or_default();
        Self {
            declarations,
            digest: Fingerprint::of([bytes.as_slice()]),
        }
    }
}

impl Default for Configuration {
    fn default() -> Self {
        Self::from(Declarations::default())
    }
}
