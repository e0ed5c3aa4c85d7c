//! Operator that declares one version of the configuration after another and reads each back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::RngExt;
use tokio::task::JoinHandle;

use crate::cluster::Cluster;
use crate::history::Order;
use pimentotide_wire::Message;

/// Interval between two versions.
const VERSION_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval between two attempts at declaring a version.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Increment from one version to the next; versions need not be consecutive.
const VERSION_STEP: std::ops::Range<u64> = 1..4;

/// Running operator.
pub(crate) struct Operator {
    stop: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Operator {
    /// Stops the operator and waits until its last declaration is acknowledged or abandoned.
    pub(crate) async fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        // The panic handler has already printed the cause of a panic.
        let _ = self.task.await;
    }
}

/// Starts the operator.
pub(crate) fn spawn(cluster: Arc<Cluster>) -> Operator {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let task = tokio::spawn(async move {
        let mut version = 1;
        while !stopped.load(Ordering::SeqCst) {
            declare(&cluster, version, &stopped).await;
            tokio::time::sleep(VERSION_INTERVAL).await;
            read(&cluster).await;
            version += rand::rng().random_range(VERSION_STEP);
        }
    });
    Operator { stop, task }
}

/// Sends a version repeatedly until it is acknowledged or the soak ends.
async fn declare(cluster: &Cluster, version: u64, stopped: &AtomicBool) {
    let order = Order {
        version,
        sent: cluster.recorder.now(),
        acked: None,
    };
    cluster.recorder.history().orders.push(order);
    let message = cluster.declaration(version);
    while !stopped.load(Ordering::SeqCst) {
        let answer = cluster.send_to_control(&message).await;
        if answer.is_some_and(|a| a.status() == 200) {
            let now = cluster.recorder.now();
            if let Some(order) = cluster.recorder.history().orders.last_mut() {
                order.acked = Some(now);
            }
            return;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Reads the configuration once and records its version; true if one was returned.
pub(crate) async fn read(cluster: &Cluster) -> bool {
    let sent = cluster.recorder.now();
    let answer = cluster.send_to_control(&cluster.read_request()).await;
    let Some(version) = answer
        .filter(|a| a.status() == 200)
        .and_then(|a| version_of(&a))
    else {
        return false;
    };
    cluster.recorder.history().reads.push((sent, version));
    true
}

fn version_of(answer: &Message) -> Option<u64> {
    let rest = answer.body.split("\"version\":").nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
