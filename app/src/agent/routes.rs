//! HTTP routes of an agent, for entries and for its upstream.

use actix_web::http::header::AUTHORIZATION;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use pimentotide_instance::work::{
    CANCEL_PATH, DEMAND_PATH, DemandOrder, Frame, HeldClaim, INQUIRY_PATH, UPDATE_PATH,
    UpdateRequest, WORK_PATH, WorkOrder,
};
use pimentotide_model::{ErrorKind, Failure, RequestId};
use pimentotide_upstream::{ANNOUNCE_PATH, EngineState};
use serde::Serialize;
use tokio::sync::mpsc;

use super::core::Core;
use super::forward::{forward, replay};
use super::slot::AdmitOutcome;

/// Maximum number of frames buffered per connection to an entry.
const FRAME_BUFFER: usize = 64;

pub(super) fn for_entries(routes: &mut web::ServiceConfig) {
    routes
        .route(WORK_PATH, web::post().to(work))
        .route(DEMAND_PATH, web::post().to(demand))
        .route(INQUIRY_PATH, web::post().to(inquiry))
        .route(UPDATE_PATH, web::post().to(upstream_update))
        .route(&format!("{CANCEL_PATH}/{{id}}"), web::post().to(cancel));
}

pub(super) fn for_upstream(routes: &mut web::ServiceConfig) {
    routes.route(ANNOUNCE_PATH, web::post().to(announce));
}

async fn work(core: web::Data<Core>, request: HttpRequest, body: Bytes) -> HttpResponse {
    if !is_authorized(&core, &request) {
        return HttpResponse::Forbidden().finish();
    }
    let core = core.into_inner();
    let order = match WorkOrder::decode(&body) {
        Ok(order) => order,
        Err(e) => {
            let failure = Failure::new(ErrorKind::InvalidRequest, e.to_string());
            return single(&Frame::Refused {
                failure,
                report: core.report(),
            });
        }
    };
    let permit = match core.admit(&order) {
        AdmitOutcome::Admitted(permit) => permit,
        AdmitOutcome::Replayed(outcome) => return frames(&replay(&outcome, core.report())),
        AdmitOutcome::Refused(failure) => {
            core.metrics()
                .count("agent.refused", ("kind", &failure.kind.to_string()), 1);
            return single(&Frame::Refused {
                failure,
                report: core.report(),
            });
        }
        AdmitOutcome::Failed(failure) => return single(&Frame::Failed { failure }),
    };
    let (sender, receiver) = mpsc::channel(FRAME_BUFFER);
    actix_rt::spawn(forward(core, order, permit, sender));
    let frames = stream::unfold(receiver, |mut receiver| async {
        let frame: Frame = receiver.recv().await?;
        Some((frame, receiver))
    });
    HttpResponse::Ok().streaming(frames.map(|f| f.encode()))
}

async fn cancel(
    core: web::Data<Core>,
    request: HttpRequest,
    id: web::Path<String>,
) -> HttpResponse {
    if !is_authorized(&core, &request) {
        return HttpResponse::Forbidden().finish();
    }
    match id.parse::<RequestId>() {
        Ok(id) => core.cancel(id),
        Err(_) => return HttpResponse::BadRequest().finish(),
    }
    HttpResponse::NoContent().finish()
}

async fn inquiry(core: web::Data<Core>, request: HttpRequest, body: Bytes) -> HttpResponse {
    if !is_authorized(&core, &request) {
        return HttpResponse::Forbidden().finish();
    }
    match postcard::from_bytes::<HeldClaim>(&body) {
        Ok(held) => match core.inquire(&held) {
            Some(finding) => encoded(&finding),
            None => HttpResponse::ServiceUnavailable().finish(),
        },
        Err(e) => HttpResponse::BadRequest().body(e.to_string()),
    }
}

async fn demand(core: web::Data<Core>, request: HttpRequest, body: Bytes) -> HttpResponse {
    if !is_authorized(&core, &request) {
        return HttpResponse::Forbidden().finish();
    }
    match postcard::from_bytes::<DemandOrder>(&body) {
        Ok(order) => encoded(&core.demand(order).await),
        Err(e) => HttpResponse::BadRequest().body(e.to_string()),
    }
}

async fn upstream_update(core: web::Data<Core>, request: HttpRequest, body: Bytes) -> HttpResponse {
    if !is_authorized(&core, &request) {
        return HttpResponse::Forbidden().finish();
    }
    match postcard::from_bytes::<UpdateRequest>(&body) {
        Ok(order) => match core.upstream_update(&order) {
            Some(update) => encoded(&update),
            None => HttpResponse::ServiceUnavailable().finish(),
        },
        Err(e) => HttpResponse::BadRequest().body(e.to_string()),
    }
}

async fn announce(core: web::Data<Core>, state: web::Json<EngineState>) -> HttpResponse {
    core.update_engine(state.into_inner());
    HttpResponse::NoContent().finish()
}

fn is_authorized(core: &Core, request: &HttpRequest) -> bool {
    let header = request.headers().get(AUTHORIZATION);
    core.token().admits(header.map(|h| h.as_bytes()))
}

fn single(frame: &Frame) -> HttpResponse {
    frames(std::slice::from_ref(frame))
}

fn frames(frames: &[Frame]) -> HttpResponse {
    let encoded: Result<Vec<_>, _> = frames.iter().map(Frame::encode).collect();
    match encoded {
        Ok(parts) => HttpResponse::Ok().body(parts.concat()),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}

fn encoded<T>(value: &T) -> HttpResponse
where
    T: Serialize,
{
    match postcard::to_stdvec(value) {
        Ok(bytes) => HttpResponse::Ok().body(bytes),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}
