//! Reads request bodies with limits on size and time.

use std::time::Duration;

use actix_web::body::{self, BoxBody, SizedStream};
use actix_web::http::ConnectionType;
use actix_web::{HttpResponse, web};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
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

/// Ends the connection after an answer, with a body whose stream fails at its end.
///
/// The server would otherwise go on to read the rest of a request body in chunks, which may never end.
pub(crate) async fn close_after(response: HttpResponse) -> HttpResponse {
    let (mut response, body) = response.into_parts();
    let body = body::to_bytes(body).await.unwrap_or_default();
    let length = body.len() as u64;
    let end = stream::once(async {
        // Lets the server write out the answer, which the error would discard.
        tokio::task::yield_now().await;
        Err(slow_caller("the request body was not read"))
    });
    let parts = stream::once(std::future::ready(Ok(body))).chain(end);
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response.set_body(BoxBody::new(SizedStream::new(length, Box::pin(parts))))
}

fn slow_caller(detail: &str) -> Failure {
    Failure::new(ErrorKind::SlowCaller, detail)
}
