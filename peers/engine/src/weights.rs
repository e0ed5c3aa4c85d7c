//! Reads weights from the store or from a peer at a leased rate.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use derive_more::Display;
use futures_util::StreamExt;
use pimentotide_model::{ModelName, VersionName};
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Header with the rate leased by the reader, in bytes per second.
pub const RATE_HEADER: &str = "x-weights-rate";

/// Connect timeout for the store and for peers on other instances.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Key of the weights of one expert in one layer.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{model}@{version}/{layer}/{expert}")]
pub struct WeightsKey {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Index of the layer.
    pub layer: u16,
    /// Index of the expert in the layer.
    pub expert: u16,
}

impl WeightsKey {
    /// Returns the path at which the weights are served.
    pub fn path(&self) -> String {
        let (model, version) = (&self.model, &self.version);
        format!("/weights/{model}/{version}/{}/{}", self.layer, self.expert)
    }
}

/// HTTP client of the weights store and of peers, for use on one thread.
#[derive(Clone)]
pub struct WeightsClient {
    client: Client,
}

impl WeightsClient {
    /// Creates a client that opens a new connection for each request.
    pub fn open() -> Self {
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self { client }
    }

    /// Reads weights at no more than `rate` bytes per second and returns their size in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the source is unreachable, rejects the request or closes the connection early.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        key: &WeightsKey,
        rate: u64,
    ) -> Result<u64, PlatformError> {
        let url = format!("http://{address}{}", key.path());
        let request = self.client.get(url).force_close().no_decompress();
        let request = request.insert_header((RATE_HEADER, rate.to_string()));
        let mut answer = request.send().await?;
        if !answer.status().is_success() {
            return Err(PlatformError::from_status(answer.status()));
        }
        let start = Instant::now();
        let mut size = 0;
        while let Some(chunk) = answer.next().await {
            size += chunk?.len() as u64;
            throttle(start, size, rate).await;
        }
        Ok(size)
    }
}

/// Sleeps until `size` bytes are due at `rate` bytes per second since `start`.
async fn throttle(start: Instant, size: u64, rate: u64) {
    let due = Duration::from_secs_f64(size as f64 / rate.max(1) as f64);
    let ahead = due.saturating_sub(start.elapsed());
    if !ahead.is_zero() {
        actix_rt::time::sleep(ahead).await;
    }
}
