//! Per-item costs of the entry: memory and processor time of the placer, size of agent updates.

use std::time::Duration;

use pimentotide_bench::measure::{memory_per_item, nanos};
use pimentotide_bench::target::{
    MODELS, UPSTREAMS, WORKSPACES, announcement, declarations, service,
};
use pimentotide_instance::work::{BlockEvent, UpdateRequest, UpstreamUpdate};
use pimentotide_model::{
    Fingerprint, Incarnation, LoadReport, Priority, RequestId, RequestMeta, Time, Warmth,
};
use pimentotide_outcome::LedgerEpoch;
use pimentotide_routing::{
    AttemptOutcome, CacheChange, CacheEvent, Finished, Placement, Placer, PlacerSettings,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Numbers of upstreams in the view of an entry.
const SIZES: [usize; 4] = [100, 1_000, UPSTREAMS, 10_000];
/// Numbers of cached blocks offered for tracking, over all holders.
const BLOCKS: [usize; 3] = [100_000, 400_000, 1_600_000];
/// Upstreams that hold the tracked blocks.
const HOLDERS: usize = 100;
/// Blocks per prompt.
const PROMPT_BLOCKS: u64 = 32;
/// Calls per timed run.
const BATCH: usize = 2_000;
/// Numbers of cache events in one update of an agent.
const EVENTS: [usize; 4] = [0, 1, 16, 256];
/// Seed of all random draws.
const SEED: u64 = 7_340_033;

fn main() {
    print_placer();
    print_tracked_blocks();
    print_updates();
}

fn placer(upstreams: usize) -> Placer {
    let settings = PlacerSettings::new("entry-1".into(), "region-1-zone-1".into());
    let mut placer = Placer::open(settings);
    placer.declare(declarations(MODELS, WORKSPACES));
    for i in 0..upstreams {
        placer.announce(announcement(i));
        placer.observe_report(&announcement(i).upstream, &report(1), Time::ZERO);
    }
    placer
}

fn report(sequence: u64) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1_764_800_000_000_000),
        sequence,
        running: 21,
        waiting: 3,
        allowance: 64,
        warmth: Warmth::Warm,
        first_token: 210_000,
        token_gap: 14_500,
    }
}

fn meta(i: usize) -> RequestMeta {
    RequestMeta {
        id: RequestId(i as u128),
        workspace: "workspace-0001".into(),
        service: service(i % MODELS),
        model: Some(format!("model-{:02}", i % MODELS).into()),
        version: None,
        adapter: None,
        priority: Priority(100),
        deadline: Time::from_millis(30_000),
        idempotent: true,
        key: None,
        fingerprint: Fingerprint([0; 16]),
        prefix: (0..PROMPT_BLOCKS).map(|b| (i as u64) << 8 | b).collect(),
        stream: true,
    }
}

fn print_placer() {
    println!("placer, {MODELS} services, prompts of {PROMPT_BLOCKS} blocks; ns min/median/max");
    println!(
        "{:>9} {:>12} {:>20} {:>20} {:>20}",
        "upstreams", "resident B", "report ns", "announcement ns", "decision ns"
    );
    for size in SIZES {
        let resident = memory_per_item(size, || placer(size));
        let mut placer = placer(size);
        let names: Vec<_> = (0..size).map(|i| announcement(i).upstream).collect();
        let mut sequence = 1;
        let reported = nanos(BATCH, |i| {
            sequence += 1;
            placer.observe_report(&names[i % size], &report(sequence), Time::ZERO);
        });
        let mut restarts = 0;
        let announced = nanos(BATCH, |i| {
            restarts += 1;
            let mut announcement = announcement(i % size);
            announcement.incarnation.0 += restarts;
            placer.announce(announcement);
        });
        let decided = time_decision(&mut placer);
        println!("{size:>9} {resident:>12.0} {reported:>20} {announced:>20} {decided:>20}");
    }
    println!("resident: bytes per upstream, declarations included");
}

/// Times a placement decision together with the completion of its request.
fn time_decision(placer: &mut Placer) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let metas: Vec<_> = (0..BATCH).map(meta).collect();
    nanos(BATCH, |i| {
        let meta = &metas[i];
        let Placement::Chosen(decision) = placer.place(meta, &[], Time::ZERO, &mut rng) else {
            return;
        };
        let done = Finished {
            outcome: AttemptOutcome::Good,
            first_token: Some(Duration::from_millis(200)),
            total: Duration::from_secs(5),
            tokens: 350,
            cached: None,
        };
        placer.finish(decision.ticket, meta, &done, Time::ZERO);
    })
}

fn print_tracked_blocks() {
    println!("\ntracking of cached blocks, {HOLDERS} upstreams, each block on one");
    println!("{:>10} {:>10} {:>12}", "offered", "kept", "B per block");
    for blocks in BLOCKS {
        let mut tracked = 0;
        let total = memory_per_item(1, || {
            let mut placer = placer(HOLDERS);
            for i in 0..blocks {
                store(&mut placer, i);
            }
            tracked = placer.tracked_blocks();
            placer
        });
        let each = total / tracked.max(1) as f64;
        println!("{blocks:>10} {tracked:>10} {each:>12.1}");
    }
    let mut placer = placer(HOLDERS);
    let mut next = 0;
    let stored = nanos(BATCH, |_| {
        store(&mut placer, next);
        next += 1;
    });
    println!("event with one block, ns min/median/max {stored}");
}

fn store(placer: &mut Placer, i: usize) {
    let event = CacheEvent {
        incarnation: Incarnation(1_764_800_000_000_000),
        sequence: (i / HOLDERS) as u64 + 1,
        change: CacheChange::Stored(vec![(i as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)]),
    };
    placer.observe_cache(&announcement(i % HOLDERS).upstream, event, Time::ZERO);
}

fn print_updates() {
    let request = UpdateRequest {
        incarnation: Incarnation(1_764_800_000_000_000),
        sequence: 1_000_000,
    };
    println!("\nupdate of one agent, bytes without HTTP headers");
    let bytes = |encoded: Result<Vec<u8>, _>| encoded.expect("updates encode").len();
    println!("request {}", bytes(postcard::to_stdvec(&request)));
    println!("{:>8} {:>8}", "events", "bytes");
    for events in EVENTS {
        let update = UpstreamUpdate {
            epoch: LedgerEpoch(1_764_800_000_000_000),
            report: report(1_000_000),
            events: (0..events).map(event).collect(),
        };
        println!("{events:>8} {:>8}", bytes(postcard::to_stdvec(&update)));
    }
}

fn event(i: usize) -> BlockEvent {
    BlockEvent {
        sequence: 1_000_000 + i as u64,
        stored: true,
        block: (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
    }
}
