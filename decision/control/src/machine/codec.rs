//! Bytes of commands, responses and snapshots: a version byte, then postcard.

use derive_more::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the encoding, the first byte of everything encoded.
const VERSION: u8 = 1;

/// Longest encoded command, bytes.
pub const MAX_COMMAND_BYTES: usize = 8 << 20;

/// Longest encoded snapshot, bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 2 << 30;

/// Why bytes could not be decoded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CodecError {
    /// No bytes at all.
    #[display("expected a version byte, found nothing")]
    Empty,
    /// Another version of the encoding.
    #[display("expected version {VERSION}, found version {_0}")]
    Version(u8),
    /// More bytes than allowed.
    #[display("{_0} bytes are too many")]
    Length(usize),
    /// Bytes that are not an encoded value.
    #[display("the bytes are not an encoded value")]
    Malformed,
}

impl std::error::Error for CodecError {}

/// Encodes `value` after a version byte.
///
/// # Errors
///
/// Fails if the value holds something that the encoding cannot express.
pub fn encode<T>(value: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    postcard::to_extend(value, vec![VERSION]).map_err(|_| CodecError::Malformed)
}

/// Decodes a value of at most `most` bytes; bytes left over are an error.
///
/// # Errors
///
/// Fails on another version, too many bytes or bytes that are not the value.
pub fn decode<T>(bytes: &[u8], most: usize) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    if bytes.len() > most {
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
