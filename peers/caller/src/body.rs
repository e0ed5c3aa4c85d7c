//! Reads request bodies within a size and a time.

use std::time::Duration;

use actix_web::web;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use pimentotide_model::{ErrorKind, Failure};

/// Longest pause between two parts of a body.
const PART_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is too large, comes too slowly or breaks off.
pub(crate) async fn read(payload: web::Payload, limit: usize) -> Result<Bytes, Failure> {
    tokio::time::timeout(BODY_TIMEOUT, read_parts(payload, limit))
        .await
        .unwrap_or_else(|_| Err(slow("the body took too long")))
}

async fn read_parts(mut payload: web::Payload, limit: usize) -> Result<Bytes, Failure> {
    let mut body = BytesMut::new();
    loop {
        let part = tokio::time::timeout(PART_TIMEOUT, payload.next())
            .await
            .map_err(|_| slow("the body stopped arriving"))?;
        let Some(part) = part else {
            return Ok(body.freeze());
        };
        let part = part.map_err(|e| {
            Failure::new(
                ErrorKind::InvalidRequest,
                format!("the body broke off: {e}"),
            )
        })?;
        if body.len() + part.len() > limit {
            let detail = format!("the body is larger than {limit} bytes");
            return Err(Failure::new(ErrorKind::BodyTooLarge, detail));
        }
        body.extend_from_slice(&part);
    }
}

fn slow(detail: &str) -> Failure {
    Failure::new(ErrorKind::SlowCaller, detail)
}
