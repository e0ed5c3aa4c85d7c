//! HTTP routes of the callers' interface.

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use pimentotide_model::{ErrorKind, Failure, RequestId};
use rand::RngExt;
use serde::Deserialize;
use serde_json::json;

use crate::call::{Answer, AnswerBody, Call, PieceStream, Service};
use crate::problem::{error_event, problem};
use crate::{REQUEST_HEADER, body, parse};

/// Request limits of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Maximum size of a request body.
    pub(crate) max_body_bytes: usize,
}

#[derive(Deserialize)]
struct EntriesQuery {
    zone: Option<String>,
}

pub(crate) fn configure<S>(routes: &mut web::ServiceConfig)
where
    S: Service,
{
    routes
        .service(resource("/v1/entries", web::get().to(entries::<S>)))
        .service(resource("/v1/health", web::get().to(health::<S>)))
        .service(resource("/v1/models", web::get().to(models::<S>)))
        .service(resource(
            "/v1/completions",
            web::post().to(completions::<S, false>),
        ))
        .service(resource(
            "/v1/chat/completions",
            web::post().to(completions::<S, true>),
        ))
        .service(web::resource("/services/{service}/{path:.*}").to(plain::<S>))
        .service(web::resource("/services/{service}").to(plain::<S>))
        .default_service(web::to(not_found));
}

fn resource(path: &str, route: actix_web::Route) -> actix_web::Resource {
    web::resource(path)
        .route(route)
        .default_service(web::to(method_not_allowed))
}

async fn entries<S>(service: web::ThinData<S>, query: web::Query<EntriesQuery>) -> HttpResponse
where
    S: Service,
{
    let advice = service.0.entries(query.zone.as_deref());
    let list = advice.addresses.iter();
    let list = list.map(|(address, zone)| json!({"address": address, "zone": zone}));
    HttpResponse::Ok().json(json!({
        "entries": list.collect::<Vec<_>>(),
        "keep_seconds": advice.keep.as_secs(),
    }))
}

async fn health<S>(service: web::ThinData<S>) -> HttpResponse
where
    S: Service,
{
    HttpResponse::Ok().json(service.0.health())
}

async fn models<S>(service: web::ThinData<S>) -> HttpResponse
where
    S: Service,
{
    let models = service.0.models();
    let data = models
        .iter()
        .map(|m| json!({"id": m, "object": "model", "owned_by": "pimentotide"}));
    HttpResponse::Ok().json(json!({"object": "list", "data": data.collect::<Vec<_>>()}))
}

async fn completions<S, const CHAT: bool>(
    service: web::ThinData<S>,
    limits: web::Data<Limits>,
    request: HttpRequest,
    mut payload: web::Payload,
) -> HttpResponse
where
    S: Service,
{
    let id = new_id();
    let body = match body::read(&mut payload, limits.max_body_bytes).await {
        Ok(body) => body,
        Err(failure) => return body::close_after(problem(&failure, id), payload).await,
    };
    let call = parse::completion(&request, id, body, CHAT);
    respond(&service.0, id, call).await
}

async fn plain<S>(
    service: web::ThinData<S>,
    limits: web::Data<Limits>,
    request: HttpRequest,
    mut payload: web::Payload,
) -> HttpResponse
where
    S: Service,
{
    let id = new_id();
    let name = request.match_info().get("service").unwrap_or_default();
    let path = request.match_info().get("path").unwrap_or_default();
    let body = match body::read(&mut payload, limits.max_body_bytes).await {
        Ok(body) => body,
        Err(failure) => return body::close_after(problem(&failure, id), payload).await,
    };
    let call = parse::plain(&request, id, body, name, path);
    respond(&service.0, id, call).await
}

async fn not_found(request: HttpRequest) -> HttpResponse {
    let detail = format!("no resource at {}", request.path());
    problem(&Failure::new(ErrorKind::NotFound, detail), new_id())
}

async fn method_not_allowed(request: HttpRequest) -> HttpResponse {
    let detail = format!(
        "{} is not supported at {}",
        request.method(),
        request.path()
    );
    problem(&Failure::new(ErrorKind::MethodNotAllowed, detail), new_id())
}

async fn respond<S>(service: &S, id: RequestId, call: Result<Call, Failure>) -> HttpResponse
where
    S: Service,
{
    let answer = match call {
        Ok(call) => service.call(call).await,
        Err(failure) => Err(failure),
    };
    match answer {
        Ok(answer) => into_response(answer, id),
        Err(failure) => problem(&failure, id),
    }
}

fn into_response(answer: Answer, id: RequestId) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in &answer.headers {
        response.append_header((name.as_str(), value.as_str()));
    }
    response.insert_header((REQUEST_HEADER, id.to_string()));
    match answer.body {
        AnswerBody::Whole(body) => response.body(body),
        AnswerBody::Events(pieces) => response.streaming(with_error_event(pieces, id)),
        AnswerBody::Parts(pieces) => response.streaming(pieces),
    }
}

/// Appends an error event if the stream fails.
fn with_error_event(
    pieces: PieceStream,
    id: RequestId,
) -> impl futures_util::Stream<Item = Result<Bytes, Failure>> {
    stream::unfold((pieces, false), move |(mut pieces, ended)| async move {
        if ended {
            return None;
        }
        match pieces.next().await? {
            Ok(piece) => Some((Ok(piece), (pieces, false))),
            Err(failure) => Some((Ok(error_event(&failure, id)), (pieces, true))),
        }
    })
}

fn new_id() -> RequestId {
    RequestId(rand::rng().random())
}
