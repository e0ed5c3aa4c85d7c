//! What proxying costs: the same load straight to an engine and through entry and agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pimentotide::agent::{Agent, AgentOptions};
use pimentotide::entry::{Entry, EntryOptions};
use pimentotide::settings::{DEFAULT_BODY_BYTES, DEFAULT_KEEP, EntrySettings, Peer};
use pimentotide_bench::load::{Load, Outcome, offer};
use pimentotide_instance::{Token, View};
use pimentotide_model::{
    Declarations, InstanceName, ModelName, Profile, Revision, Service, ServiceKind, ServiceName,
    SlowStart, UpstreamName, VersionName, WorkspaceName, ZoneName,
};
use pimentotide_observe::Metrics;
use pimentotide_standin::{Engine, EngineOptions};
use tokio::sync::watch;

const MODEL: &str = "bench";
const ROUNDS: usize = 5;
const RATE: u32 = 400;
const LENGTH: Duration = Duration::from_secs(3);
const CAPACITY: u32 = 4096;
const TOKENS: u32 = 16;
const DRAIN: Duration = Duration::from_secs(10);
const PATH: &str = "/v1/completions";

fn main() {
    actix_rt::System::new().block_on(run());
}

async fn run() {
    let (engine, agent, entry, _view) = deployment().await;
    for stream in [false, true] {
        let kind = if stream { "streamed" } else { "plain" };
        println!("{kind}: {RATE} requests/s, {TOKENS} tokens, {ROUNDS} rounds of {LENGTH:?} each");
        println!(
            "{:>7} {:>24} {:>24} {:>24}",
            "", "first p50/p99 us", "total p50/p99 us", "pause p99 us"
        );
        let mut rows = Vec::new();
        for _ in 0..ROUNDS {
            let straight = offer(&load(engine.address(), stream)).await;
            let through = offer(&load(entry.address(), stream)).await;
            print_row("direct", &straight);
            print_row("proxied", &through);
            rows.push((straight, through));
        }
        print_added(&rows);
    }
    throughput(&engine, &entry).await;
    entry.stop().await;
    agent.stop().await;
    engine.stop(false).await;
}

/// Offers more than either path can carry and compares what comes through.
async fn throughput(engine: &Engine, entry: &Entry) {
    let mut ratios = Vec::new();
    for _ in 0..ROUNDS {
        let heavy = |target| Load {
            rate: 6_000,
            length: Duration::from_secs(1),
            ..load(target, false)
        };
        let straight = offer(&heavy(engine.address())).await;
        let through = offer(&heavy(entry.address())).await;
        let rate = |o: &Outcome| o.answered as f64 / o.wall.as_secs_f64();
        println!(
            "throughput: direct {:.0}/s, proxied {:.0}/s",
            rate(&straight),
            rate(&through)
        );
        ratios.push(rate(&through) / rate(&straight));
    }
    println!(
        "throughput ratio proxied/direct min/median/max: {}",
        spread(ratios)
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
        pair(&outcome.first),
        pair(&outcome.total),
        outcome.pause.value_at_quantile(0.99),
        outcome.failed,
    );
}

fn print_added(rows: &[(Outcome, Outcome)]) {
    for quantile in [0.5, 0.99] {
        let added = |(a, b): &(Outcome, Outcome)| {
            b.first.value_at_quantile(quantile) as f64 - a.first.value_at_quantile(quantile) as f64
        };
        let all = rows.iter().map(added).collect();
        println!(
            "added to first byte at p{:.0}, us, min/median/max: {}",
            quantile * 100.0,
            spread(all)
        );
    }
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    format!(
        "{:.2}/{:.2}/{:.2}",
        values[0],
        values[last / 2],
        values[last]
    )
}

async fn deployment() -> (Engine, Agent, Entry, watch::Sender<View>) {
    let token = Token::open("bench-secret-0123456789").expect("a valid secret");
    let view = watch::Sender::new(View {
        declarations: Arc::new(declarations()),
        current: true,
        ..View::default()
    });
    let agent = Agent::spawn(AgentOptions {
        upstream: UpstreamName::from("bench"),
        zone: ZoneName::from("zone"),
        listen: any_port(),
        engine: any_port(),
        token: token.clone(),
        view: view.subscribe(),
        control: None,
        metrics: Metrics::none(),
        drain: DRAIN,
    })
    .expect("the agent starts");
    let engine = Engine::spawn(EngineOptions {
        agent: Some(agent.engine_address()),
        capacity: CAPACITY,
        initial: CAPACITY,
        first_token: Duration::from_millis(5),
        token_gap: Duration::from_millis(2),
        ..EngineOptions::model(ModelName::from(MODEL), VersionName::from("1"))
    })
    .expect("the engine starts");
    let mut announced = agent.announcements();
    let announcement = announced
        .wait_for(Option::is_some)
        .await
        .expect("the agent lives")
        .clone();
    let announcement = announcement.expect("waited for");
    view.send_modify(|v| {
        v.upstreams = Arc::new([(announcement.upstream.clone(), announcement)].into());
    });
    let entry = Entry::spawn(entry_options(token, &view)).expect("the entry starts");
    (engine, agent, entry, view)
}

fn entry_options(token: Token, view: &watch::Sender<View>) -> EntryOptions {
    let name = InstanceName::from("bench-entry");
    let zone = ZoneName::from("zone");
    EntryOptions {
        instance: name.clone(),
        zone: zone.clone(),
        settings: EntrySettings {
            listen: any_port(),
            threads: 2,
            body: DEFAULT_BODY_BYTES,
            workspace: Some(WorkspaceName::from("bench")),
            keep: DEFAULT_KEEP,
            drain: DRAIN,
        },
        entries: vec![Peer {
            name,
            zone,
            address: any_port(),
        }],
        token,
        view: view.subscribe(),
        control: None,
        metrics: Metrics::none(),
    }
}

fn declarations() -> Declarations {
    let profile = Profile {
        model: Some(ModelName::from(MODEL)),
        slow_start: SlowStart {
            initial: CAPACITY,
            completions: 1,
            least: Duration::ZERO,
        },
        ..Profile::default()
    };
    let service = Service {
        name: ServiceName::from("bench"),
        kind: ServiceKind::Model,
        profile: profile.name.clone(),
    };
    Declarations {
        revision: Revision(1),
        services: [(service.name.clone(), service)].into(),
        profiles: [(profile.name.clone(), profile)].into(),
        ..Declarations::default()
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
