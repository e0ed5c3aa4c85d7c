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

/// Name of the method that takes messages.
pub(super) const DELIVER: &str = "replica_deliver";
/// Most messages that wait for one peer; more are dropped, and repeated by the log.
const QUEUE: usize = 1_024;
/// Most messages in one call.
const BATCH: usize = 64;
/// Most calls under way to one peer.
const CALLS: usize = 8;

/// How long a link waits.
pub(super) const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(300),
    call: Duration::from_secs(1),
    pause: Duration::from_millis(50),
    silence: Duration::from_millis(1_500),
};

/// Queues to the other replicas by address.
#[derive(Debug)]
pub(super) struct Links {
    own: SocketAddr,
    token: Token,
    queues: BTreeMap<SocketAddr, Sender<Envelope>>,
}

impl Links {
    pub(super) fn new(own: SocketAddr, token: Token) -> Self {
        Self {
            own,
            token,
            queues: BTreeMap::new(),
        }
    }

    /// Queues a message; drops it if the queue is full.
    pub(super) fn send(&mut self, address: SocketAddr, envelope: Envelope) {
        let (own, token) = (self.own, &self.token);
        let queue = self.queues.entry(address).or_insert_with(|| {
            let (queue, waiting) = channel(QUEUE);
            let client = PeerClient::with_timeouts(address, token.clone(), TIMEOUTS);
            actix_rt::spawn(run(own, client, waiting));
            queue
        });
        // The log repeats what is lost.
        let _ = queue.try_send(envelope);
    }
}

/// Sends what has gathered, with a few calls under way at a time.
async fn run(own: SocketAddr, client: PeerClient, mut waiting: Receiver<Envelope>) {
    let calls = Arc::new(Semaphore::new(CALLS));
    let mut envelopes = Vec::new();
    while waiting.recv_many(&mut envelopes, BATCH).await > 0 {
        let Ok(permit) = calls.clone().acquire_owned().await else {
            return;
        };
        let delivery = Delivery {
            address: own,
            envelopes: std::mem::take(&mut envelopes),
        };
        let client = client.clone();
        actix_rt::spawn(async move {
            if let Err(failure) = deliver(&client, &delivery).await {
                log::debug!("messages to {} are lost: {failure}", client.address());
            }
            drop(permit);
        });
    }
}

async fn deliver(client: &PeerClient, delivery: &Delivery) -> Result<(), Failure> {
    let text = encode(delivery)?;
    client.call(DELIVER, [text]).await
}

/// Encodes messages as text.
pub(super) fn encode(delivery: &Delivery) -> Result<String, Failure> {
    let bytes = postcard::to_stdvec(delivery)
        .map_err(|e| Failure::new(ErrorKind::Internal, format!("cannot encode messages: {e}")))?;
    Ok(STANDARD.encode(bytes))
}

/// Decodes messages from text.
pub(super) fn decode(text: &str) -> Result<Delivery, Failure> {
    let malformed = |e: String| Failure::new(ErrorKind::InvalidRequest, e);
    let bytes = STANDARD
        .decode(text)
        .map_err(|e| malformed(e.to_string()))?;
    postcard::from_bytes(&bytes).map_err(|e| malformed(e.to_string()))
}
