//! Reads request bodies with limits on size and time.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::body::{self, BoxBody, SizedStream};
use actix_web::http::ConnectionType;
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use pimentotide_model::{ErrorKind, Failure};

/// Maximum time between two chunks of a body.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time for a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum time for which the rest of a refused body is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause in the rest of a refused body after which its caller is assumed to have read the response.
const DISCARD_PAUSE: Duration = Duration::from_secs(1);

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body exceeds `limit`, a time limit expires or the connection fails.
pub(crate) async fn read(payload: &mut Payload, limit: usize) -> Result<Bytes, Failure> {
    tokio::time::timeout(BODY_TIMEOUT, read_chunks(payload, limit))
        .await
        .unwrap_or_else(|_| Err(slow_caller("the request body took too long")))
}

async fn read_chunks(payload: &mut Payload, limit: usize) -> Result<Bytes, Failure> {
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

/// Closes the connection after a response to a request whose body was not read to its end.
///
/// What still arrives of the body is discarded for a limited time: closing a connection with unread
/// bytes resets it, and a caller that is still sending would lose the response. The time is limited
/// because a body in chunks may never end.
pub async fn close_after(response: HttpResponse, rest: Payload) -> HttpResponse {
    let (mut response, body) = response.into_parts();
    let body = body::to_bytes(body).await.unwrap_or_default();
    let length = body.len() as u64;
    let end = stream::once(async {
        // Lets the server write out the answer, which the error would discard.
        tokio::task::yield_now().await;
        discard(rest).await;
        Err(slow_caller("the request body was not read"))
    });
    let parts = stream::once(std::future::ready(Ok(body))).chain(end);
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response.set_body(BoxBody::new(SizedStream::new(length, Box::pin(parts))))
}

/// Discards the rest of a body until it ends, pauses or exceeds the time for it.
async fn discard(mut rest: Payload) {
    let reading = async {
        while let Ok(Some(Ok(_))) = tokio::time::timeout(DISCARD_PAUSE, rest.next()).await {}
    };
    // The connection is closed after the end of the body and after the timeout alike.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}

fn slow_caller(detail: &str) -> Failure {
    Failure::new(ErrorKind::SlowCaller, detail)
}
