//! Open-loop load from callers that behave as the users' clients do.
//!
//! Callers fetch the list of entries, cache it for as long as the answer allows and connect to the
//! entries directly. A failed attempt is retried at the next address, after the delay that the
//! answer requests and under the same idempotency key.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use awc::{Client, ClientResponse};
use futures_util::StreamExt;
use pimentotide_upstream::{MAX_ANSWER_BYTES, strict_eof_connector};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::Value;

use crate::options::Options;

/// Number of callers that share the load.
const CALLERS: usize = 60;

/// Maximum number of attempts at one job.
const MAX_ATTEMPTS: u32 = 6;

/// Maximum delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(25);

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for fetching the list of entries.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(1);

/// Kinds of job, with their share of the load in percent.
const JOB_MIX: [(Job, u32); 4] = [
    (Job::Stream, 50),
    (Job::Whole, 25),
    (Job::Read, 10),
    (Job::Lodge, 15),
];

/// Number of tokens in an answer.
const TOKENS: u32 = 24;

/// Kind of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Job {
    /// A streamed completion.
    Stream,
    /// A completion in one piece.
    Whole,
    /// A read from the stand-in register, a plain service.
    Read,
    /// A lodging, that is, a write to the register, which may run only once.
    Lodge,
}

/// Outcome of a job, or of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// The complete answer.
    Answered,
    /// A refusal or failure that reports whether the job ran.
    #[serde(rename = "told")]
    Error {
        /// Kind of the error, `none` if the answer has none.
        kind: String,
        /// Whether the job ran, as reported.
        ran: String,
    },
    /// The connection failed or timed out before the answer was complete.
    Broken(String),
    /// The stream ended early without an end marker or an error.
    Cut,
}

/// Measurement of one job from its intended start to its end.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Sample {
    /// Kind of the job.
    pub(crate) job: Job,
    /// Idempotency key; `None` unless the job is a lodging.
    pub(crate) key: Option<String>,
    /// Intended start, relative to the start of the load.
    pub(crate) at: Duration,
    /// Latency of the first token of the last attempt; of the end for jobs that are not streamed.
    pub(crate) first: Duration,
    /// Latency of the end, from the intended start.
    pub(crate) total: Duration,
    /// Number of attempts.
    pub(crate) tries: u32,
    /// Outcome of the last attempt.
    pub(crate) end: Outcome,
}

/// Handle of the running load.
pub(crate) struct Callers {
    load: JoinHandle<()>,
    state: Rc<State>,
}

struct State {
    client: Client,
    entries: Vec<SocketAddr>,
    zones: Vec<String>,
    cached: RefCell<Vec<EntryList>>,
    samples: RefCell<Vec<Sample>>,
    open: RefCell<Vec<JoinHandle<()>>>,
    stopping: RefCell<bool>,
    start: Instant,
}

/// Addresses of entries as cached by one caller.
#[derive(Clone, Debug, Default)]
struct EntryList {
    addresses: Vec<SocketAddr>,
    /// Expiry; `None` before the first fetch.
    expires: Option<Instant>,
}

impl Callers {
    /// Starts the load.
    pub(crate) fn spawn(options: &Options, entries: Vec<SocketAddr>, zones: Vec<String>) -> Self {
        // An early close must not be mistaken for the end of an answer.
        let connector = strict_eof_connector(CONNECT_TIMEOUT, MAX_ANSWER_BYTES).limit(4096);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .finish();
        let state = Rc::new(State {
            client,
            entries,
            zones,
            cached: RefCell::new(vec![EntryList::default(); CALLERS]),
            samples: RefCell::default(),
            open: RefCell::default(),
            stopping: RefCell::default(),
            start: Instant::now(),
        });
        let (rate, seed) = (options.rate, options.seed);
        let load = actix_rt::spawn(offer(Rc::clone(&state), rate, seed));
        Self { load, state }
    }

    /// Stops the load and waits for the jobs in flight.
    pub(crate) async fn stop(self) -> Vec<Sample> {
        *self.state.stopping.borrow_mut() = true;
        self.load.await.expect("the load task does not panic");
        let open = std::mem::take(&mut *self.state.open.borrow_mut());
        for job in open {
            job.await.expect("a job does not panic");
        }
        self.state.samples.take()
    }
}

async fn offer(state: Rc<State>, rate: u32, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    for number in 0_u64.. {
        if *state.stopping.borrow() {
            return;
        }
        let mean = 1.0 / f64::from(rate);
        at += Duration::from_secs_f64(-mean * (1.0 - rng.random::<f64>()).ln());
        tokio::time::sleep_until((state.start + at).into()).await;
        let job = draw(&mut rng);
        let caller = rng.random_range(0..CALLERS);
        let prompt = rng.random_range(0..200_u32);
        let run = run_job(Rc::clone(&state), job, number, caller, prompt, at);
        state.open.borrow_mut().push(actix_rt::spawn(run));
    }
}

fn draw(rng: &mut ChaCha8Rng) -> Job {
    let mut left = rng.random_range(0..100_u32);
    for (job, part) in JOB_MIX {
        if left < part {
            return job;
        }
        left -= part;
    }
    Job::Stream
}

async fn run_job(
    state: Rc<State>,
    job: Job,
    number: u64,
    caller: usize,
    prompt: u32,
    at: Duration,
) {
    let key = (job == Job::Lodge).then(|| format!("lodging-{number}"));
    let intended = state.start + at;
    let (mut tries, mut first) = (0, Duration::ZERO);
    let end = loop {
        tries += 1;
        let address = state.address(caller, tries).await;
        let attempt = attempt(
            &state,
            job,
            key.as_deref(),
            address,
            prompt,
            intended,
            &mut first,
        );
        let end = tokio::time::timeout(ATTEMPT_TIMEOUT, attempt).await;
        let (end, pause) = end.unwrap_or_else(|_| (Outcome::Broken("timeout".to_owned()), None));
        if end == Outcome::Answered || tries >= MAX_ATTEMPTS || !is_retryable(&end) {
            break end;
        }
        tokio::time::sleep(pause.unwrap_or_default().min(MAX_RETRY_DELAY)).await;
    };
    let total = intended.elapsed();
    if !matches!(job, Job::Stream) {
        first = total;
    }
    let sample = Sample {
        job,
        key,
        at,
        first,
        total,
        tries,
        end,
    };
    state.samples.borrow_mut().push(sample);
}

/// Whether a retry may succeed; it is safe, since every job is idempotent or has a key.
fn is_retryable(end: &Outcome) -> bool {
    match end {
        Outcome::Answered | Outcome::Cut => false,
        Outcome::Broken(_) => true,
        Outcome::Error { kind, .. } => !matches!(
            kind.as_str(),
            "outcome_unknown" | "crashing_request" | "key_mismatch"
        ),
    }
}

async fn attempt(
    state: &State,
    job: Job,
    key: Option<&str>,
    address: SocketAddr,
    prompt: u32,
    intended: Instant,
    first: &mut Duration,
) -> (Outcome, Option<Duration>) {
    let text = format!("Order {prompt}: close the street before the school. ").repeat(20);
    let body = serde_json::json!({
        "model": "rig", "prompt": text, "max_tokens": TOKENS, "stream": job == Job::Stream,
    });
    let url = |path: &str| format!("http://{address}{path}");
    let request = match job {
        Job::Stream | Job::Whole => state.client.post(url("/v1/completions")),
        Job::Read => state.client.get(url("/services/register/orders")),
        Job::Lodge => state.client.post(url("/services/register/orders")),
    };
    let request = match key {
        Some(key) => request.insert_header(("idempotency-key", key)),
        None => request,
    };
    let sent = match job {
        Job::Stream | Job::Whole => request.send_json(&body).await,
        Job::Read => request.send().await,
        Job::Lodge => request.send_body(format!("lodging {prompt}")).await,
    };
    match sent {
        Ok(answer) => read(answer, job, intended, first).await,
        Err(e) => (Outcome::Broken(e.to_string()), None),
    }
}

async fn read<S>(
    mut answer: ClientResponse<S>,
    job: Job,
    intended: Instant,
    first: &mut Duration,
) -> (Outcome, Option<Duration>)
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let pause = answer
        .headers()
        .get("retry-after")
        .and_then(|v| v.to_str().ok()?.parse().ok());
    let pause = pause.map(Duration::from_secs);
    let success = answer.status().is_success();
    let mut body = Vec::new();
    while let Some(chunk) = answer.next().await {
        match chunk {
            Ok(chunk) => {
                if body.is_empty() {
                    *first = intended.elapsed();
                }
                body.extend_from_slice(&chunk);
            }
            Err(e) => return (Outcome::Broken(e.to_string()), pause),
        }
    }
    let text = String::from_utf8_lossy(&body);
    if !success {
        return (parse_error(&text), pause);
    }
    if job != Job::Stream {
        return (Outcome::Answered, None);
    }
    let events = text.matches("data: {").count();
    if let Some((_, problem)) = text.split_once("event: error\ndata: ") {
        return (parse_error(problem.trim()), None);
    }
    let complete = text.ends_with("data: [DONE]\n\n") && events == TOKENS as usize;
    (
        if complete {
            Outcome::Answered
        } else {
            Outcome::Cut
        },
        None,
    )
}

fn parse_error(text: &str) -> Outcome {
    let problem: Value = serde_json::from_str(text).unwrap_or_default();
    let member = |name: &str| problem[name].as_str().unwrap_or("none").to_owned();
    Outcome::Error {
        kind: member("kind"),
        ran: member("ran"),
    }
}

impl State {
    /// Returns the address for an attempt; fetches the list of entries if the cached one has
    /// expired.
    async fn address(&self, caller: usize, tries: u32) -> SocketAddr {
        let cached = self.cached.borrow()[caller].clone();
        let fresh = cached.expires.is_some_and(|at| Instant::now() < at);
        let list = if fresh {
            cached
        } else {
            self.fetch_entries(caller).await.unwrap_or(cached)
        };
        let addresses = if list.addresses.is_empty() {
            &self.entries
        } else {
            &list.addresses
        };
        addresses[(tries as usize - 1) % addresses.len()]
    }

    async fn fetch_entries(&self, caller: usize) -> Option<EntryList> {
        let zone = &self.zones[caller % self.zones.len()];
        for offset in 0..self.entries.len() {
            let entry = self.entries[(caller + offset) % self.entries.len()];
            let url = format!("http://{entry}/v1/entries?zone={zone}");
            let sent = self.client.get(url).timeout(ENTRIES_TIMEOUT).send().await;
            let Ok(mut answer) = sent else { continue };
            let Ok(answer) = answer.json::<Value>().await else {
                continue;
            };
            let listed = answer["entries"].as_array().cloned().unwrap_or_default();
            let addresses = listed
                .iter()
                .filter_map(|e| e["address"].as_str()?.parse().ok());
            let keep = Duration::from_secs(answer["keep_seconds"].as_u64().unwrap_or(1));
            let list = EntryList {
                addresses: addresses.collect(),
                expires: Some(Instant::now() + keep),
            };
            self.cached.borrow_mut()[caller] = list.clone();
            return Some(list);
        }
        None
    }
}
