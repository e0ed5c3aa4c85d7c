//! An operator that sends one configuration after another and reads them back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::RngExt;
use tokio::task::JoinHandle;

use crate::cluster::Cluster;
use crate::history::Order;
use pimentotide_wire::Message;

/// Pause between two versions, and before an order is sent again.
const PAUSE: Duration = Duration::from_millis(1_500);
const AGAIN: Duration = Duration::from_millis(150);
/// Distance of versions, which need not follow each other.
const STEPS: std::ops::Range<u64> = 1..4;

/// Running operator.
pub(crate) struct Operator {
    stop: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Operator {
    /// Waits until the last order is acknowledged or given up.
    pub(crate) async fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        // An operator that panicked has printed why.
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
            tokio::time::sleep(PAUSE).await;
            read(&cluster).await;
            version += rand::rng().random_range(STEPS);
        }
    });
    Operator { stop, task }
}

/// Sends a version until it is acknowledged or the soak ends.
async fn declare(cluster: &Cluster, version: u64, stopped: &AtomicBool) {
    let order = Order {
        version,
        sent: cluster.notes.now(),
        acked: None,
    };
    cluster.notes.history().orders.push(order);
    let message = cluster.declaration(version);
    while !stopped.load(Ordering::SeqCst) {
        let answer = cluster.ask_control(&message).await;
        if answer.is_some_and(|a| a.status() == 200) {
            let now = cluster.notes.now();
            if let Some(order) = cluster.notes.history().orders.last_mut() {
                order.acked = Some(now);
            }
            return;
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Reads the configuration once and notes its version; true if one was told.
pub(crate) async fn read(cluster: &Cluster) -> bool {
    let sent = cluster.notes.now();
    let answer = cluster.ask_control(&cluster.read_request()).await;
    let Some(version) = answer
        .filter(|a| a.status() == 200)
        .and_then(|a| version_of(&a))
    else {
        return false;
    };
    cluster.notes.history().reads.push((sent, version));
    true
}

fn version_of(answer: &Message) -> Option<u64> {
    let rest = answer.body.split("\"version\":").nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
