//! Cost of a non-idempotent request in the replicated journal.
//!
//! Prints the bytes that a claim and its settlement add to the log, the CPU
//! time of both at three sizes of the journal, the size of a snapshot at those
//! sizes, and the disk writes for three locations of the record at the expected
//! request rate.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pimentotide_model::{
    ClaimId, Fingerprint, IdempotencyKey, Incarnation, RequestId, ServiceName, Time, UpstreamName,
    WorkspaceName,
};
use pimentotide_outcome::{
    AgentLedger, Blob, Body, Claim, ClaimRef, Command, Conclusion, Journal, LedgerEpoch,
    LedgerLimits, Outcome, Place, Reply, Ticket,
};

/// Timed runs per measurement.
const RUNS: usize = 7;
/// Requests per timed run.
const BATCH: usize = 5_000;
/// Numbers of keys in the journal before a measurement.
const SIZES: [usize; 3] = [1_000, 10_000, 100_000];
/// Sizes of answer bodies, in bytes.
const BODY_BYTES: [usize; 3] = [300, 4_096, 65_536];
/// Size of the body of an order receipt, in bytes.
const RECEIPT_BYTES: usize = 300;
/// Requests per second in the whole deployment.
const RATE: f64 = 4_300.0;
/// Control replicas that write each entry of the log.
const REPLICAS: f64 = 3.0;
/// Disks that write each entry if the journal is sharded over the instances with disks.
const SHARD_COPIES: f64 = 2.0;
/// Number of workspaces among which the keys are distributed.
const WORKSPACES: usize = 10;
/// Ratios of requests that are not idempotent.
const SHARES: [f64; 4] = [0.01, 0.05, 0.2, 1.0];

/// Minimum, median and maximum of several samples.
struct Spread {
    least: f64,
    median: f64,
    most: f64,
}

impl Spread {
    fn of<F>(sample: F) -> Self
    where
        F: FnMut(usize) -> f64,
    {
        let mut samples: Vec<f64> = (0..RUNS).map(sample).collect();
        samples.sort_by(f64::total_cmp);
        Self {
            least: samples[0],
            median: samples[RUNS / 2],
            most: samples[RUNS - 1],
        }
    }

    fn text(&self, digits: usize) -> String {
        let Self {
            least,
            median,
            most,
        } = self;
        format!("{least:.digits$}/{median:.digits$}/{most:.digits$}")
    }
}

fn workspace(i: usize) -> WorkspaceName {
    WorkspaceName::from(format!("assembly-{:02}", i % WORKSPACES))
}

fn key(i: usize) -> IdempotencyKey {
    let digits = (i as u128).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    IdempotencyKey::from(format!("{digits:032x}"))
}

fn place() -> Place {
    Place {
        upstream: UpstreamName::from("register-accra-a-1"),
        incarnation: Incarnation(1_764_800_000_000),
        epoch: LedgerEpoch(1_764_800_000_001),
    }
}

fn claim(i: usize, generated: bool) -> Command {
    Command::Claim(Claim {
        ticket: Ticket {
            request: RequestId(u128::MAX / 3 + i as u128),
            attempt: 1,
        },
        workspace: workspace(i),
        service: ServiceName::from("order-lodging"),
        key: key(i),
        generated,
        fingerprint: Fingerprint::of([i.to_le_bytes().as_slice()]),
        place: place(),
        allowed: Duration::from_secs(30),
    })
}

fn outcome(bytes: usize) -> Outcome {
    let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    Outcome {
        status: 201,
        headers: vec![
            header("content-type", "application/json"),
            header("location", "/register/orders/2026-004711"),
        ],
        body: Body::Whole(Blob(vec![b'x'; bytes].into())),
    }
}

fn settle(i: usize, claim: ClaimId, outcome: &Arc<Outcome>) -> Command {
    Command::Settle {
        held: ClaimRef {
            workspace: workspace(i),
            key: key(i),
            claim,
        },
        outcome: Arc::clone(outcome),
    }
}

fn encoded(command: &Command) -> usize {
    postcard::to_stdvec(command).expect("commands encode").len()
}

/// Log bytes of a claim and of its settlement with the outcome `recorded`.
fn log_bytes(generated: bool, recorded: Outcome) -> (usize, usize) {
    let settled = settle(1, ClaimId(1_000_000), &Arc::new(recorded));
    (encoded(&claim(1, generated)), encoded(&settled))
}

/// Claims and settles requests `from..to`; returns the time spent in the journal.
fn run_requests(journal: &mut Journal, from: usize, to: usize, generated: bool) -> Duration {
    let whole = outcome(RECEIPT_BYTES);
    let recorded = if generated { whole.omitted() } else { whole };
    let recorded = Arc::new(recorded);
    let mut spent = Duration::ZERO;
    for i in from..to {
        let at = Time::from_millis(i as u64);
        let command = claim(i, generated);
        let start = Instant::now();
        let reply = journal.apply(&command, at);
        spent += start.elapsed();
        let Reply::Granted(claim) = reply else {
            panic!("claim {i} was not granted: {reply:?}");
        };
        let command = settle(i, claim, &recorded);
        let start = Instant::now();
        black_box(journal.apply(&command, at));
        spent += start.elapsed();
    }
    spent
}

/// Overhead of one time measurement, in nanoseconds.
fn clock_cost() -> f64 {
    let mut spent = Duration::ZERO;
    for _ in 0..BATCH {
        let start = Instant::now();
        spent += black_box(start.elapsed());
    }
    nanos(spent, BATCH)
}

fn nanos(spent: Duration, requests: usize) -> f64 {
    spent.as_secs_f64() * 1e9 / requests as f64
}

fn print_bytes() {
    println!("log bytes per request (postcard, without framing of the log)");
    println!(
        "{:>10} {:>10} {:>10} {:>10}",
        "body", "claim", "settle", "both"
    );
    for body in BODY_BYTES {
        let (first, second) = log_bytes(false, outcome(body));
        let both = first + second;
        println!("{body:>10} {first:>10} {second:>10} {both:>10}");
    }
    let (first, second) = log_bytes(true, outcome(RECEIPT_BYTES).omitted());
    let both = first + second;
    println!("{:>10} {first:>10} {second:>10} {both:>10}", "no key");
}

fn time_journal(size: usize, generated: bool, clock: f64) -> Spread {
    let mut base = Journal::default();
    run_requests(&mut base, 0, size, generated);
    Spread::of(|_| {
        let mut journal = base.clone();
        let spent = run_requests(&mut journal, size, size + BATCH, generated);
        nanos(spent, BATCH) - 2.0 * clock
    })
}

fn print_cpu(clock: f64) {
    println!(
        "\nCPU of claim + settle in the journal, ns per request, min/median/max of {RUNS} runs"
    );
    println!("{:>10} {:>22} {:>22}", "keys", "with key", "without key");
    for size in SIZES {
        let keyed = time_journal(size, false, clock).text(0);
        let unkeyed = time_journal(size, true, clock).text(0);
        println!("{size:>10} {keyed:>22} {unkeyed:>22}");
    }
}

fn print_snapshots() {
    println!("\nsnapshot of the journal (postcard), receipts of {RECEIPT_BYTES} bytes");
    println!(
        "{:>10} {:>12} {:>10} {:>24}",
        "keys", "bytes", "per key", "encode, ms min/med/max"
    );
    for size in SIZES {
        let mut journal = Journal::default();
        run_requests(&mut journal, 0, size, false);
        let encode = || postcard::to_stdvec(&journal).expect("a journal encodes");
        let times = Spread::of(|_| {
            let start = Instant::now();
            black_box(encode());
            start.elapsed().as_secs_f64() * 1e3
        });
        let bytes = encode().len();
        let each = bytes as f64 / size as f64;
        println!("{size:>10} {bytes:>12} {each:>10.1} {:>24}", times.text(2));
    }
}

fn time_ledger(clock: f64) -> f64 {
    let (place, outcome) = (place(), Arc::new(outcome(RECEIPT_BYTES)));
    let limits = LedgerLimits::default();
    let requests = 2 * limits.closed;
    let mut ledger = AgentLedger::open(place.epoch, place.incarnation, limits);
    let mut spent = Duration::ZERO;
    for i in 1..=requests {
        let claim = ClaimId(i as u64);
        let end = Conclusion::Finished(Arc::clone(&outcome));
        let start = Instant::now();
        black_box(ledger.begin(claim, &place, Time::ZERO));
        ledger.finish(claim, end, Time::ZERO);
        spent += start.elapsed();
    }
    nanos(spent, requests) - clock
}

fn print_ledger(clock: f64) {
    let times = Spread::of(|_| time_ledger(clock));
    println!("\nagent's ledger, begin + finish, ns per request, min/median/max of {RUNS} runs");
    println!("{}", times.text(0));
}

fn print_write_rates() {
    let (first, second) = log_bytes(false, outcome(RECEIPT_BYTES));
    let both = (first + second) as f64 / 1024.0;
    println!("\nwrites to all disks together, KiB/s, by location of the record");
    println!(
        "{:>8} {:>10} {:>12} {:>14} {:>12}",
        "share", "requests/s", "quorum log", "shard + copy", "agent only"
    );
    for share in SHARES {
        let rate = RATE * share;
        let percent = share * 100.0;
        let quorum = rate * both * REPLICAS;
        let shard = rate * both * SHARD_COPIES;
        println!(
            "{percent:>7.0}% {rate:>10.0} {quorum:>12.0} {shard:>14.0} {:>12}",
            0
        );
    }
}

fn main() {
    let clock = clock_cost();
    print_bytes();
    print_cpu(clock);
    print_snapshots();
    print_ledger(clock);
    print_write_rates();
}
