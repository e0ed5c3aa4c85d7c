//! Bytes that serialize compactly in binary formats and as hex in text formats.

use std::fmt;

use bytes::Bytes;
use derive_more::{Deref, From, Into};
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Immutable bytes, cheap to clone.
#[derive(Clone, Debug, Default, Deref, From, Into, PartialEq, Eq, Hash)]
#[deref(forward)]
pub struct Blob(pub Bytes);

impl Serialize for Blob {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if serializer.is_human_readable() {
            serializer.serialize_str(&to_hex(&self.0))
        } else {
            serializer.serialize_bytes(&self.0)
        }
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(BlobVisitor)
        } else {
            deserializer.deserialize_byte_buf(BlobVisitor)
        }
    }
}

struct BlobVisitor;

impl Visitor<'_> for BlobVisitor {
    type Value = Blob;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes or a hex string")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Blob, E>
    where
        E: Error,
    {
        Ok(Blob(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Blob, E>
    where
        E: Error,
    {
        Ok(Blob(Bytes::from(bytes)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Blob, E>
    where
        E: Error,
    {
        from_hex(text)
            .map(Blob)
            .ok_or_else(|| E::custom("malformed hex"))
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Bytes> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits
        .chunks(2)
        .map(|pair| {
            let pair = std::str::from_utf8(pair).ok()?;
            u8::from_str_radix(pair, 16).ok()
        })
        .collect()
}
