//! Operator that declares one version of the configuration after another and reads each back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::RngExt;
use tokio::task::JoinHandle;

use crate::cluster::Cluster;
use crate::history::Order;
use pimentotide_wire::Message;

/// Interval between two versions, in milliseconds.
const VERSION_INTERVAL_MS: std::ops::Range<u64> = 100..1_500;
/// Interval between two attempts at declaring a version.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Increment from one version to the next; the version before an increment may be sent invalid.
const VERSION_STEP: std::ops::Range<u64> = 2..5;
/// Share of the versions that are followed by an invalid one.
const INVALID_RATIO: f64 = 0.5;
/// Key that every version has.
pub(crate) const DURABLE_KEY: &str = "k1";
/// Changes that each make a configuration invalid.
const INVALID_CHANGES: [(&str, &str); 6] = [
    ("service", "unknown"),
    ("weight", "0"),
    ("timeout", "0"),
    ("prefix", "/a/"),
    ("keys", "\"k1\""),
    ("end", ""),
];

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
            let pause = rand::random_range(VERSION_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            read(&cluster).await;
            if rand::random_bool(INVALID_RATIO) {
                declare_invalid(&cluster, version + 1).await;
            }
            version += rand::rng().random_range(VERSION_STEP);
        }
    });
    Operator { stop, task }
}

/// Key that the order of this serial number adds and the one after the next takes away.
pub(crate) fn key_of(serial: u64) -> String {
    format!("key{serial}")
}

/// Sends an invalid version once and records the status of the answer, if there is one.
async fn declare_invalid(cluster: &Cluster, version: u64) {
    let change = INVALID_CHANGES[rand::random_range(0..INVALID_CHANGES.len())];
    let message = cluster.declaration(version, "", &[change]);
    let answer = cluster.send_to_control(&message).await;
    let status = answer.map_or(0, |a| a.status());
    cluster.recorder.history().invalid.push((version, status));
}

/// Sends a version repeatedly until it is acknowledged or the soak ends.
async fn declare(cluster: &Cluster, version: u64, stopped: &AtomicBool) {
    let serial = {
        let mut history = cluster.recorder.history();
        let serial = history.orders.len() as u64 + 1;
        history.orders.push(Order {
            version,
            serial,
            sent: cluster.recorder.now(),
            acked: None,
        });
        serial
    };
    let (last, own, extra) = (key_of(serial - 1), key_of(serial), &cluster.extra_keys);
    let keys = format!("\"{last}\",\"{own}\"{extra}");
    let message = cluster.declaration(version, &keys, &[]);
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
