//! Stand-in plain service that answers with a summary of each request.

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use serde_json::json;

use crate::answer::{aborted, ledger_key};
use crate::core::Core;

pub(crate) async fn any(core: web::Data<Core>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let core = core.into_inner();
    let key = ledger_key(&request);
    let Some(mut run) = core.begin(&key, &body) else {
        return aborted();
    };
    tokio::time::sleep(core.scaled(core.options.first_token_delay)).await;
    while core.is_stalled() {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    if !run.is_current() {
        return aborted();
    }
    let answer = json!({
        "key": key,
        "method": request.method().as_str(),
        "path": request.uri().path(),
        "received": body.len(),
    });
    run.add_bytes(answer.to_string().len());
    run.complete();
    HttpResponse::Ok().json(answer)
}
