//! Open-loop load on a completion server.
//!
//! Latency counts from the intended start, so that delays of the generator are included.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use futures_util::StreamExt;
use hdrhistogram::Histogram;

/// Highest latency recorded, in microseconds; longer ones are clamped.
const MAX_MICROS: u64 = 60_000_000;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct Load {
    /// Server that receives the requests.
    pub target: SocketAddr,
    /// Path of the requests.
    pub path: &'static str,
    /// Body of the requests.
    pub body: String,
    /// Requests per second.
    pub rate: u32,
    /// Duration of the load.
    pub length: Duration,
}

/// Results of a load run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Requests offered.
    pub offered: u64,
    /// Requests answered in full with a success status.
    pub answered: u64,
    /// Requests that failed or were refused.
    pub failed: u64,
    /// Time to the first byte of the body, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Time to the end, in microseconds.
    pub total: Histogram<u64>,
    /// Longest gap between two chunks of one response, in microseconds.
    pub pause: Histogram<u64>,
    /// Wall time from the first start to the last end.
    pub wall: Duration,
}

impl Outcome {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(MAX_MICROS, 3).expect("valid bounds");
        Self {
            offered: 0,
            answered: 0,
            failed: 0,
            first_byte: histogram(),
            total: histogram(),
            pause: histogram(),
            wall: Duration::ZERO,
        }
    }
}

/// Offers the load and waits until every request has ended.
pub async fn offer(load: &Load) -> Outcome {
    let client = Client::builder()
        .connector(Connector::new().limit(4096))
        .disable_timeout()
        .finish();
    let outcome = Rc::new(RefCell::new(Outcome::new()));
    let start = Instant::now();
    let count = load.rate * u32::try_from(load.length.as_millis()).unwrap_or(u32::MAX) / 1_000;
    let mut tasks = Vec::new();
    for number in 0..count {
        let intended = start + Duration::from_secs_f64(f64::from(number) / f64::from(load.rate));
        tokio::time::sleep_until(intended.into()).await;
        let request = run_request(client.clone(), load.clone(), intended, Rc::clone(&outcome));
        tasks.push(actix_rt::spawn(request));
    }
    for task in tasks {
        task.await.expect("a request task does not panic");
    }
    let mut outcome = outcome.borrow().clone();
    outcome.wall = start.elapsed();
    outcome
}

async fn run_request(client: Client, load: Load, intended: Instant, outcome: Rc<RefCell<Outcome>>) {
    outcome.borrow_mut().offered += 1;
    let answered = send_request(&client, &load, intended, &outcome).await;
    let mut outcome = outcome.borrow_mut();
    if answered {
        outcome.answered += 1;
        outcome.total.saturating_record(micros(intended));
    } else {
        outcome.failed += 1;
    }
}

async fn send_request(
    client: &Client,
    load: &Load,
    intended: Instant,
    outcome: &RefCell<Outcome>,
) -> bool {
    let url = format!("http://{}{}", load.target, load.path);
    let sent = client
        .post(url)
        .content_type("application/json")
        .send_body(load.body.clone());
    let Ok(mut response) = sent.await else {
        return false;
    };
    if !response.status().is_success() {
        return false;
    }
    let (mut last, mut longest) = (None::<Instant>, Duration::ZERO);
    while let Some(chunk) = response.next().await {
        if chunk.is_err() {
            return false;
        }
        match last {
            None => outcome
                .borrow_mut()
                .first_byte
                .saturating_record(micros(intended)),
            Some(last) => longest = longest.max(last.elapsed()),
        }
        last = Some(Instant::now());
    }
    let longest = u64::try_from(longest.as_micros()).unwrap_or(u64::MAX);
    outcome.borrow_mut().pause.saturating_record(longest);
    true
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
