//! Time of one placement decision by the number of upstreams.
//!
//! `decision_cost [RUNS]` prints minimum, median and maximum over the runs, and
//! the ratio of each median to that of the smallest fleet.

use std::hint::black_box;
use std::time::{Duration, Instant};

use pimentotide_model::{
    Announcement, Declarations, Fence, Fingerprint, Incarnation, InstanceName, LoadReport,
    ModelName, Priority, Profile, ProfileName, RequestId, RequestMeta, Revision, Service,
    ServiceKind, ServiceName, Time, UpstreamName, VersionName, Warmth, WorkspaceName, ZoneName,
};
use pimentotide_routing::{
    AttemptOutcome, CacheChange, CacheEvent, Finished, Placement, Placer, PlacerSettings,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ZONES: [&str; 3] = ["ge-east-a", "ge-east-b", "ge-east-c"];
const COUNTS: [usize; 3] = [12, 300, 3_300];
/// Decisions per run.
const DECISIONS: u32 = 20_000;
const CAPACITY: u32 = 16;
/// Blocks per prompt.
const PROMPT_BLOCKS: u64 = 64;
/// Distinct prompts; each upstream is reported to cache one of them.
const PROMPTS: u64 = 2_000;
/// Ratio of upstreams that are full, so that some candidate draws find no free one.
const FULL_RATIO: f64 = 0.3;

fn main() {
    let runs: usize = std::env::args()
        .nth(1)
        .and_then(|a| a.parse().ok())
        .unwrap_or(7);
    println!("{DECISIONS} decisions a run, {runs} runs, prompts of {PROMPT_BLOCKS} blocks");
    println!(
        "{:>10}{:>30}{:>30}{:>8}{:>9}",
        "upstreams", "place us min/median/max", "finish us min/median/max", "ratio", "spilled"
    );
    let mut first = None;
    for count in COUNTS {
        let mut places = Vec::new();
        let mut finishes = Vec::new();
        let mut spilled = 0;
        for seed in 0..runs {
            let run = measure(count, seed as u64);
            places.push(run.place);
            finishes.push(run.finish);
            spilled += run.spilled;
        }
        let place = min_median_max(&mut places);
        let median = place[1];
        let base = *first.get_or_insert(median);
        println!(
            "{count:>10}{:>30}{:>30}{:>8.2}{spilled:>9}",
            format_values(place),
            format_values(min_median_max(&mut finishes)),
            median / base,
        );
    }
}

/// Mean times of one run in microseconds, and the number of spilled decisions.
struct Run {
    place: f64,
    finish: f64,
    spilled: u32,
}

fn measure(count: usize, seed: u64) -> Run {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut placer = fleet(count, &mut rng);
    let requests: Vec<RequestMeta> = (0..PROMPTS).map(request).collect();
    let mut place = Duration::ZERO;
    let mut finish = Duration::ZERO;
    let mut spilled = 0;
    for step in 0..DECISIONS {
        let now = Time::from_millis(u64::from(step) / 4);
        let meta = &requests[rng.random_range(0..requests.len())];
        let before = Instant::now();
        let placement = black_box(placer.place(meta, &[], now, &mut rng));
        place += before.elapsed();
        let Placement::Chosen(decision) = placement else {
            continue;
        };
        spilled += u32::from(decision.candidates.spilled());
        let done = Finished {
            outcome: AttemptOutcome::Good,
            first_token: Some(Duration::from_millis(80)),
            total: Duration::from_millis(700),
            tokens: 60,
            cached: Some(decision.candidates[0].hit),
        };
        let before = Instant::now();
        placer.finish(decision.ticket, meta, &done, now);
        finish += before.elapsed();
    }
    let micros = |d: Duration| d.as_secs_f64() * 1e6 / f64::from(DECISIONS);
    Run {
        place: micros(place),
        finish: micros(finish),
        spilled,
    }
}

fn fleet(count: usize, rng: &mut ChaCha8Rng) -> Placer {
    let settings = PlacerSettings::new(InstanceName::from("e1"), ZoneName::from(ZONES[0]));
    let mut placer = Placer::open(settings);
    placer.declare(declarations());
    for index in 0..count {
        let announcement = announcement(index);
        let name = announcement.upstream.clone();
        placer.announce(announcement);
        let full = rng.random::<f64>() < FULL_RATIO;
        let running = if full {
            CAPACITY
        } else {
            rng.random_range(0..CAPACITY)
        };
        let report = LoadReport {
            incarnation: Incarnation(1),
            sequence: 1,
            running,
            allowance: CAPACITY,
            warmth: Warmth::Warm,
            first_token: 80_000,
            token_gap: rng.random_range(9_000..14_000),
            ..LoadReport::default()
        };
        placer.observe_report(&name, &report, Time::from_millis(0));
        let prompt = rng.random_range(0..PROMPTS);
        let event = CacheEvent {
            incarnation: Incarnation(1),
            sequence: 1,
            change: CacheChange::Stored(prefix(prompt)),
        };
        placer.observe_cache(&name, event, Time::ZERO);
    }
    placer
}

fn declarations() -> Declarations {
    let profile = Profile {
        model: Some(ModelName::from("advice")),
        ..Profile::default()
    };
    let service = Service {
        name: ServiceName::from("advice"),
        kind: ServiceKind::Model,
        profile: ProfileName::from("default"),
    };
    Declarations {
        revision: Revision(1),
        profiles: [(profile.name.clone(), profile)].into(),
        services: [(service.name.clone(), service)].into(),
        ..Declarations::default()
    }
}

fn announcement(index: usize) -> Announcement {
    Announcement {
        upstream: UpstreamName::from(format!("u{index:04}")),
        incarnation: Incarnation(1),
        zone: ZoneName::from(ZONES[index % ZONES.len()]),
        address: format!("127.0.0.1:{}", 10_000 + index),
        kind: ServiceKind::Model,
        services: Vec::new(),
        models: vec![(ModelName::from("advice"), VersionName::from("1"))],
        adapters: Vec::new(),
        capacity: CAPACITY,
        group: None,
        leaving: false,
        revision: Revision(1),
        fence: Fence(0),
    }
}

fn request(prompt: u64) -> RequestMeta {
    RequestMeta {
        id: RequestId(u128::from(prompt)),
        workspace: WorkspaceName::from("w1"),
        service: ServiceName::from("advice"),
        model: Some(ModelName::from("advice")),
        version: None,
        adapter: None,
        priority: Priority(100),
        deadline: Time::MAX,
        idempotent: true,
        key: None,
        fingerprint: Fingerprint::default(),
        prefix: prefix(prompt),
        stream: true,
    }
}

fn prefix(prompt: u64) -> Vec<u64> {
    (0..PROMPT_BLOCKS)
        .map(|i| (prompt * PROMPT_BLOCKS + i).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .collect()
}

/// Returns minimum, median and maximum.
fn min_median_max(values: &mut [f64]) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    [
        values[0],
        values[values.len() / 2],
        values[values.len() - 1],
    ]
}

fn format_values(values: [f64; 3]) -> String {
    format!("{:.2}/{:.2}/{:.2}", values[0], values[1], values[2])
}
