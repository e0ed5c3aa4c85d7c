//! Encoding of commands, responses and snapshots: a version byte, then postcard.

use derive_more::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the encoding, the first byte of every encoded value.
const VERSION: u8 = 1;

/// Longest encoded command, bytes.
pub const MAX_COMMAND_BYTES: usize = 8 << 20;

/// Longest encoded snapshot, bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 2 << 30;

/// Why bytes could not be decoded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CodecError {
    /// The input is empty.
    #[display("expected a version byte, found nothing")]
    Empty,
    /// The version byte is not the supported version.
    #[display("expected version {VERSION}, found version {_0}")]
    Version(u8),
    /// The input is longer than the limit; holds its length in bytes.
    #[display("{_0} bytes exceed the limit")]
    Length(usize),
    /// The bytes after the version are not exactly one encoded value.
    #[display("the bytes are not an encoded value")]
    Malformed,
}

impl std::error::Error for CodecError {}

/// Encodes `value` after a version byte.
///
/// # Errors
///
/// Fails if the value contains something that the encoding cannot express.
pub fn encode<T>(value: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    postcard::to_extend(value, vec![VERSION]).map_err(|_| CodecError::Malformed)
}

/// Decodes a value of at most `max_bytes` bytes.
///
/// # Errors
///
/// Fails if the input is empty, longer than `max_bytes`, of another version,
/// or not exactly one encoded value; trailing bytes are an error.
pub fn decode<T>(bytes: &[u8], max_bytes: usize) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    if bytes.len() > max_bytes {
        return Err(CodecError::Length(bytes.len()));
    }
    let (version, body) = bytes.split_first().ok_or(CodecError::Empty)?;
    if *version != VERSION {
        return Err(CodecError::Version(*version));
    }
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(CodecError::Malformed),
    }
}
