//! The port on which a process answers the other processes of its deployment.
//!
//! Several modules share one port. A connection that does not prove membership
//! by the deployment's token is refused before any method sees it.

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

/// Most connections at once; every process of a deployment keeps one or two.
const MAX_CONNECTIONS: u32 = 16_384;
/// Largest request or answer, bytes.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;
/// Longest wait for running calls at a stop.
const STOP_PATIENCE: Duration = Duration::from_secs(2);
/// Most subscriptions on one connection.
const MAX_SUBSCRIPTIONS: u32 = 1_024;

/// A running server for the other processes of the deployment.
pub struct PeerServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl PeerServer {
    /// Listens on `address` and answers members that hold `token`.
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

    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets running calls finish for a while and closes all connections.
    pub async fn stop(self) {
        // An error only says that the server has stopped already.
        let _ = self.handle.stop();
        if timeout(STOP_PATIENCE, self.handle.stopped()).await.is_err() {
            log::warn!("{}: calls were still running at the stop", self.address);
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

/// Refuses requests that do not carry the deployment's token.
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
        log::warn!("refused a connection that does not carry the deployment's token");
        Either::Right(ready(Ok(refusal())))
    }
}

fn refusal() -> HttpResponse {
    let answer = ErrorKind::Forbidden.response();
    let mut response = HttpResponse::new(HttpBody::from(answer.title));
    if let Ok(status) = answer.status.try_into() {
        *response.status_mut() = status;
    }
    response
}
