//! Counters, gauges and durations, for StatsD or for scrapers.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, QueuingMetricSink, StatsdClient, Timed};
use derive_more::Display;

use crate::Exposition;

/// Prefix of all metric names.
const PREFIX: &str = "pimentotide";

/// Error of opening the metrics socket.
#[derive(Debug, Display)]
#[display("cannot open the metrics socket: {_0}")]
pub struct MetricsError(String);

impl std::error::Error for MetricsError {}

/// Metrics of one process; cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Discards all metrics, at the cost of one comparison each.
    pub fn none() -> Self {
        Self { client: None }
    }

    /// Sends metrics to the StatsD server at `address` through a queue, so that callers never wait for the socket.
    ///
    /// # Errors
    ///
    /// Fails if no local UDP socket can be bound.
    pub fn open(address: SocketAddr) -> Result<Self, MetricsError> {
        let local = if address.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local).map_err(|e| MetricsError(e.to_string()))?;
        let sink = BufferedUdpMetricSink::from(address, socket)
            .map_err(|e| MetricsError(e.to_string()))?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Self {
            client: Some(Arc::new(client)),
        })
    }

    /// Aggregates metrics for scrapers; the returned exposition renders them.
    pub fn expose() -> (Self, Exposition) {
        let exposition = Exposition::default();
        let client = StatsdClient::from_sink(PREFIX, exposition.clone());
        let metrics = Self {
            client: Some(Arc::new(client)),
        };
        (metrics, exposition)
    }

    /// Adds `amount` to a counter; `tag` is a key and its value.
    pub fn count(&self, name: &str, tag: (&str, &str), amount: i64) {
        if let Some(client) = &self.client {
            client
                .count_with_tags(name, amount)
                .with_tag(tag.0, tag.1)
                .send();
        }
    }

    /// Sets a gauge; `tag` is a key and its value.
    pub fn gauge(&self, name: &str, tag: (&str, &str), value: u64) {
        if let Some(client) = &self.client {
            client
                .gauge_with_tags(name, value)
                .with_tag(tag.0, tag.1)
                .send();
        }
    }

    /// Records a duration; `tag` is a key and its value.
    pub fn time(&self, name: &str, tag: (&str, &str), value: Duration) {
        if let Some(client) = &self.client {
            client
                .time_with_tags(name, value)
                .with_tag(tag.0, tag.1)
                .send();
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::none()
    }
}
