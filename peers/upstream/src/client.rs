//! HTTP client through which an agent forwards requests to its upstream.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, TRANSFER_ENCODING};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use derive_more::Display;
use futures_util::{Stream, StreamExt};

use crate::transport::{MAX_ANSWER_BYTES, strict_eof_connector};

/// Connect timeout; short, since the upstream runs on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of connections to the upstream.
const MAX_CONNECTIONS: usize = 4096;

/// Request to an upstream.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers without hop-by-hop headers, see [`is_hop_header`].
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
}

/// Failure of a request to an upstream.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum EngineError {
    /// The connection could not be established, so the upstream has not received the request.
    #[display("no connection to the upstream: {_0}")]
    Unreachable(String),
    /// The request or its answer failed after the upstream may have received the request.
    #[display("no complete answer from the upstream: {_0}")]
    Broken(String),
}

impl std::error::Error for EngineError {}

/// Head of an answer, with its body as a stream.
pub struct EngineAnswer<S> {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body chunks in order of arrival.
    pub body: S,
}

/// HTTP client for upstreams, for use on one thread.
#[derive(Clone)]
pub struct EngineClient {
    client: Client,
}

impl EngineClient {
    /// Creates a client that opens a new connection for each request.
    ///
    /// On a reused connection, a late second copy of an earlier answer would be taken for the answer
    /// to the next request. It may also close while a request is being sent, which leaves unknown
    /// whether the upstream has received the request.
    pub fn open() -> Self {
        let connector =
            strict_eof_connector(CONNECT_TIMEOUT, MAX_ANSWER_BYTES).limit(MAX_CONNECTIONS);
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
    /// Fails with [`EngineError::Unreachable`] if the connection cannot be established, and with
    /// [`EngineError::Broken`] if it fails later or the answer has no delimited body.
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
            .force_close()
            .no_decompress();
        for (name, value) in &request.headers {
            outgoing = outgoing.append_header((name.as_str(), value.as_str()));
        }
        let answer = outgoing
            .send_body(request.body.clone())
            .await
            .map_err(|e| send_error(&e))?;
        let status = answer.status();
        if !is_final_status(status) {
            return Err(EngineError::Broken(format!("{status} is no answer")));
        }
        let headers = answer.headers().clone();
        if !is_delimited(&request.method, status, &headers) {
            let detail = "the answer has neither content-length nor transfer-encoding";
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
    /// Fails if the peer is unreachable or the connection fails before the answer is complete.
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

/// Returns whether a final answer may have this status; the HTTP library accepts any of three digits.
///
/// 1xx announces a final answer, and from 600 on a status is invalid (RFC 9110, section 15).
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether the framing of an answer marks the end of its body.
fn is_delimited(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || method == Method::HEAD;
    bodiless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether a header applies to one connection only and is not forwarded.
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
        // `Disconnected` is also reported when the connection closes after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            EngineError::Broken("the connection closed without an answer".to_owned())
        }
        SendRequestError::Connect(e) => EngineError::Unreachable(e.to_string()),
        SendRequestError::Url(e) => EngineError::Unreachable(e.to_string()),
        other => EngineError::Broken(other.to_string()),
    }
}
