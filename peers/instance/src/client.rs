//! JSON-RPC client of one peer process.
//!
//! A client keeps one connection to its peer and reconnects on the first call
//! after the connection broke. After a failed attempt, calls fail at once for a
//! short delay instead of queueing for the same connect timeout.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jsonrpsee::core::client::{ClientT, Subscription, SubscriptionClientT};
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::ws_client::{HeaderMap, HeaderValue, PingConfig, WsClient, WsClientBuilder};
use pimentotide_model::{ErrorKind, Failure, Ran};
use serde::de::DeserializeOwned;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::{Token, failure_of};

/// Largest request or answer, bytes.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;
/// Maximum number of calls in flight on one connection.
const MAX_CONCURRENT_CALLS: usize = 4_096;

/// Timeouts of a client.
#[derive(Clone, Copy, Debug)]
pub struct PeerTimeouts {
    /// Limit for connecting, including the handshake.
    pub connect: Duration,
    /// Default limit for the answer to a call.
    pub call: Duration,
    /// Delay between a failed connection attempt and the next.
    pub retry_delay: Duration,
    /// Time without traffic after which a connection counts as broken.
    pub idle: Duration,
}

impl Default for PeerTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
            retry_delay: Duration::from_millis(50),
            idle: Duration::from_secs(3),
        }
    }
}

/// Client of one peer; clones share the connection.
#[derive(Clone)]
pub struct PeerClient {
    shared: Arc<Shared>,
}

struct Shared {
    address: SocketAddr,
    token: Token,
    timeouts: PeerTimeouts,
    link: Mutex<Link>,
}

#[derive(Default)]
struct Link {
    client: Option<Arc<WsClient>>,
    /// Time of the last failed attempt; `None` after a success.
    failed_at: Option<Instant>,
}

impl PeerClient {
    /// Creates a client with the default timeouts; connects on the first call.
    pub fn connect(address: SocketAddr, token: Token) -> Self {
        Self::with_timeouts(address, token, PeerTimeouts::default())
    }

    /// Creates a client with the given timeouts; connects on the first call.
    pub fn with_timeouts(address: SocketAddr, token: Token, timeouts: PeerTimeouts) -> Self {
        Self {
            shared: Arc::new(Shared {
                address,
                token,
                timeouts,
                link: Mutex::default(),
            }),
        }
    }

    /// Address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Calls `method` with the default call timeout.
    pub async fn call<P, R>(&self, method: &str, params: P) -> Result<R, Failure>
    where
        P: ToRpcParams + Send,
        R: DeserializeOwned,
    {
        self.call_within(self.shared.timeouts.call, method, params)
            .await
    }

    /// Calls `method` with the timeout `limit`.
    pub async fn call_within<P, R>(
        &self,
        limit: Duration,
        method: &str,
        params: P,
    ) -> Result<R, Failure>
    where
        P: ToRpcParams + Send,
        R: DeserializeOwned,
    {
        let client = self.client().await?;
        match timeout(limit, client.request(method, params)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(e)) => Err(failure_of(&e)),
            Err(_) => Err(Failure::new(
                ErrorKind::DeadlineExceeded,
                format!("{} did not answer {method} in time", self.shared.address),
            )),
        }
    }

    /// Subscribes to `method`; the subscription ends when the connection breaks.
    pub async fn subscribe<P, N>(
        &self,
        method: &str,
        params: P,
        end: &str,
    ) -> Result<Subscription<N>, Failure>
    where
        P: ToRpcParams + Send,
        N: DeserializeOwned,
    {
        let client = self.client().await?;
        let subscribing = client.subscribe(method, params, end);
        match timeout(self.shared.timeouts.call, subscribing).await {
            Ok(Ok(subscription)) => Ok(subscription),
            Ok(Err(e)) => Err(failure_of(&e)),
            Err(_) => Err(Failure::new(
                ErrorKind::DeadlineExceeded,
                format!("{} did not answer {method} in time", self.shared.address),
            )),
        }
    }

    async fn client(&self) -> Result<Arc<WsClient>, Failure> {
        let mut link = self.shared.link.lock().await;
        if let Some(client) = link.client.as_ref().filter(|c| c.is_connected()) {
            return Ok(client.clone());
        }
        link.client = None;
        let retry_delay = self.shared.timeouts.retry_delay;
        if link.failed_at.is_some_and(|at| at.elapsed() < retry_delay) {
            return Err(self.unreachable("the last attempt failed"));
        }
        match self.open().await {
            Ok(client) => {
                let client = Arc::new(client);
                link.client = Some(client.clone());
                link.failed_at = None;
                Ok(client)
            }
            Err(failure) => {
                link.failed_at = Some(Instant::now());
                Err(failure)
            }
        }
    }

    async fn open(&self) -> Result<WsClient, Failure> {
        let timeouts = self.shared.timeouts;
        let mut value = HeaderValue::from_str(self.shared.token.header())
            .map_err(|e| Failure::new(ErrorKind::Forbidden, format!("unusable token: {e}")))?;
        value.set_sensitive(true);
        let mut headers = HeaderMap::new();
        headers.insert("authorization", value);
        let ping = PingConfig::new()
            .ping_interval(timeouts.idle / 3)
            .inactive_limit(timeouts.idle)
            .max_failures(1);
        let connecting = WsClientBuilder::default()
            .set_headers(headers)
            .connection_timeout(timeouts.connect)
            // Each call has its own timeout; this one bounds calls whose caller was dropped.
            .request_timeout(Duration::from_secs(60))
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .max_concurrent_requests(MAX_CONCURRENT_CALLS)
            .enable_ws_ping(ping)
            .build(format!("ws://{}", self.shared.address));
        // The connection timeout of the library does not cover the handshake.
        match timeout(timeouts.connect, connecting).await {
            Ok(Ok(client)) => Ok(client),
            Ok(Err(e)) => Err(self.unreachable(e)),
            Err(_) => Err(self.unreachable("no connection in time")),
        }
    }

    fn unreachable<D>(&self, detail: D) -> Failure
    where
        D: std::fmt::Display,
    {
        let address = self.shared.address;
        Failure::new(
            ErrorKind::NotCurrent,
            format!("cannot reach the peer at {address}: {detail}"),
        )
        .with_ran(Ran::No)
    }
}
