//! Callers: open-loop load that behaves as the users' clients do.
//!
//! Callers ask an entry which addresses to use, keep the answer for as long as
//! it says, and connect there themselves. Where a connection fails they go on
//! to the next address; where they are told to come back they do, under the
//! same key.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use awc::{Client, ClientResponse};
use futures_util::StreamExt;
use pimentotide_upstream::strict_eof_connector;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::Value;

use crate::options::Options;

/// Callers that share the load.
const CALLERS: usize = 60;

/// Tries of one job.
const MAX_TRIES: u32 = 6;

/// Longest pause before coming back.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Time after which a caller gives a try up.
const TRY_TIMEOUT: Duration = Duration::from_secs(25);

/// Time for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for an answer about addresses.
const ADVICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Kinds of job, with their part of the load in percent.
const MIX: [(Job, u32); 4] = [
    (Job::Stream, 50),
    (Job::Whole, 25),
    (Job::Read, 10),
    (Job::Lodge, 15),
];

/// Tokens of an answer.
const TOKENS: u32 = 24;

/// What a caller wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Job {
    /// A streamed completion.
    Stream,
    /// A plain completion.
    Whole,
    /// A read from the register.
    Read,
    /// A lodging, which may run only once.
    Lodge,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum End {
    /// With the whole answer.
    Answered,
    /// With a refusal or failure that tells whether it ran.
    Told {
        /// Kind of error.
        kind: String,
        /// Whether it ran.
        ran: String,
    },
    /// With a connection that broke before the answer was whole.
    Broken(String),
    /// With a stream that ended without its end mark and without an error.
    Cut,
}

/// One job from its intended start to its end.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Sample {
    /// What was wanted.
    pub(crate) job: Job,
    /// Key, for lodgings.
    pub(crate) key: Option<String>,
    /// Intended start, from the start of the load.
    pub(crate) at: Duration,
    /// Time to the first token of the last try; to the end where nothing is streamed.
    pub(crate) first: Duration,
    /// Time to the end.
    pub(crate) total: Duration,
    /// Tries.
    pub(crate) tries: u32,
    /// How it ended.
    pub(crate) end: End,
}

/// Running load.
pub(crate) struct Callers {
    load: JoinHandle<()>,
    state: Rc<State>,
}

struct State {
    client: Client,
    known: Vec<SocketAddr>,
    zones: Vec<String>,
    advice: RefCell<Vec<Advice>>,
    samples: RefCell<Vec<Sample>>,
    open: RefCell<Vec<JoinHandle<()>>>,
    stopping: RefCell<bool>,
    start: Instant,
}

/// Addresses that one caller holds.
#[derive(Clone, Debug, Default)]
struct Advice {
    addresses: Vec<SocketAddr>,
    until: Option<Instant>,
}

impl Callers {
    /// Starts to offer load.
    pub(crate) fn spawn(options: &Options, known: Vec<SocketAddr>, zones: Vec<String>) -> Self {
        // A connection that closes early must not look like an answer that ended.
        let connector = strict_eof_connector(CONNECT_TIMEOUT).limit(4096);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .finish();
        let state = Rc::new(State {
            client,
            known,
            zones,
            advice: RefCell::new(vec![Advice::default(); CALLERS]),
            samples: RefCell::default(),
            open: RefCell::default(),
            stopping: RefCell::default(),
            start: Instant::now(),
        });
        let (rate, seed) = (options.rate, options.seed);
        let load = actix_rt::spawn(offer(Rc::clone(&state), rate, seed));
        Self { load, state }
    }

    /// Ends the load and waits for open jobs.
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
        let run = run(Rc::clone(&state), job, number, caller, prompt, at);
        state.open.borrow_mut().push(actix_rt::spawn(run));
    }
}

fn draw(rng: &mut ChaCha8Rng) -> Job {
    let mut left = rng.random_range(0..100_u32);
    for (job, part) in MIX {
        if left < part {
            return job;
        }
        left -= part;
    }
    Job::Stream
}

async fn run(state: Rc<State>, job: Job, number: u64, caller: usize, prompt: u32, at: Duration) {
    let key = (job == Job::Lodge).then(|| format!("lodging-{number}"));
    let intended = state.start + at;
    let (mut tries, mut first) = (0, Duration::ZERO);
    let end = loop {
        tries += 1;
        let address = state.address(caller, tries).await;
        let one = one_try(
            &state,
            job,
            key.as_deref(),
            address,
            prompt,
            intended,
            &mut first,
        );
        let end = tokio::time::timeout(TRY_TIMEOUT, one).await;
        let (end, pause) = end.unwrap_or_else(|_| (End::Broken("timeout".to_owned()), None));
        if end == End::Answered || tries >= MAX_TRIES || !may_come_back(&end) {
            break end;
        }
        tokio::time::sleep(pause.unwrap_or_default().min(MAX_PAUSE)).await;
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

/// Whether trying again may help; every job has a key or may run twice.
fn may_come_back(end: &End) -> bool {
    match end {
        End::Answered | End::Cut => false,
        End::Broken(_) => true,
        End::Told { kind, .. } => !matches!(
            kind.as_str(),
            "outcome_unknown" | "crashing_request" | "key_mismatch"
        ),
    }
}

async fn one_try(
    state: &State,
    job: Job,
    key: Option<&str>,
    address: SocketAddr,
    prompt: u32,
    intended: Instant,
    first: &mut Duration,
) -> (End, Option<Duration>) {
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
        Err(e) => (End::Broken(e.to_string()), None),
    }
}

async fn read<S>(
    mut answer: ClientResponse<S>,
    job: Job,
    intended: Instant,
    first: &mut Duration,
) -> (End, Option<Duration>)
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
            Err(e) => return (End::Broken(e.to_string()), pause),
        }
    }
    let text = String::from_utf8_lossy(&body);
    if !success {
        return (told(&text), pause);
    }
    if job != Job::Stream {
        return (End::Answered, None);
    }
    let events = text.matches("data: {").count();
    if let Some((_, problem)) = text.split_once("event: error\ndata: ") {
        return (told(problem.trim()), None);
    }
    let whole = text.ends_with("data: [DONE]\n\n") && events == TOKENS as usize;
    (if whole { End::Answered } else { End::Cut }, None)
}

fn told(text: &str) -> End {
    let problem: Value = serde_json::from_str(text).unwrap_or_default();
    let member = |name: &str| problem[name].as_str().unwrap_or("none").to_owned();
    End::Told {
        kind: member("kind"),
        ran: member("ran"),
    }
}

impl State {
    /// Address to use for a try; asks for advice when the one held has run out.
    async fn address(&self, caller: usize, tries: u32) -> SocketAddr {
        let held = self.advice.borrow()[caller].clone();
        let fresh = held.until.is_some_and(|u| Instant::now() < u);
        let held = if fresh {
            held
        } else {
            self.ask(caller).await.unwrap_or(held)
        };
        let addresses = if held.addresses.is_empty() {
            &self.known
        } else {
            &held.addresses
        };
        addresses[(tries as usize - 1) % addresses.len()]
    }

    async fn ask(&self, caller: usize) -> Option<Advice> {
        let zone = &self.zones[caller % self.zones.len()];
        for offset in 0..self.known.len() {
            let entry = self.known[(caller + offset) % self.known.len()];
            let url = format!("http://{entry}/v1/entries?zone={zone}");
            let sent = self.client.get(url).timeout(ADVICE_TIMEOUT).send().await;
            let Ok(mut answer) = sent else { continue };
            let Ok(advice) = answer.json::<Value>().await else {
                continue;
            };
            let listed = advice["entries"].as_array().cloned().unwrap_or_default();
            let addresses = listed
                .iter()
                .filter_map(|e| e["address"].as_str()?.parse().ok());
            let keep = Duration::from_secs(advice["keep_seconds"].as_u64().unwrap_or(1));
            let advice = Advice {
                addresses: addresses.collect(),
                until: Some(Instant::now() + keep),
            };
            self.advice.borrow_mut()[caller] = advice.clone();
            return Some(advice);
        }
        None
    }
}
