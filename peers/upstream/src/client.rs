//! Client by which an agent passes work on to its upstream.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, TRANSFER_ENCODING};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use derive_more::Display;
use futures_util::{Stream, StreamExt};

use crate::transport::whole_connector;

/// Time allowed for connecting to the upstream, which runs on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// Connections kept to the upstream at most.
const MAX_CONNECTIONS: usize = 4096;

/// One request to an upstream.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Headers, without those of a single connection.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// Why an upstream gave no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum EngineError {
    /// No connection: the upstream has seen nothing of the request.
    #[display("no connection to the upstream: {_0}")]
    Unreachable(String),
    /// The connection failed once the request may have been seen.
    #[display("the upstream broke off: {_0}")]
    Broken(String),
}

impl std::error::Error for EngineError {}

/// Head of an answer, and its body as it arrives.
pub struct EngineAnswer<S> {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: S,
}

/// Client of one upstream, for use on one thread.
#[derive(Clone)]
pub struct EngineClient {
    client: Client,
}

impl EngineClient {
    /// Opens a client that connects when it is first needed.
    pub fn open() -> Self {
        Self::with_keep_alive(KEEP_ALIVE)
    }

    /// Opens a client that connects anew for each request.
    ///
    /// A kept connection may close just as a request is sent over it, and then
    /// nobody can tell whether the upstream has seen the request.
    pub fn open_unpooled() -> Self {
        Self::with_keep_alive(Duration::ZERO)
    }

    fn with_keep_alive(keep_alive: Duration) -> Self {
        let connector = whole_connector(CONNECT_TIMEOUT)
            .conn_keep_alive(keep_alive)
            .limit(MAX_CONNECTIONS);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether the upstream may have seen the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &EngineRequest,
    ) -> Result<EngineAnswer<impl Stream<Item = Result<Bytes, EngineError>> + use<>>, EngineError>
    {
        let url = format!("http://{address}{}", request.path);
        let mut outgoing = self
            .client
            .request(request.method.clone(), url)
            .no_decompress();
        for (name, value) in &request.headers {
            outgoing = outgoing.append_header((name.as_str(), value.as_str()));
        }
        let answer = outgoing
            .send_body(request.body.clone())
            .await
            .map_err(|e| send_error(&e))?;
        let status = answer.status();
        let headers = answer.headers().clone();
        if !is_delimited(&request.method, status, &headers) {
            let detail = "its answer has neither a length nor chunks";
            return Err(EngineError::Broken(detail.to_owned()));
        }
        let body = answer.map(|chunk| chunk.map_err(|e| EngineError::Broken(e.to_string())));
        Ok(EngineAnswer {
            status,
            headers,
            body,
        })
    }

    /// Posts a JSON value and returns the status of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or breaks off.
    pub async fn post_json(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<StatusCode, EngineError> {
        let request = EngineRequest {
            method: Method::POST,
            path: path.to_owned(),
            headers: vec![(CONTENT_TYPE.to_string(), "application/json".to_owned())],
            body,
        };
        let answer = self.send(address, &request).await?;
        let status = answer.status;
        let mut body = answer.body;
        while body.next().await.transpose()?.is_some() {}
        Ok(status)
    }
}

/// Whether the end of an answer can be told from the end of its connection.
fn is_delimited(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || method == Method::HEAD;
    bodiless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Whether a header belongs to one connection and is not passed on.
pub fn is_hop_header(name: &HeaderName) -> bool {
    const HOP: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
    ];
    HOP.contains(&name.as_str()) || name == CONTENT_LENGTH
}

fn send_error(error: &SendRequestError) -> EngineError {
    match error {
        // Also reported when the connection closes after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            EngineError::Broken("the connection closed without an answer".to_owned())
        }
        SendRequestError::Connect(e) => EngineError::Unreachable(e.to_string()),
        SendRequestError::Url(e) => EngineError::Unreachable(e.to_string()),
        other => EngineError::Broken(other.to_string()),
    }
}
