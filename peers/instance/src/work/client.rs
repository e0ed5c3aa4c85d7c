//! Client by which an entry passes work to agents.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::http::header::AUTHORIZATION;
use bytes::Bytes;
use derive_more::Display;
use futures_util::{Stream, StreamExt};
use pimentotide_model::RequestId;
use pimentotide_outcome::Finding;
use pimentotide_upstream::whole_connector;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{
    CANCEL_PATH, DEMAND_PATH, DemandAnswer, DemandOrder, Frame, FrameDecoder, HeldClaim,
    INQUIRY_PATH, MAX_FRAME_BYTES, NEWS_PATH, News, NewsOrder, WORK_PATH, WorkOrder,
};
use crate::Token;

/// Time allowed for connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections kept to all agents at most.
const MAX_CONNECTIONS: usize = 8192;

/// Time allowed for an agent to take note of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time allowed for an agent to answer a demand or a request for news.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Why work did not get an answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum WorkError {
    /// No connection: the agent has seen nothing of the request.
    #[display("no connection to the agent: {_0}")]
    Unreachable(String),
    /// The agent refused the request before reading it.
    #[display("the agent answered with status {_0}")]
    Rejected(u16),
    /// The connection failed once the agent may have seen the request.
    #[display("the agent broke off: {_0}")]
    Broken(String),
}

impl std::error::Error for WorkError {}

/// Lowest status with which an agent may have failed after it took a request in.
const FIRST_FAULT: u16 = 500;

impl WorkError {
    /// Whether the agent has certainly not passed the request on.
    pub fn is_unseen(&self) -> bool {
        match self {
            Self::Unreachable(_) => true,
            Self::Rejected(status) => *status < FIRST_FAULT,
            Self::Broken(_) => false,
        }
    }
}

/// Client of all agents, for use on one thread.
#[derive(Clone)]
pub struct WorkClient {
    client: Client,
    token: Token,
}

impl WorkClient {
    /// Opens a client that connects when it is first needed.
    pub fn open(token: Token) -> Self {
        let connector = whole_connector(CONNECT_TIMEOUT).limit(MAX_CONNECTIONS);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client, token }
    }

    /// Sends an order; its frames follow as the upstream produces them.
    ///
    /// # Errors
    ///
    /// Says whether the agent may have seen the request.
    pub async fn send(
        &self,
        agent: SocketAddr,
        order: &WorkOrder,
    ) -> Result<FrameStream, WorkError> {
        let body = order
            .encode()
            .map_err(|e| WorkError::Unreachable(e.to_string()))?;
        let answer = self
            .client
            .post(format!("http://{agent}{WORK_PATH}"))
            .insert_header((AUTHORIZATION, self.token.header()))
            .send_body(body)
            .await
            .map_err(|e| send_error(&e))?;
        if answer.status() != StatusCode::OK {
            return Err(WorkError::Rejected(answer.status().as_u16()));
        }
        let chunks = answer.map(|c| c.map_err(|e| e.to_string()));
        Ok(FrameStream::new(chunks.boxed_local(), order.resume))
    }

    /// Tells an agent that nobody waits for the answer any more.
    ///
    /// # Errors
    ///
    /// Fails if the agent does not take note in time.
    pub async fn cancel(&self, agent: SocketAddr, id: RequestId) -> Result<(), WorkError> {
        let sent = self
            .client
            .post(format!("http://{agent}{CANCEL_PATH}/{id}"))
            .insert_header((AUTHORIZATION, self.token.header()))
            .timeout(CANCEL_TIMEOUT)
            .send()
            .await;
        sent.map(drop).map_err(|e| send_error(&e))
    }
}

impl WorkClient {
    /// States what waits here; answered when credits are granted or after a while.
    ///
    /// # Errors
    ///
    /// Fails if the agent does not answer in time.
    pub async fn demand(
        &self,
        agent: SocketAddr,
        order: &DemandOrder,
    ) -> Result<DemandAnswer, WorkError> {
        self.ask(agent, DEMAND_PATH, order).await
    }

    /// Asks what the agent knows of its upstream.
    ///
    /// # Errors
    ///
    /// Fails if the agent does not answer in time.
    pub async fn news(&self, agent: SocketAddr, order: &NewsOrder) -> Result<News, WorkError> {
        self.ask(agent, NEWS_PATH, order).await
    }

    /// Asks what became of a claim; one that never arrived is barred for good.
    ///
    /// # Errors
    ///
    /// Fails if the agent does not answer in time.
    pub async fn inquire(&self, agent: SocketAddr, held: &HeldClaim) -> Result<Finding, WorkError> {
        self.ask(agent, INQUIRY_PATH, held).await
    }

    async fn ask<Q, A>(&self, agent: SocketAddr, path: &str, order: &Q) -> Result<A, WorkError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let malformed = |e: postcard::Error| WorkError::Broken(e.to_string());
        let body = postcard::to_stdvec(order).map_err(malformed)?;
        let mut answer = self
            .client
            .post(format!("http://{agent}{path}"))
            .insert_header((AUTHORIZATION, self.token.header()))
            .timeout(ASK_TIMEOUT)
            .send_body(body)
            .await
            .map_err(|e| send_error(&e))?;
        if answer.status() != StatusCode::OK {
            return Err(WorkError::Rejected(answer.status().as_u16()));
        }
        let body = answer.body().limit(MAX_FRAME_BYTES).await;
        let body = body.map_err(|e| WorkError::Broken(e.to_string()))?;
        postcard::from_bytes(&body).map_err(malformed)
    }
}

/// Frames of one answer as they arrive.
pub struct FrameStream {
    chunks: Pin<Box<dyn Stream<Item = Result<Bytes, String>>>>,
    decoder: FrameDecoder,
    ready: VecDeque<Frame>,
    /// Position of the piece that comes next.
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
    /// Fails if the connection breaks or closes before the answer is closed, and
    /// if a piece is missing or out of place.
    pub async fn next_frame(&mut self) -> Result<Frame, WorkError> {
        let broken = |detail: String| WorkError::Broken(detail);
        loop {
            if let Some(frame) = self.ready.pop_front() {
                return self.in_place(frame);
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
    /// Checks that a piece follows the one before it and that the end counts them all.
    fn in_place(&mut self, frame: Frame) -> Result<Frame, WorkError> {
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
        // Also reported when the connection closes after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            WorkError::Broken("the connection closed without an answer".to_owned())
        }
        SendRequestError::Connect(e) => WorkError::Unreachable(e.to_string()),
        SendRequestError::Url(e) => WorkError::Unreachable(e.to_string()),
        other => WorkError::Broken(other.to_string()),
    }
}
