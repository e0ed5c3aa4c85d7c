//! Client for operators that retries a request on several replicas.

mod failure;

use std::time::Duration;

use actix_web::http::Method;
use awc::Client as Http;
use pimentotide_model::Declarations;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout_at};

use crate::control::{Cluster, MemberChange};
use crate::message::{Accepted, CurrentDeclarations, OrderRequest, ProblemBody};

pub use failure::{ClientError, Exit};

/// Default time limit of a request over all attempts.
pub const TOTAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Default time limit of one attempt on one replica.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before the next round once every replica has failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of the control replicas' operator interface.
pub struct Client {
    http: Http,
    addresses: Vec<String>,
    total_timeout: Duration,
    attempt_timeout: Duration,
}

impl Client {
    /// Creates a client of the replicas at `addresses`, each `IP:PORT`.
    pub fn open<I>(addresses: I) -> Self
    where
        I: IntoIterator<Item = String>,
    {
        Self {
            http: Http::builder().timeout(ATTEMPT_TIMEOUT).finish(),
            addresses: addresses.into_iter().collect(),
            total_timeout: TOTAL_TIMEOUT,
            attempt_timeout: ATTEMPT_TIMEOUT,
        }
    }

    /// Sets the time limits of one attempt and of the whole request.
    #[must_use]
    pub fn with_timeouts(mut self, attempt: Duration, total: Duration) -> Self {
        self.attempt_timeout = attempt;
        self.total_timeout = total;
        self
    }

    /// Sets the time limit of the whole request.
    #[must_use]
    pub fn with_total_timeout(mut self, total: Duration) -> Self {
        self.total_timeout = total;
        self
    }

    /// Submits an order; resends it under the same identifier when an answer is lost.
    ///
    /// # Errors
    ///
    /// Fails if a replica refuses the request, or if none answers in time.
    pub async fn order(&self, order: &OrderRequest) -> Result<Accepted, ClientError> {
        self.send(&Method::POST, "/orders", Some(order)).await
    }

    /// Changes the membership of the control replicas.
    ///
    /// # Errors
    ///
    /// Fails if a replica refuses the request, or if none answers in time.
    pub async fn change(&self, change: &MemberChange) -> Result<Cluster, ClientError> {
        self.send(&Method::POST, "/replicas", Some(change)).await
    }

    /// Fetches the resource at `path`.
    ///
    /// # Errors
    ///
    /// Fails if a replica refuses the request, or if none answers in time.
    pub async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        self.send::<(), T>(&Method::GET, path, None).await
    }

    /// Fetches the declarations in force.
    ///
    /// # Errors
    ///
    /// Fails if a replica refuses the request, or if none answers in time.
    pub async fn declarations(&self) -> Result<Declarations, ClientError> {
        let answer: CurrentDeclarations = self.get("/declarations").await?;
        Ok(answer.declarations)
    }

    async fn send<B, T>(
        &self,
        method: &Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<T, ClientError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let body = body.map(serde_json::to_vec).transpose();
        let body = body.map_err(|e| ClientError::Malformed(e.to_string()))?;
        let deadline = Instant::now() + self.total_timeout;
        let mut failures = Vec::new();
        loop {
            failures.clear();
            for address in &self.addresses {
                let until = deadline.min(Instant::now() + self.attempt_timeout);
                let attempt = self.attempt(method, address, path, body.as_deref());
                match timeout_at(until, attempt).await {
                    Ok(Ok(value)) => return Ok(value),
                    Ok(Err(ClientError::Retryable(reason))) => {
                        failures.push(format!("{address}: {reason}"));
                    }
                    Ok(Err(refusal)) => return Err(refusal),
                    Err(_) => failures.push(format!("{address}: no answer in time")),
                }
            }
            if Instant::now() + RETRY_INTERVAL >= deadline {
                return Err(ClientError::NoAnswer(failures));
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    async fn attempt<T>(
        &self,
        method: &Method,
        address: &str,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let url = format!("http://{address}{path}");
        // On a reused connection, a late answer of an earlier attempt would be taken for this one's.
        let request = self.http.request(method.clone(), url).force_close();
        let sent = match body {
            Some(body) => request
                .content_type("application/json")
                .send_body(body.to_vec()),
            None => request.send(),
        };
        let mut response = sent
            .await
            .map_err(|e| ClientError::Retryable(e.to_string()))?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|e| ClientError::Retryable(e.to_string()))?;
        if response.status().is_success() {
            return serde_json::from_slice(&body)
                .map_err(|e| ClientError::Malformed(e.to_string()));
        }
        match serde_json::from_slice::<ProblemBody>(&body) {
            Ok(problem) => Err(ClientError::from(problem)),
            Err(_) => Err(ClientError::Retryable(format!(
                "status {}",
                response.status()
            ))),
        }
    }
}
