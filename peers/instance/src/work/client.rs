//! HTTP client by which an entry sends work to agents.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;
use std::pin::Pin;
use std::time::Duration;

use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::http::header::{AUTHORIZATION, HeaderMap};
use bytes::Bytes;
use derive_more::Display;
use futures_util::{Stream, StreamExt};
use pimentotide_model::RequestId;
use pimentotide_outcome::Finding;
use pimentotide_upstream::{MAX_ANSWER_BYTES, strict_eof_connector};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{
    CANCEL_PATH, DEMAND_PATH, DemandAnswer, DemandOrder, EXCHANGE_HEADER, Frame, FrameDecoder,
    HeldClaim, INQUIRY_PATH, MAX_FRAME_BYTES, UPDATE_PATH, UpdateRequest, UpstreamUpdate,
    WORK_PATH, WorkOrder,
};
use crate::Token;

/// Limit for connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of pooled connections to all agents.
const MAX_CONNECTIONS: usize = 8192;

/// Limit for an agent to answer a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Limit for an agent to answer a demand, an update request or an inquiry.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why an order has no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum WorkError {
    /// No connection; the agent received nothing of the request.
    #[display("no connection to the agent: {_0}")]
    Unreachable(String),
    /// The agent rejected the request; carries the HTTP status.
    #[display("the agent answered with status {_0}")]
    Rejected(u16),
    /// The connection failed after the agent may have received the request.
    #[display("the agent broke off: {_0}")]
    Broken(String),
}

impl std::error::Error for WorkError {}

/// Statuses with which an agent rejects a request before it forwards it.
///
/// After an informational status, the answer is still to come; after a server error, the agent may
/// have failed while the request ran.
const REJECTED_STATUSES: Range<u16> = 400..500;

impl WorkError {
    /// Whether the agent has certainly not forwarded the request to its upstream.
    pub fn is_not_forwarded(&self) -> bool {
        match self {
            Self::Unreachable(_) => true,
            Self::Rejected(status) => REJECTED_STATUSES.contains(status),
            Self::Broken(_) => false,
        }
    }
}

/// Identifier of one request and its answer on a connection that is reused.
struct Exchange(String);

impl Exchange {
    fn draw() -> Self {
        Self(format!("{:032x}", rand::random::<u128>()))
    }

    /// Checks that an answer belongs to this request; agents of the previous version do not say.
    ///
    /// # Errors
    ///
    /// Fails if the answer names another request.
    fn check(&self, headers: &HeaderMap) -> Result<(), WorkError> {
        match headers.get(EXCHANGE_HEADER) {
            Some(named) if named.as_bytes() != self.0.as_bytes() => {
                log::warn!("an agent answered another request, the connection is closed");
                Err(WorkError::Broken("answer to another request".to_owned()))
            }
            _ => Ok(()),
        }
    }
}

/// Maximum size of an answer in frames, which carry an upstream's answer in small pieces.
const MAX_FRAMED_BYTES: u64 = 4 * MAX_ANSWER_BYTES;

/// Client of all agents, confined to one thread.
#[derive(Clone)]
pub struct WorkClient {
    client: Client,
    token: Token,
}

impl WorkClient {
    /// Creates a client that connects on first use.
    pub fn open(token: Token) -> Self {
        let connector =
            strict_eof_connector(CONNECT_TIMEOUT, MAX_FRAMED_BYTES).limit(MAX_CONNECTIONS);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client, token }
    }

    /// Sends an order and returns its frames as the upstream produces them.
    ///
    /// # Errors
    ///
    /// Fails if the agent is unreachable, rejects the order or closes the
    /// connection; the error states whether the agent may have received it.
    pub async fn send(
        &self,
        agent: SocketAddr,
        order: &WorkOrder,
    ) -> Result<FrameStream, WorkError> {
        let body = order
            .encode()
            .map_err(|e| WorkError::Unreachable(e.to_string()))?;
        let exchange = Exchange::draw();
        let answer = self
            .client
            .post(format!("http://{agent}{WORK_PATH}"))
            .insert_header((AUTHORIZATION, self.token.header()))
            .insert_header((EXCHANGE_HEADER, exchange.0.clone()))
            .send_body(body)
            .await
            .map_err(|e| send_error(&e))?;
        exchange.check(answer.headers())?;
        if answer.status() != StatusCode::OK {
            return Err(WorkError::Rejected(answer.status().as_u16()));
        }
        let chunks = answer.map(|c| c.map_err(|e| e.to_string()));
        Ok(FrameStream::new(chunks.boxed_local(), order.resume))
    }

    /// Cancels a request whose answer is no longer needed.
    ///
    /// # Errors
    ///
    /// Fails if the agent does not answer in time.
    pub async fn cancel(&self, agent: SocketAddr, id: RequestId) -> Result<(), WorkError> {
        let exchange = Exchange::draw();
        let sent = self
            .client
            .post(format!("http://{agent}{CANCEL_PATH}/{id}"))
            .insert_header((AUTHORIZATION, self.token.header()))
            .insert_header((EXCHANGE_HEADER, exchange.0.clone()))
            .timeout(CANCEL_TIMEOUT)
            .send()
            .await;
        exchange.check(sent.map_err(|e| send_error(&e))?.headers())
    }
}

impl WorkClient {
    /// Reports the demand of this entry; answered when credits are granted or after a timeout.
    ///
    /// # Errors
    ///
    /// Fails if the agent does not answer in time.
    pub async fn demand(
        &self,
        agent: SocketAddr,
        order: &DemandOrder,
    ) -> Result<DemandAnswer, WorkError> {
        self.query(agent, DEMAND_PATH, order).await
    }

    /// Requests the load and the cache events of the agent's upstream.
    ///
    /// # Errors
    ///
    /// Fails if the agent does not answer in time.
    pub async fn upstream_update(
        &self,
        agent: SocketAddr,
        order: &UpdateRequest,
    ) -> Result<UpstreamUpdate, WorkError> {
        self.query(agent, UPDATE_PATH, order).await
    }

    /// Requests the outcome of a claim; a claim that never arrived is barred permanently.
    ///
    /// # Errors
    ///
    /// Fails if the agent does not answer in time.
    pub async fn inquire(&self, agent: SocketAddr, held: &HeldClaim) -> Result<Finding, WorkError> {
        self.query(agent, INQUIRY_PATH, held).await
    }

    async fn query<Q, A>(&self, agent: SocketAddr, path: &str, order: &Q) -> Result<A, WorkError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let malformed = |e: postcard::Error| WorkError::Broken(e.to_string());
        let body = postcard::to_stdvec(order).map_err(malformed)?;
        let exchange = Exchange::draw();
        let mut answer = self
            .client
            .post(format!("http://{agent}{path}"))
            .insert_header((AUTHORIZATION, self.token.header()))
            .insert_header((EXCHANGE_HEADER, exchange.0.clone()))
            .timeout(QUERY_TIMEOUT)
            .send_body(body)
            .await
            .map_err(|e| send_error(&e))?;
        exchange.check(answer.headers())?;
        if answer.status() != StatusCode::OK {
            return Err(WorkError::Rejected(answer.status().as_u16()));
        }
        let body = answer.body().limit(MAX_FRAME_BYTES).await;
        let body = body.map_err(|e| WorkError::Broken(e.to_string()))?;
        postcard::from_bytes(&body).map_err(malformed)
    }
}

/// Stream of the frames of one answer, checked for missing pieces.
pub struct FrameStream {
    chunks: Pin<Box<dyn Stream<Item = Result<Bytes, String>>>>,
    decoder: FrameDecoder,
    ready: VecDeque<Frame>,
    /// Position of the next piece.
    next: u64,
}

impl FrameStream {
    fn new(chunks: Pin<Box<dyn Stream<Item = Result<Bytes, String>>>>, next: u64) -> Self {
        Self {
            chunks,
            decoder: FrameDecoder::default(),
            ready: VecDeque::new(),
            next,
        }
    }

    /// Waits for the next frame.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes before the end frame, if a frame is
    /// malformed, and if a piece is missing or out of order.
    pub async fn next_frame(&mut self) -> Result<Frame, WorkError> {
        let broken = |detail: String| WorkError::Broken(detail);
        loop {
            if let Some(frame) = self.ready.pop_front() {
                return self.check_position(frame);
            }
            let Some(chunk) = self.chunks.next().await else {
                return Err(broken(
                    "connection closed before the answer ended".to_owned(),
                ));
            };
            self.decoder.push(&chunk.map_err(broken)?);
            while let Some(frame) = self
                .decoder
                .next_frame()
                .map_err(|e| broken(e.to_string()))?
            {
                self.ready.push_back(frame);
            }
        }
    }
}

impl FrameStream {
    /// Checks that pieces are consecutive and that the end frame carries their count.
    fn check_position(&mut self, frame: Frame) -> Result<Frame, WorkError> {
        let found = match frame {
            Frame::Piece { position, .. } => position,
            Frame::End { pieces, .. } => pieces,
            _ => return Ok(frame),
        };
        if found != self.next {
            let detail = format!("expected piece {}, found {found}", self.next);
            return Err(WorkError::Broken(detail));
        }
        if matches!(frame, Frame::Piece { .. }) {
            self.next += 1;
        }
        Ok(frame)
    }
}

fn send_error(error: &SendRequestError) -> WorkError {
    match error {
        // Also reported if the connection closes after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            WorkError::Broken("the connection closed without an answer".to_owned())
        }
        SendRequestError::Connect(e) => WorkError::Unreachable(e.to_string()),
        SendRequestError::Url(e) => WorkError::Unreachable(e.to_string()),
        other => WorkError::Broken(other.to_string()),
    }
}
