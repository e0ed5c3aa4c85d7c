//! Request bodies, answers and refusals over HTTP.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::web::{Bytes, Payload};
use actix_web::{HttpResponse, HttpResponseBuilder};
use pimentotide_model::{ErrorKind, Failure};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::message::ProblemBody;

/// Maximum size of a request body.
pub(super) const MAX_BODY_BYTES: usize = 8 << 20;

/// Time within which a request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a successful response with a JSON body.
pub(super) fn answer<T>(value: &T) -> HttpResponse
where
    T: Serialize,
{
    HttpResponse::Ok().json(value)
}

/// Returns an error response with a problem document.
pub(super) fn refuse<P>(problem: P) -> HttpResponse
where
    P: Into<ProblemBody>,
{
    let problem = problem.into();
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponseBuilder::new(status);
    if let Some(millis) = problem.retry_ms {
        response.insert_header((RETRY_AFTER, millis.div_ceil(1_000).to_string()));
    }
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    response.content_type("application/problem+json").body(body)
}

/// Reads and decodes a JSON body of at most [`MAX_BODY_BYTES`].
pub(super) async fn body<T>(payload: Payload) -> Result<T, Failure>
where
    T: DeserializeOwned,
{
    let bytes = read_bytes(payload).await?;
    let value = serde_json::from_slice(&bytes);
    value.map_err(|e| Failure::new(ErrorKind::InvalidRequest, e.to_string()))
}

async fn read_bytes(payload: Payload) -> Result<Bytes, Failure> {
    let bytes = payload.to_bytes_limited(MAX_BODY_BYTES);
    let Ok(received) = tokio::time::timeout(BODY_TIMEOUT, bytes).await else {
        let detail = format!("request body incomplete after {} s", BODY_TIMEOUT.as_secs());
        return Err(Failure::new(ErrorKind::SlowCaller, detail));
    };
    match received {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) => Err(Failure::new(ErrorKind::InvalidRequest, error.to_string())),
        Err(_) => {
            let detail = format!("request body exceeds {MAX_BODY_BYTES} bytes");
            Err(Failure::new(ErrorKind::BodyTooLarge, detail))
        }
    }
}
