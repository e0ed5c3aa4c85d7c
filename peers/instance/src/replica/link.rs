//! Outgoing messages to the other replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pimentotide_consensus::Envelope;
use pimentotide_model::{ErrorKind, Failure};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{Receiver, Sender, channel};

use super::message::Delivery;
use crate::{PeerClient, PeerTimeouts, Token};

/// Method that accepts messages of another replica.
pub(super) const DELIVER: &str = "replica_deliver";
/// Maximum number of messages queued for one peer; more are dropped, and sent again by the log.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Maximum number of messages in one call.
const MAX_BATCH_MESSAGES: usize = 64;
/// Maximum number of calls in flight to one peer.
const MAX_CONCURRENT_CALLS: usize = 8;

/// Timeouts of connections between replicas.
pub(super) const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(300),
    call: Duration::from_secs(1),
    retry_delay: Duration::from_millis(50),
    idle: Duration::from_millis(1_500),
};

/// Send queues to the other replicas, by address.
#[derive(Debug)]
pub(super) struct Links {
    own_address: SocketAddr,
    token: Token,
    queues: BTreeMap<SocketAddr, Sender<Envelope>>,
}

impl Links {
    pub(super) fn new(own_address: SocketAddr, token: Token) -> Self {
        Self {
            own_address,
            token,
            queues: BTreeMap::new(),
        }
    }

    /// Queues a message; drops it if the queue is full.
    pub(super) fn send(&mut self, address: SocketAddr, envelope: Envelope) {
        let (own_address, token) = (self.own_address, &self.token);
        let queue = self.queues.entry(address).or_insert_with(|| {
            let (queue, queued) = channel(MAX_QUEUED_MESSAGES);
            let client = PeerClient::with_timeouts(address, token.clone(), TIMEOUTS);
            actix_rt::spawn(run(own_address, client, queued));
            queue
        });
        // The log sends lost messages again.
        let _ = queue.try_send(envelope);
    }
}

/// Sends queued messages in batches, with a bounded number of calls in flight.
async fn run(own_address: SocketAddr, client: PeerClient, mut queued: Receiver<Envelope>) {
    let calls = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    let mut envelopes = Vec::new();
    while queued.recv_many(&mut envelopes, MAX_BATCH_MESSAGES).await > 0 {
        let Ok(permit) = calls.clone().acquire_owned().await else {
            return;
        };
        let delivery = Delivery {
            address: own_address,
            envelopes: std::mem::take(&mut envelopes),
        };
        let client = client.clone();
        actix_rt::spawn(async move {
            if let Err(failure) = deliver(&client, &delivery).await {
                log::debug!("sending messages to {} failed: {failure}", client.address());
            }
            drop(permit);
        });
    }
}

async fn deliver(client: &PeerClient, delivery: &Delivery) -> Result<(), Failure> {
    let text = encode(delivery)?;
    client.call(DELIVER, [text]).await
}

/// Encodes messages as Base64.
pub(super) fn encode(delivery: &Delivery) -> Result<String, Failure> {
    let bytes = postcard::to_stdvec(delivery)
        .map_err(|e| Failure::new(ErrorKind::Internal, format!("cannot encode messages: {e}")))?;
    Ok(STANDARD.encode(bytes))
}

/// Decodes messages from Base64.
pub(super) fn decode(text: &str) -> Result<Delivery, Failure> {
    let malformed = |e: String| Failure::new(ErrorKind::InvalidRequest, e);
    let bytes = STANDARD
        .decode(text)
        .map_err(|e| malformed(e.to_string()))?;
    postcard::from_bytes(&bytes).map_err(|e| malformed(e.to_string()))
}
