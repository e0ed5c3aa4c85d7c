//! A running server for callers.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpResponse, HttpServer, error, web};
use derive_more::Display;
use pimentotide_model::{ErrorKind, Failure, RequestId};

use crate::call::Service;
use crate::problem::problem;
use crate::routes::{Limits, configure};

/// Longest time for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// What a server for callers needs.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Threads that serve.
    pub threads: usize,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Longest time that a stop waits for running requests.
    pub drain: Duration,
}

/// Why a server for callers could not start.
#[derive(Debug, Display)]
#[display("listener for callers on {address}: {source}")]
pub struct CallerError {
    address: SocketAddr,
    source: std::io::Error,
}

impl std::error::Error for CallerError {}

/// A running server for callers.
pub struct CallerServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl CallerServer {
    /// Starts a server; `build` makes the service once on each thread.
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
        let limits = web::Data::new(Limits { body: options.body });
        let seconds = options.drain.as_secs();
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
        .keep_alive(KEEP_ALIVE)
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

    /// Address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no new connections, lets running requests end, and stops.
    pub async fn stop(self) {
        self.handle.stop(true).await;
    }
}

fn bad_query(error: &error::QueryPayloadError) -> actix_web::Error {
    let failure = Failure::new(ErrorKind::InvalidRequest, error.to_string());
    let response: HttpResponse = problem(&failure, RequestId::default());
    error::InternalError::from_response(failure, response).into()
}
