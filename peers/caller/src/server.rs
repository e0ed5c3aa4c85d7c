//! HTTP server for callers.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpResponse, HttpServer, error, web};
use derive_more::Display;
use pimentotide_model::{ErrorKind, Failure, RequestId};

use crate::call::Service;
use crate::problem::problem;
use crate::routes::{Limits, configure};

/// Maximum time for the head of a request to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Options of a server for callers.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Number of worker threads.
    pub threads: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum time for which a stop waits for running requests, rounded down to seconds.
    pub drain_timeout: Duration,
}

/// Failure to bind the listener for callers.
#[derive(Debug, Display)]
#[display("listener for callers on {address}: {source}")]
pub struct CallerError {
    address: SocketAddr,
    source: std::io::Error,
}

impl std::error::Error for CallerError {}

/// Running HTTP server for callers.
pub struct CallerServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl CallerServer {
    /// Binds and starts a server; `build` creates the service once per worker thread.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind<S, F>(options: &CallerOptions, build: F) -> Result<Self, CallerError>
    where
        S: Service,
        F: Fn() -> S + Send + Clone + 'static,
    {
        let failed = |source| CallerError {
            address: options.listen,
            source,
        };
        let limits = web::Data::new(Limits {
            max_body_bytes: options.max_body_bytes,
        });
        let seconds = options.drain_timeout.as_secs();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::ThinData(build()))
                .app_data(limits.clone())
                .app_data(web::QueryConfig::default().error_handler(|e, _| bad_query(&e)))
                .configure(configure::<S>)
        })
        .workers(options.threads)
        .tcp_nodelay(true)
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .shutdown_timeout(seconds)
        .disable_signals()
        .bind(options.listen)
        .map_err(failed)?;
        let address = server.addrs().first().copied().unwrap_or(options.listen);
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Self { address, handle })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and completes once running requests have ended or the drain
    /// time has expired.
    pub async fn stop(self) {
        self.handle.stop(true).await;
    }
}

fn bad_query(error: &error::QueryPayloadError) -> actix_web::Error {
    let failure = Failure::new(ErrorKind::InvalidRequest, error.to_string());
    let response: HttpResponse = problem(&failure, RequestId::default());
    error::InternalError::from_response(failure, response).into()
}
