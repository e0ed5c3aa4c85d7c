//! Operator that evacuates an availability zone and takes the evacuation back.
//!
//! As the users' operator does, it repeats an order at another replica after a second without an
//! answer, also when the acknowledgement was lost on its way to it. Orders that it has given up may
//! still wait at a replica or on a link, whose end of the connection it may never see closed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::cluster::Cluster;
use crate::history::Evacuation;
use crate::upstream::EVACUATED_ZONE;
use pimentotide_wire::read_message;

/// Time for which the zone is in service between two evacuations, in milliseconds.
const SERVING_MS: std::ops::Range<u64> = 50..600;
/// Duration of an evacuation, in milliseconds; some are longer than the bound of their effect.
const HOLD_MS: std::ops::Range<u64> = 50..16_000;
/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an order is repeated.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which the last evacuation is repeated, after all faults.
const LAST_TIMEOUT: Duration = Duration::from_secs(15);
/// Share of the acknowledgements that are lost.
const LOST_RATIO: f64 = 0.25;
/// Share of the abandoned connections whose close does not reach the replica for long.
const UNCLOSED_RATIO: f64 = 0.5;
/// Time for which such a connection stays open.
const UNCLOSED_TIME: Duration = Duration::from_secs(12);

/// Running operator.
pub(crate) struct Evacuator {
    stop: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Evacuator {
    /// Stops the operator, and leaves the zone evacuated.
    pub(crate) async fn finish(self, cluster: &Cluster) {
        self.stop.store(true, Ordering::SeqCst);
        // The panic handler has already printed the cause of a panic.
        let _ = self.task.await;
        evacuate(cluster, LAST_TIMEOUT).await;
    }
}

/// Starts the operator.
pub(crate) fn spawn(cluster: Arc<Cluster>) -> Evacuator {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let task = tokio::spawn(async move {
        while !stopped.load(Ordering::SeqCst) {
            pause(SERVING_MS).await;
            evacuate(&cluster, ORDER_TIMEOUT).await;
            pause(HOLD_MS).await;
            withdraw(&cluster).await;
        }
    });
    Evacuator { stop, task }
}

/// Evacuates the zone again, as after an acknowledgement that was lost.
pub(crate) async fn repeat(cluster: &Cluster) {
    evacuate(cluster, LAST_TIMEOUT).await;
}

async fn pause(millis: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rand::random_range(millis))).await;
}

/// Evacuates the zone and records the acknowledgement, if there is one.
async fn evacuate(cluster: &Cluster, limit: Duration) {
    let number = {
        let mut history = cluster.recorder.history();
        history.evacuations.push(Evacuation {
            zone: EVACUATED_ZONE,
            ..Evacuation::default()
        });
        history.evacuations.len() - 1
    };
    if is_acknowledged(cluster, "soak/close_zone.http", limit).await {
        let now = cluster.recorder.now();
        cluster.recorder.history().evacuations[number].acked = Some(now);
    }
}

/// Takes the evacuation back; without an acknowledgement the zone may be in service or not.
async fn withdraw(cluster: &Cluster) {
    let now = cluster.recorder.now();
    if let Some(last) = cluster.recorder.history().evacuations.last_mut() {
        last.withdrawn = Some(now);
    }
    is_acknowledged(cluster, "soak/open_zone.http", ORDER_TIMEOUT).await;
}

/// Repeats an order at random replicas until an acknowledgement arrives; false if none does in time.
async fn is_acknowledged(cluster: &Cluster, fixture: &str, limit: Duration) -> bool {
    let message = match pimentotide_wire::Template::open(fixture) {
        Ok(template) => template.fill(&[("zone", EVACUATED_ZONE)]),
        Err(e) => {
            eprintln!("{fixture}: {e}");
            return false;
        }
    };
    let end = Instant::now() + limit;
    while Instant::now() < end {
        let status = attempt(cluster, &message).await;
        let lost = rand::random_bool(LOST_RATIO);
        if status == Some(200) && !lost {
            return true;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    false
}

/// Sends an order to a random replica and returns the status of the answer, if it comes in time.
async fn attempt(cluster: &Cluster, message: &str) -> Option<u16> {
    let address = cluster.random_control();
    let connecting = tokio::time::timeout(ATTEMPT_TIMEOUT, TcpStream::connect(address));
    let mut stream = connecting.await.ok()?.ok()?;
    stream.write_all(message.as_bytes()).await.ok()?;
    let answer = tokio::time::timeout(ATTEMPT_TIMEOUT, read_message(&mut stream)).await;
    if answer.is_err() && rand::random_bool(UNCLOSED_RATIO) {
        tokio::spawn(async move {
            tokio::time::sleep(UNCLOSED_TIME).await;
            drop(stream);
        });
    }
    let answer = answer.ok().flatten().filter(|m| m.complete);
    answer.map(|m| m.status())
}
