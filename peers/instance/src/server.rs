//! JSON-RPC server for the other processes of a deployment.
//!
//! All modules of a process share one port. A request without the deployment's
//! token is rejected before it reaches a method.

use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::future::{Either, Ready, ready};
use jsonrpsee::Methods;
use jsonrpsee::core::http_helpers;
use jsonrpsee::server::{HttpBody, HttpResponse, PingConfig, Server, ServerConfig, ServerHandle};
use pimentotide_model::{ErrorKind, Failure};
use tokio::time::timeout;
use tower::{Layer, Service};

use crate::Token;

/// Maximum number of connections; every process of a deployment keeps one or two.
const MAX_CONNECTIONS: u32 = 16_384;
/// Largest request or answer, bytes.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;
/// Limit for finishing running calls during shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of subscriptions on one connection.
const MAX_SUBSCRIPTIONS: u32 = 1_024;

/// Running JSON-RPC server for the other processes of the deployment.
pub struct PeerServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl PeerServer {
    /// Listens on `address` and serves `modules` to clients that send `token`.
    pub async fn bind<I, M>(address: SocketAddr, token: Token, modules: I) -> Result<Self, Failure>
    where
        I: IntoIterator<Item = M>,
        M: Into<Methods>,
    {
        let methods = merge(modules)?;
        let config = ServerConfig::builder()
            .max_connections(MAX_CONNECTIONS)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .max_subscriptions_per_connection(MAX_SUBSCRIPTIONS)
            .enable_ws_ping(PingConfig::new())
            .set_tcp_no_delay(true)
            .build();
        let guard = GuardLayer {
            token: Arc::new(token),
        };
        let server = Server::builder()
            .set_config(config)
            .set_http_middleware(tower::ServiceBuilder::new().layer(guard))
            .build(address)
            .await
            .map_err(|e| {
                Failure::new(ErrorKind::Internal, format!("cannot bind {address}: {e}"))
            })?;
        let address = server
            .local_addr()
            .map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))?;
        Ok(Self {
            address,
            handle: server.start(methods),
        })
    }

    /// Address on which the server listens, with the port that was assigned.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, waits up to 2 s for running calls and closes all connections.
    pub async fn stop(self) {
        // Fails only if the server has stopped already.
        let _ = self.handle.stop();
        if timeout(STOP_TIMEOUT, self.handle.stopped()).await.is_err() {
            log::warn!("{}: stopped while calls were still running", self.address);
        }
    }
}

fn merge<I, M>(modules: I) -> Result<Methods, Failure>
where
    I: IntoIterator<Item = M>,
    M: Into<Methods>,
{
    let mut methods = Methods::new();
    for module in modules {
        methods
            .merge(module)
            .map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))?;
    }
    Ok(methods)
}

#[derive(Clone)]
struct GuardLayer {
    token: Arc<Token>,
}

impl<S> Layer<S> for GuardLayer {
    type Service = Guard<S>;

    fn layer(&self, inner: S) -> Guard<S> {
        Guard {
            inner,
            token: self.token.clone(),
        }
    }
}

/// Rejects requests that do not carry the deployment's token.
#[derive(Clone)]
struct Guard<S> {
    inner: S,
    token: Arc<Token>,
}

impl<S, B> Service<http_helpers::Request<B>> for Guard<S>
where
    S: Service<http_helpers::Request<B>, Response = HttpResponse>,
{
    type Response = HttpResponse;
    type Error = S::Error;
    type Future = Either<S::Future, Ready<Result<HttpResponse, S::Error>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: http_helpers::Request<B>) -> Self::Future {
        let header = request.headers().get("authorization");
        if self.token.admits(header.map(|h| h.as_bytes())) {
            return Either::Left(self.inner.call(request));
        }
        log::warn!("rejected a request without the deployment's token");
        Either::Right(ready(Ok(forbidden())))
    }
}

fn forbidden() -> HttpResponse {
    let answer = ErrorKind::Forbidden.response();
    let mut response = HttpResponse::new(HttpBody::from(answer.title));
    if let Ok(status) = answer.status.try_into() {
        *response.status_mut() = status;
    }
    response
}
