//! Compact text encoding (postcard in base64) of large values sent often or over slow links.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use pimentotide_model::{ErrorKind, Failure};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a value as base64 of its postcard bytes.
pub(super) fn encode<T>(value: &T) -> Result<String, Failure>
where
    T: Serialize,
{
    let bytes = postcard::to_stdvec(value)
        .map_err(|e| Failure::new(ErrorKind::Internal, format!("cannot be encoded: {e}")))?;
    Ok(STANDARD.encode(bytes))
}

/// Decodes a value written by [`encode`].
pub(super) fn decode<T>(text: &str) -> Result<T, Failure>
where
    T: DeserializeOwned,
{
    let malformed = |detail: String| Failure::new(ErrorKind::InvalidRequest, detail);
    let bytes = STANDARD
        .decode(text)
        .map_err(|e| malformed(format!("malformed text: {e}")))?;
    postcard::from_bytes(&bytes).map_err(|e| malformed(format!("malformed bytes: {e}")))
}
