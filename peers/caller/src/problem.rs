//! Problem documents for refusals and failures.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use bytes::Bytes;
use pimentotide_model::{Failure, RequestId};
use serde_json::{Value, json};

use crate::REQUEST_HEADER;

const PROBLEM_TYPE: &str = "application/problem+json";

/// Builds the response with a problem document for a failure.
pub fn problem(failure: &Failure, id: RequestId) -> HttpResponse {
    let answer = failure.kind.response();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.insert_header((REQUEST_HEADER, id.to_string()));
    if let Some(seconds) = retry_seconds(failure) {
        response.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    response
        .content_type(PROBLEM_TYPE)
        .body(document(failure, id).to_string())
}

/// Builds the last event of a stream that failed, with the problem document as its data.
pub fn error_event(failure: &Failure, id: RequestId) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", document(failure, id)))
}

fn document(failure: &Failure, id: RequestId) -> Value {
    let answer = failure.kind.response();
    json!({
        "type": "about:blank",
        "title": answer.title,
        "status": answer.status,
        "detail": failure.detail,
        "kind": failure.kind,
        "ran": failure.ran,
        "request": id,
        "retry_after": retry_seconds(failure),
        // Existing clients of completion servers read this member.
        "error": {"message": failure.detail, "type": failure.kind, "code": failure.kind},
    })
}

/// Returns the time after which a retry may succeed, in seconds, rounded up.
fn retry_seconds(failure: &Failure) -> Option<u64> {
    failure
        .retry
        .map(|d| d.as_secs() + u64::from(d.subsec_nanos() > 0))
}
