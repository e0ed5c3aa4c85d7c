//! Serves a process's metrics to scrapers.
//!
//! Counters and durations accumulate as events happen. Gauges, such as memory
//! use or the age of the configuration, are measured on each scrape.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use actix_web::web::{self, Data};
use actix_web::{App, HttpResponse, HttpServer};
use pimentotide_observe::{DropCounter, Exposition, Metrics, memory_bytes, open_descriptors};

/// HTTP path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Callback that sets gauges to their current values.
type Probe = Box<dyn Fn(&Metrics) + Send>;

/// Metrics of a process, and the probes run on each scrape.
#[derive(Clone)]
pub(super) struct Scraped {
    metrics: Metrics,
    probes: Arc<Mutex<Vec<Probe>>>,
}

impl Scraped {
    pub(super) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Registers a probe that runs before each scrape is answered.
    pub(super) fn add<F>(&self, probe: F)
    where
        F: Fn(&Metrics) + Send + 'static,
    {
        let mut probes = self.probes.lock().unwrap_or_else(PoisonError::into_inner);
        probes.push(Box::new(probe));
    }

    fn measure(&self) {
        let probes = self.probes.lock().unwrap_or_else(PoisonError::into_inner);
        for probe in probes.iter() {
            probe(&self.metrics);
        }
    }
}

/// Serves metrics at `address`; without an address they are discarded.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(super) fn serve(address: Option<SocketAddr>, drops: DropCounter) -> std::io::Result<Scraped> {
    let probes = Arc::default();
    let Some(address) = address else {
        let metrics = Metrics::none();
        return Ok(Scraped { metrics, probes });
    };
    let (metrics, exposition) = Metrics::expose();
    let scraped = Scraped { metrics, probes };
    scraped.add(move |metrics| measure_process(metrics, &drops));
    let data = (scraped.clone(), exposition);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(data.clone()))
            .route(METRICS_PATH, web::get().to(render))
    })
    .workers(1)
    .shutdown_timeout(0)
    .disable_signals()
    .bind(address)?
    .run();
    actix_rt::spawn(server);
    Ok(scraped)
}

fn measure_process(metrics: &Metrics, drops: &DropCounter) {
    let dropped = drops.count();
    metrics.gauge("log.dropped_lines", ("class", "routine"), dropped.routine);
    metrics.gauge("log.dropped_lines", ("class", "other"), dropped.other);
    if let Some(bytes) = memory_bytes() {
        metrics.gauge("process.memory_bytes", ("kind", "resident"), bytes);
    }
    if let Some(count) = open_descriptors() {
        metrics.gauge("process.descriptors", ("state", "open"), count);
    }
}

async fn render(data: Data<(Scraped, Exposition)>) -> HttpResponse {
    let (scraped, exposition) = data.get_ref();
    scraped.measure();
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(exposition.render())
}
