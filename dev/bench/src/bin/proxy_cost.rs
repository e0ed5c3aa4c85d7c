//! Cost of proxying: the same load sent directly to an engine and through entry and agent.

use std::net::SocketAddr;
use std::time::Duration;

use pimentotide::entry::Entry;
use pimentotide_bench::load::{Load, Outcome, offer};
use pimentotide_bench::pair::{MODEL, start_deployment};
use pimentotide_standin::Engine;

const ROUNDS: usize = 5;
/// Requests per second.
const RATE: u32 = 400;
const LENGTH: Duration = Duration::from_secs(3);
/// Tokens per answer.
const TOKENS: u32 = 16;
const PATH: &str = "/v1/completions";

fn main() {
    actix_rt::System::new().block_on(run());
}

async fn run() {
    let (engine, agent, entry, _view) = start_deployment().await;
    for stream in [false, true] {
        let kind = if stream { "streamed" } else { "plain" };
        println!("{kind}: {RATE} requests/s, {TOKENS} tokens, {ROUNDS} rounds of {LENGTH:?} each");
        println!(
            "{:>7} {:>24} {:>24} {:>24}",
            "", "first p50/p99 us", "total p50/p99 us", "pause p99 us"
        );
        let mut rows = Vec::new();
        for _ in 0..ROUNDS {
            let direct = offer(&load(engine.address(), stream)).await;
            let proxied = offer(&load(entry.address(), stream)).await;
            print_row("direct", &direct);
            print_row("proxied", &proxied);
            rows.push((direct, proxied));
        }
        print_added_latency(&rows);
    }
    throughput(&engine, &entry).await;
    entry.stop().await;
    agent.stop().await;
    engine.stop(false).await;
}

/// Compares the throughput of both paths under more load than either sustains.
async fn throughput(engine: &Engine, entry: &Entry) {
    let mut ratios = Vec::new();
    for _ in 0..ROUNDS {
        let heavy = |target| Load {
            rate: 6_000,
            length: Duration::from_secs(1),
            ..load(target, false)
        };
        let direct = offer(&heavy(engine.address())).await;
        let proxied = offer(&heavy(entry.address())).await;
        let rate = |o: &Outcome| o.answered as f64 / o.wall.as_secs_f64();
        println!(
            "throughput: direct {:.0}/s, proxied {:.0}/s",
            rate(&direct),
            rate(&proxied)
        );
        ratios.push(rate(&proxied) / rate(&direct));
    }
    println!(
        "throughput ratio proxied/direct min/median/max: {}",
        min_median_max(ratios)
    );
}

fn load(target: SocketAddr, stream: bool) -> Load {
    let body = format!(
        r#"{{"model":"{MODEL}","prompt":"close Ring Road","max_tokens":{TOKENS},"stream":{stream}}}"#
    );
    Load {
        target,
        path: PATH,
        body,
        rate: RATE,
        length: LENGTH,
    }
}

fn print_row(name: &str, outcome: &Outcome) {
    let pair = |h: &hdrhistogram::Histogram<u64>| {
        format!("{}/{}", h.value_at_quantile(0.5), h.value_at_quantile(0.99))
    };
    println!(
        "{name:>7} {:>24} {:>24} {:>24} failed {}",
        pair(&outcome.first_byte),
        pair(&outcome.total),
        outcome.pause.value_at_quantile(0.99),
        outcome.failed,
    );
}

fn print_added_latency(rows: &[(Outcome, Outcome)]) {
    for quantile in [0.5, 0.99] {
        let added = |(a, b): &(Outcome, Outcome)| {
            b.first_byte.value_at_quantile(quantile) as f64
                - a.first_byte.value_at_quantile(quantile) as f64
        };
        let all = rows.iter().map(added).collect();
        println!(
            "added to first byte at p{:.0}, us, min/median/max: {}",
            quantile * 100.0,
            min_median_max(all)
        );
    }
}

fn min_median_max(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    format!(
        "{:.2}/{:.2}/{:.2}",
        values[0],
        values[last / 2],
        values[last]
    )
}
