//! Processor time per request and token in entry and agent, and memory per open stream.
//!
//! Engine, agent, entry and callers share this process. The cost of entry and
//! agent is the difference between the same load through both of them and
//! directly to the engine.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pimentotide_bench::load::{Load, offer};
use pimentotide_bench::measure::resident_bytes;
use pimentotide_bench::pair::{MODEL, start_deployment};

/// Tokens per answer.
const TOKENS: [u32; 3] = [1, 32, 128];
/// Concurrent streams.
const STREAMS: [u32; 3] = [125, 250, 500];
/// Tokens of a stream that stays open while memory is sampled.
const LONG_TOKENS: u32 = 1_000;
/// Runs per size.
const RUNS: usize = 5;
/// Requests per second.
const RATE: u32 = 200;
/// Duration of the load.
const LENGTH: Duration = Duration::from_secs(1);
/// Time between two samples of the memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    actix_rt::System::new().block_on(run());
}

async fn run() {
    let (engine, agent, entry, _view) = start_deployment().await;
    let (engine_address, entry_address) = (engine.address(), entry.address());
    offer(&load(entry_address, 1, RATE)).await;
    println!(
        "processor time of entry and agent, streamed, us per request, min/median/max of {RUNS}"
    );
    println!("{:>8} {:>22} {:>10}", "tokens", "us per request", "failed");
    for tokens in TOKENS {
        let mut added = Vec::new();
        let mut failed = 0;
        for _ in 0..RUNS {
            let direct = cost(&load(engine_address, tokens, RATE)).await;
            let proxied = cost(&load(entry_address, tokens, RATE)).await;
            added.push(proxied.0 - direct.0);
            failed += direct.1 + proxied.1;
        }
        println!("{tokens:>8} {:>22} {failed:>10}", min_median_max(added));
    }
    println!("\nresident memory at the peak, all in one process, KiB");
    println!("{:>8} {:>10} {:>10}", "streams", "direct", "proxied");
    for streams in STREAMS {
        let direct = peak(&load(engine_address, LONG_TOKENS, streams)).await;
        let proxied = peak(&load(entry_address, LONG_TOKENS, streams)).await;
        println!("{streams:>8} {:>10} {:>10}", direct >> 10, proxied >> 10);
    }
    entry.stop().await;
    agent.stop().await;
    engine.stop(false).await;
}

fn load(target: SocketAddr, tokens: u32, rate: u32) -> Load {
    let body = format!(
        r#"{{"model":"{MODEL}","prompt":"close Ring Road","max_tokens":{tokens},"stream":true}}"#
    );
    Load {
        target,
        path: "/v1/completions",
        body,
        rate,
        length: LENGTH,
    }
}

/// Processor time of the whole process in microseconds per request, and failed requests.
async fn cost(load: &Load) -> (f64, u64) {
    let before = processor_seconds();
    let outcome = offer(load).await;
    let spent = processor_seconds() - before;
    (spent * 1e6 / outcome.offered as f64, outcome.failed)
}

/// Highest resident memory while the load runs.
async fn peak(load: &Load) -> u64 {
    let highest = Rc::new(Cell::new(0));
    let peak = Rc::clone(&highest);
    let sampler = actix_rt::spawn(async move {
        loop {
            peak.set(peak.get().max(resident_bytes()));
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    });
    offer(load).await;
    sampler.abort();
    highest.get()
}

fn processor_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let ticks = fields.split(' ').skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

fn min_median_max(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    let [low, median, high] = [values[0], values[last / 2], values[last]];
    format!("{low:.0}/{median:.0}/{high:.0}")
}
