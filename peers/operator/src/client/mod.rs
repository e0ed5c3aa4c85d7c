//! Client of operators: several replicas, one answer.

mod failure;

use std::time::Duration;

use actix_web::http::Method;
use awc::Client as Http;
use pimentotide_model::Declarations;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout_at};

use crate::control::{Cluster, MemberChange};
use crate::message::{Accepted, InForce, OrderRequest, ProblemBody};

pub use failure::{ClientError, Exit};

/// Time after which the client gives up.
pub const TOTAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time that one replica has for an answer.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after all replicas have failed in turn.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Longest answer, bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client that knows several replicas.
pub struct Client {
    http: Http,
    addresses: Vec<String>,
    total: Duration,
    attempt: Duration,
}

impl Client {
    /// Opens a client of the replicas at `addresses`, `IP:PORT` each.
    pub fn open<I>(addresses: I) -> Self
    where
        I: IntoIterator<Item = String>,
    {
        Self {
            http: Http::builder().timeout(ATTEMPT_TIMEOUT).finish(),
            addresses: addresses.into_iter().collect(),
            total: TOTAL_TIMEOUT,
            attempt: ATTEMPT_TIMEOUT,
        }
    }

    /// Replaces the time limits for one replica and in total.
    #[must_use]
    pub fn with_timeouts(mut self, attempt: Duration, total: Duration) -> Self {
        self.attempt = attempt;
        self.total = total;
        self
    }

    /// Replaces the time limit in total.
    #[must_use]
    pub fn with_total(mut self, total: Duration) -> Self {
        self.total = total;
        self
    }

    /// Gives an order; resends it under the same identifier when an answer is lost.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of a replica, or if none answered in time.
    pub async fn order(&self, order: &OrderRequest) -> Result<Accepted, ClientError> {
        self.ask(&Method::POST, "/orders", Some(order)).await
    }

    /// Changes the membership of the control replicas.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of a replica, or if none answered in time.
    pub async fn change(&self, change: &MemberChange) -> Result<Cluster, ClientError> {
        self.ask(&Method::POST, "/replicas", Some(change)).await
    }

    /// Gets what is at `path`.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of a replica, or if none answered in time.
    pub async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        self.ask::<(), T>(&Method::GET, path, None).await
    }

    /// Gets the declarations in force.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of a replica, or if none answered in time.
    pub async fn declarations(&self) -> Result<Declarations, ClientError> {
        let answer: InForce = self.get("/declarations").await?;
        Ok(answer.declarations)
    }

    async fn ask<B, T>(
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
        let end = Instant::now() + self.total;
        let mut tried = Vec::new();
        loop {
            tried.clear();
            for address in &self.addresses {
                let until = end.min(Instant::now() + self.attempt);
                let attempt = self.attempt(method, address, path, body.as_deref());
                match timeout_at(until, attempt).await {
                    Ok(Ok(value)) => return Ok(value),
                    Ok(Err(ClientError::Lost(why))) => tried.push(format!("{address}: {why}")),
                    Ok(Err(refusal)) => return Err(refusal),
                    Err(_) => tried.push(format!("{address}: no answer in time")),
                }
            }
            if Instant::now() + ROUND_PAUSE >= end {
                return Err(ClientError::NoAnswer(tried));
            }
            sleep(ROUND_PAUSE).await;
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
        let request = self.http.request(method.clone(), url);
        let sent = match body {
            Some(body) => request
                .content_type("application/json")
                .send_body(body.to_vec()),
            None => request.send(),
        };
        let mut response = sent.await.map_err(|e| ClientError::Lost(e.to_string()))?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|e| ClientError::Lost(e.to_string()))?;
        if response.status().is_success() {
            return serde_json::from_slice(&body)
                .map_err(|e| ClientError::Malformed(e.to_string()));
        }
        match serde_json::from_slice::<ProblemBody>(&body) {
            Ok(problem) => Err(ClientError::from(problem)),
            Err(_) => Err(ClientError::Lost(format!("status {}", response.status()))),
        }
    }
}
