//! Serves a process's metrics to scrapers.

use std::net::SocketAddr;

use actix_web::web::{self, Data};
use actix_web::{App, HttpResponse, HttpServer};
use pimentotide_observe::{Exposition, Metrics};

/// Path of the metrics.
const PATH: &str = "/metrics";

/// Serves metrics at `address`, if there is one; without it they go nowhere.
pub(super) fn serve(address: Option<SocketAddr>) -> std::io::Result<Metrics> {
    let Some(address) = address else {
        return Ok(Metrics::none());
    };
    let (metrics, exposition) = Metrics::expose();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(exposition.clone()))
            .route(PATH, web::get().to(render))
    })
    .workers(1)
    .shutdown_timeout(0)
    .disable_signals()
    .bind(address)?
    .run();
    actix_rt::spawn(server);
    Ok(metrics)
}

async fn render(exposition: Data<Exposition>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(exposition.render())
}
