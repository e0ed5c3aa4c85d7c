//! Checksummed records, of which all files consist.
//!
//! A record is the length of its body (4 bytes), the checksum of length and
//! body (4 bytes), both little endian, and the body.

/// Bytes of length and checksum before the body.
pub(crate) const HEAD_BYTES: usize = 8;
/// Maximum body size; a greater length means damage.
const MAX_BODY_BYTES: usize = 1 << 30;

/// Encodes `body` as a record and appends it to `out`.
pub(crate) fn encode(body: &[u8], out: &mut Vec<u8>) {
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes();
    out.extend_from_slice(&length);
    out.extend_from_slice(&checksum(length, body).to_le_bytes());
    out.extend_from_slice(body);
}

/// Returns the body of the record at the start of `bytes`, if it is complete and undamaged.
pub(crate) fn decode(bytes: &[u8]) -> Option<&[u8]> {
    let length: [u8; 4] = bytes.get(..4)?.try_into().ok()?;
    let sum: [u8; 4] = bytes.get(4..HEAD_BYTES)?.try_into().ok()?;
    let size = usize::try_from(u32::from_le_bytes(length)).ok()?;
    if size == 0 || size > MAX_BODY_BYTES {
        return None;
    }
    let body = bytes.get(HEAD_BYTES..HEAD_BYTES.checked_add(size)?)?;
    (u32::from_le_bytes(sum) == checksum(length, body)).then_some(body)
}

fn checksum(length: [u8; 4], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(body);
    hasher.finalize()
}
