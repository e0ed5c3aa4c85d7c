//! Callers that reuse connections, call entries at random and record each outcome.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::cluster::Cluster;
use crate::history::{Call, Kind, Outcome, Recorder};
use crate::operator::{DURABLE_KEY, key_of};
use crate::upstream::{EVENTS, body_of, event_of};
use pimentotide_wire::{Message, Template, read_message};

/// Timeout of a call; exceeds every deadline that a request carries.
const CALL_TIMEOUT: Duration = Duration::from_millis(4_600);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Number of callers that use one entry while it stops.
const CALLERS_AT_STOP: u64 = 6;
/// Share of the requests that reuse an idle connection if one is open.
const REUSE_RATIO: f64 = 0.8;

/// Number of orders since which the key of a request may have been taken away.
const KEY_AGES: std::ops::Range<u64> = 0..9;

/// Running callers.
pub(crate) struct Callers {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Stops the callers and waits until their last calls have ended.
    pub(crate) async fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            // The panic handler has already printed the cause of a panic.
            let _ = task.await;
        }
    }
}

/// Source of request numbers, shared by all callers.
#[derive(Debug, Default)]
pub(crate) struct RequestIds(AtomicU64);

impl RequestIds {
    fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::SeqCst) + 1
    }
}

/// Starts `count` callers.
pub(crate) fn spawn_all(cluster: &Arc<Cluster>, count: usize, seed: u64) -> Callers {
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = (0..count).map(|number| {
        let mut caller = Caller::new(cluster, seed.wrapping_add(number as u64));
        let stop = stop.clone();
        tokio::spawn(async move {
            while !stop.load(Ordering::SeqCst) {
                caller.call().await;
                let pause = caller.rng.random_range(PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        })
    });
    let tasks = tasks.collect();
    Callers { stop, tasks }
}

/// Starts callers that use their connections to one entry until it is gone; half of their requests are slow.
pub(crate) fn spawn_at(cluster: &Cluster, entry: usize, seed: u64) -> Callers {
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = (0..CALLERS_AT_STOP).map(|number| {
        let mut caller = Caller::new(cluster, seed.wrapping_add(number));
        let stop = stop.clone();
        tokio::spawn(async move {
            while !stop.load(Ordering::SeqCst) {
                let slow = caller.rng.random_bool(0.5);
                let kind = if slow { Kind::Slow } else { caller.draw_kind() };
                caller.call_at(entry, kind).await;
                let pause = caller.rng.random_range(PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        })
    });
    let tasks = tasks.collect();
    Callers { stop, tasks }
}

/// A caller with its idle connections by entry.
pub(crate) struct Caller {
    recorder: Arc<Recorder>,
    request_ids: Arc<RequestIds>,
    entries: Vec<SocketAddr>,
    template: Template,
    idle: BTreeMap<usize, TcpStream>,
    rng: ChaCha8Rng,
}

impl Caller {
    pub(crate) fn new(cluster: &Cluster, seed: u64) -> Self {
        Self {
            recorder: cluster.recorder.clone(),
            request_ids: cluster.request_ids.clone(),
            entries: cluster.entry_addresses(),
            template: cluster.call.clone(),
            idle: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sends one request and records its outcome; true if it was served.
    pub(crate) async fn call(&mut self) -> bool {
        let kind = self.draw_kind();
        let entry = self.rng.random_range(0..self.entries.len());
        self.call_at(entry, kind).await
    }

    async fn call_at(&mut self, entry: usize, kind: Kind) -> bool {
        let id = self.request_ids.next();
        let sent = self.recorder.now();
        let outcome = match tokio::time::timeout(CALL_TIMEOUT, self.exchange(entry, id, kind)).await
        {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Late,
        };
        let ended = self.recorder.now();
        let served = outcome == Outcome::Whole;
        self.recorder.history().calls.push(Call {
            id,
            kind,
            entry,
            sent,
            ended,
            outcome,
        });
        served
    }

    fn draw_kind(&mut self) -> Kind {
        match self.rng.random_range(0..13) {
            0..3 => Kind::Repeatable,
            3..6 => Kind::Once,
            6..9 => Kind::Stream,
            9 => Kind::Parity(self.rng.random_bool(0.5)),
            _ => {
                let newest = self.recorder.history().orders.len() as u64;
                Kind::Keyed(newest.saturating_sub(self.rng.random_range(KEY_AGES)))
            }
        }
    }

    async fn exchange(&mut self, entry: usize, id: u64, kind: Kind) -> Outcome {
        let idle = self.idle.remove(&entry);
        let idle = idle.filter(|_| self.rng.random_bool(REUSE_RATIO));
        let mut stream = match idle.filter(is_open) {
            Some(stream) => stream,
            None => {
                let connecting = TcpStream::connect(self.entries[entry]);
                match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                    Ok(Ok(stream)) => stream,
                    Ok(Err(_)) | Err(_) => return Outcome::Unconnected,
                }
            }
        };
        let path = match kind {
            Kind::Repeatable | Kind::Keyed(_) => "/a/x",
            Kind::Slow => "/a/slow",
            Kind::Once => "/n/x",
            Kind::Stream => "/s/x",
            Kind::Parity(true) => "/odd/x",
            Kind::Parity(false) => "/even/x",
        };
        let (body, attempt) = (id.to_string(), format!("a{id}"));
        let key = match kind {
            Kind::Keyed(serial) => key_of(serial),
            _ => DURABLE_KEY.to_owned(),
        };
        let values = [
            ("path", path),
            ("attempt", &attempt),
            ("key", &key),
            ("body", &body),
        ];
        let request = self.template.fill(&values);
        if stream.write_all(request.as_bytes()).await.is_err() {
            return Outcome::Broken;
        }
        let Some(answer) = read_message(&mut stream).await else {
            return Outcome::Broken;
        };
        if answer.keeps_connection() {
            self.idle.insert(entry, stream);
        }
        classify(&answer, id, kind)
    }
}

/// Whether the entry has neither closed an idle connection nor sent data on it.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// Classifies an answer by comparing it with the expected one.
fn classify(answer: &Message, id: u64, kind: Kind) -> Outcome {
    if answer.status() != 200 {
        return if answer.complete {
            Outcome::Refused(answer.status())
        } else {
            Outcome::Broken
        };
    }
    let expected = match kind {
        Kind::Stream => (1..=EVENTS).map(|n| event_of(id, n)).collect(),
        Kind::Repeatable | Kind::Slow | Kind::Once | Kind::Parity(_) | Kind::Keyed(_) => {
            body_of(id)
        }
    };
    if answer.complete && answer.body == expected {
        return Outcome::Whole;
    }
    if !answer.complete && expected.starts_with(&answer.body) {
        return Outcome::Broken;
    }
    let shown: String = answer.body.chars().take(120).collect();
    Outcome::Wrong(format!("complete {}: {shown:?}", answer.complete))
}
