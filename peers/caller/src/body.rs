//! Reads request bodies with limits on size and time.

use std::time::Duration;

use actix_web::web;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use pimentotide_model::{ErrorKind, Failure};

/// Maximum time between two chunks of a body.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time for a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body exceeds `limit`, a time limit expires or the connection fails.
pub(crate) async fn read(payload: web::Payload, limit: usize) -> Result<Bytes, Failure> {
    tokio::time::timeout(BODY_TIMEOUT, read_chunks(payload, limit))
        .await
        .unwrap_or_else(|_| Err(slow_caller("the request body took too long")))
}

async fn read_chunks(mut payload: web::Payload, limit: usize) -> Result<Bytes, Failure> {
    let mut body = BytesMut::new();
    loop {
        let chunk = tokio::time::timeout(CHUNK_TIMEOUT, payload.next())
            .await
            .map_err(|_| slow_caller("the request body stalled"))?;
        let Some(chunk) = chunk else {
            return Ok(body.freeze());
        };
        let chunk = chunk.map_err(|e| {
            Failure::new(
                ErrorKind::InvalidRequest,
                format!("the request body is incomplete: {e}"),
            )
        })?;
        if body.len() + chunk.len() > limit {
            let detail = format!("the request body exceeds {limit} bytes");
            return Err(Failure::new(ErrorKind::BodyTooLarge, detail));
        }
        body.extend_from_slice(&chunk);
    }
}

fn slow_caller(detail: &str) -> Failure {
    Failure::new(ErrorKind::SlowCaller, detail)
}
