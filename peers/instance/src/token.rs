//! Shared secret that authenticates the processes of one deployment.

use std::fmt;

use derive_more::Display;

/// Shortest accepted secret, in bytes.
const MIN_BYTES: usize = 16;

/// Longest accepted secret, in bytes.
const MAX_BYTES: usize = 512;

const SCHEME: &str = "Bearer ";

/// Reason why a secret is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum TokenError {
    /// Too short or too long.
    #[display("expected {MIN_BYTES} to {MAX_BYTES} bytes")]
    Length,
    /// Contains characters other than printable ASCII.
    #[display("expected printable ASCII without spaces")]
    Characters,
}

impl std::error::Error for TokenError {}

/// Secret shared by all processes of one deployment.
#[derive(Clone)]
pub struct Token {
    header: String,
    digest: blake3::Hash,
}

impl Token {
    /// Parses a secret, ignoring surrounding white space.
    ///
    /// # Errors
    ///
    /// Fails if the secret is too short, too long or not printable ASCII.
    pub fn open(secret: &str) -> Result<Self, TokenError> {
        let secret = secret.trim();
        if !(MIN_BYTES..=MAX_BYTES).contains(&secret.len()) {
            return Err(TokenError::Length);
        }
        if !secret.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(TokenError::Characters);
        }
        let header = format!("{SCHEME}{secret}");
        let digest = blake3::hash(header.as_bytes());
        Ok(Self { header, digest })
    }

    /// Value of the `Authorization` header to send.
    pub fn header(&self) -> &str {
        &self.header
    }

    /// Whether an `Authorization` header carries this secret.
    ///
    /// Compares digests, so that the time does not depend on where the two differ.
    pub fn admits(&self, header: Option<&[u8]>) -> bool {
        header.is_some_and(|h| blake3::hash(h) == self.digest)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
