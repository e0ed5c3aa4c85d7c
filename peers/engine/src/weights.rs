//! Reading weights from the store or from a peer, at a leased rate.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use derive_more::Display;
use futures_util::StreamExt;
use pimentotide_model::{ModelName, VersionName};
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Header with the rate that the reader has leased, bytes a second.
pub const RATE_HEADER: &str = "x-weights-rate";

/// Time allowed for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Weights of one expert in one layer.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{model}@{version}/{layer}/{expert}")]
pub struct WeightsKey {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// Layer.
    pub layer: u16,
    /// Expert.
    pub expert: u16,
}

impl WeightsKey {
    /// Path under which the weights are served.
    pub fn path(&self) -> String {
        let (model, version) = (&self.model, &self.version);
        format!("/weights/{model}/{version}/{}/{}", self.layer, self.expert)
    }
}

/// Client of the weights store and of peers, for use on one thread.
#[derive(Clone)]
pub struct WeightsClient {
    client: Client,
}

impl WeightsClient {
    /// Opens a client that connects when it is first needed.
    pub fn open() -> Self {
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self { client }
    }

    /// Reads weights at `rate` bytes a second at most, and returns their size.
    ///
    /// # Errors
    ///
    /// Fails if the source cannot be reached, breaks off or has no room.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        key: &WeightsKey,
        rate: u64,
    ) -> Result<u64, PlatformError> {
        let url = format!("http://{address}{}", key.path());
        let request = self.client.get(url).no_decompress();
        let request = request.insert_header((RATE_HEADER, rate.to_string()));
        let mut answer = request.send().await?;
        if !answer.status().is_success() {
            return Err(PlatformError::of_status(answer.status()));
        }
        let start = Instant::now();
        let mut size = 0;
        while let Some(chunk) = answer.next().await {
            size += chunk?.len() as u64;
            pace(start, size, rate).await;
        }
        Ok(size)
    }
}

/// Waits until `size` bytes have been due at `rate` since `start`.
async fn pace(start: Instant, size: u64, rate: u64) {
    let due = Duration::from_secs_f64(size as f64 / rate.max(1) as f64);
    let ahead = due.saturating_sub(start.elapsed());
    if !ahead.is_zero() {
        actix_rt::time::sleep(ahead).await;
    }
}
