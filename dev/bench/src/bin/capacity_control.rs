//! Per-item costs of the control path: encoded sizes, processor time and memory.

use std::hint::black_box;
use std::time::Duration;

use pimentotide_bench::measure::{memory_per_item, nanos};
use pimentotide_bench::target::{MODELS, UPSTREAMS, WORKSPACES, announcement, declarations};
use pimentotide_consensus::Index;
use pimentotide_control::currency::{Confirmation, Held, Update, WatchAnswer, WatchRequest, grant};
use pimentotide_control::directory::{Heartbeat, Mark, Notice, Registry, Report, View};
use pimentotide_control::machine::encode;
use pimentotide_control::{Action, Command, Document, Machine, Order};
use pimentotide_model::{AdminState, Fence, Fingerprint, Incarnation, Revision, Time, Warmth};
use serde::Serialize;

/// Numbers of upstreams in a directory.
const SIZES: [usize; 4] = [100, 1_000, UPSTREAMS, 10_000];
/// Numbers of profiles and workspaces in force.
const DECLARED: [(usize, usize); 5] = [(5, 10), (26, 100), (26, 420), (104, 420), (260, 420)];
/// Numbers of orders in a history.
const ORDERS: [u64; 3] = [100, 1_000, 4_000];
/// Calls per timed run.
const BATCH: usize = 2_000;
/// Copies built for one measurement of memory.
const COPIES: usize = 8;

fn main() {
    print_messages();
    print_directories();
    print_configurations();
    print_log();
}

fn json<T>(value: &T) -> usize
where
    T: Serialize,
{
    serde_json::to_vec(value)
        .expect("messages have JSON forms")
        .len()
}

fn binary<T>(value: &T) -> usize
where
    T: Serialize,
{
    postcard::to_stdvec(value).expect("messages encode").len()
}

fn full_report(i: usize) -> Report {
    Report::Whole {
        notice: notice(i, 1),
        warmth: Warmth::Warm,
    }
}

fn notice(i: usize, sequence: u64) -> Notice {
    Notice {
        sequence,
        announcement: announcement(i),
    }
}

fn heartbeat(i: usize) -> Report {
    let announcement = announcement(i);
    Report::Beat(Heartbeat {
        upstream: announcement.upstream,
        incarnation: announcement.incarnation,
        sequence: 1,
        revision: announcement.revision,
        fence: announcement.fence,
        warmth: Warmth::Warm,
    })
}

fn answer() -> WatchAnswer {
    WatchAnswer {
        revision: Revision(1_200_000),
        digest: Fingerprint([7; 16]),
        update: Update::Same,
        lease: Duration::from_millis(2_900),
        floor: Fence(1_200_000),
        directory: None,
    }
}

fn request(mark: Option<Mark>) -> WatchRequest {
    WatchRequest {
        instance: "instance-0001".into(),
        upstream: None,
        held: Some(Held {
            revision: Revision(0),
            digest: Machine::default().configuration().digest(),
        }),
        mark,
        directory: true,
        eager: false,
    }
}

fn print_messages() {
    println!("bytes of one message, without JSON-RPC and WebSocket framing");
    println!("{:<28} {:>8} {:>8}", "message", "JSON", "binary");
    let row = |name: &str, json: usize, binary: usize| println!("{name:<28} {json:>8} {binary:>8}");
    row(
        "agent's heartbeat",
        json(&heartbeat(1)),
        binary(&heartbeat(1)),
    );
    row(
        "announcement, full",
        json(&full_report(1)),
        binary(&full_report(1)),
    );
    let watch = request(None);
    row("watch request", json(&watch), binary(&watch));
    row(
        "watch answer, no change",
        json(&answer()),
        binary(&answer()),
    );
    let changed = [notice(1, 2)];
    row("one upstream in a delta", json(&changed), binary(&changed));
}

fn registry(upstreams: usize) -> Registry {
    let mut registry = Registry::new(1, Time::ZERO);
    for i in 0..upstreams {
        registry.receive(full_report(i), Time::ZERO);
    }
    registry
}

fn view(registry: &Registry) -> View {
    let mut view = View::default();
    view.receive(&registry.update_since(None, Time::ZERO));
    view
}

fn print_directories() {
    println!("\ndirectory: bytes, and ns of processor time, min/median/max");
    println!(
        "{:>9} {:>10} {:>10} {:>9} {:>9} {:>18} {:>18} {:>18} {:>22}",
        "upstreams",
        "full JSON",
        "binary",
        "registry",
        "view",
        "heartbeat ns",
        "grant ns",
        "one change ns",
        "full to JSON us"
    );
    for size in SIZES {
        let mut registry = registry(size);
        let update = registry.update_since(None, Time::ZERO);
        let registry_bytes =
            memory_per_item(size * COPIES, || build_copies(|| self::registry(size)));
        let view_bytes = memory_per_item(size * COPIES, || build_copies(|| view(&registry)));
        let beats: Vec<_> = (0..size).map(heartbeat).collect();
        let received = nanos(BATCH, |i| {
            black_box(registry.receive(beats[i % size].clone(), Time::ZERO));
        });
        let granted = time_grant(&registry);
        let followed = time_follow(size);
        let encoded = nanos(3, |_| drop(black_box(serde_json::to_vec(&update))));
        println!(
            "{size:>9} {:>10} {:>10} {registry_bytes:>9.0} {view_bytes:>9.0} {received:>18} {granted:>18} {followed:>18} {:>22}",
            json(&update),
            binary(&update),
            micros(&encoded),
        );
    }
    println!("registry and view: resident bytes per upstream");
}

fn build_copies<T, F>(build: F) -> Vec<T>
where
    F: Fn() -> T,
{
    (0..COPIES).map(|_| build()).collect()
}

/// Converts values separated by slashes from nanoseconds to microseconds.
fn micros(text: &str) -> String {
    let parts = text.split('/').filter_map(|p| p.parse::<f64>().ok());
    let parts: Vec<_> = parts.map(|p| format!("{:.0}", p / 1e3)).collect();
    parts.join("/")
}

/// Times the answer to a holder that is up to date.
fn time_grant(registry: &Registry) -> String {
    let machine = Machine::default();
    let mark = registry.update_since(None, Time::ZERO).mark;
    let request = request(Some(mark));
    let confirmation = Confirmation {
        started: Time::ZERO,
    };
    nanos(BATCH.min(500), |_| {
        let answer = grant(&machine, registry, confirmation, &request, Time::ZERO);
        drop(black_box(answer));
    })
}

/// Times one changed announcement from its report until the view of a follower has it.
fn time_follow(size: usize) -> String {
    let mut registry = registry(size);
    let mut view = view(&registry);
    let mut sequence = 1;
    nanos(200, |i| {
        sequence += 1;
        let report = Report::Whole {
            notice: notice(i % size, sequence),
            warmth: Warmth::Warm,
        };
        registry.receive(report, Time::ZERO);
        let update = registry.update_since(view.mark(), Time::ZERO);
        black_box(view.receive(&update));
    })
}

fn order(id: u64, action: Action) -> Command {
    Command::Declare(Order {
        id: format!("order-{id:08}").into(),
        base: None,
        actor: "officer@assembly".to_owned(),
        action,
    })
}

fn zone(id: u64) -> Action {
    let standing = if id.is_multiple_of(2) {
        AdminState::In
    } else {
        AdminState::Out
    };
    Action::Zone {
        zone: "region-1-zone-1".into(),
        standing,
    }
}

fn machine(profiles: usize, workspaces: usize) -> Machine {
    let mut machine = Machine::default();
    let document = Document::of(&declarations(profiles, workspaces));
    let prune = false;
    machine.apply(Time::ZERO, &order(0, Action::Apply { document, prune }));
    machine
}

fn print_configurations() {
    println!("\nconfiguration: bytes, and us to apply one change, min/median/max");
    println!(
        "{:>9} {:>10} {:>11} {:>9} {:>14} {:>20}",
        "profiles", "workspaces", "JSON", "binary", "resident", "change us"
    );
    for (profiles, workspaces) in DECLARED {
        let held = declarations(profiles, workspaces);
        let resident = memory_per_item(COPIES, || build_copies(|| held.clone()));
        let mut machine = machine(profiles, workspaces);
        let mut id = 0;
        let applied = nanos(20, |_| {
            id += 1;
            black_box(machine.apply(Time::ZERO, &order(id, zone(id))));
        });
        println!(
            "{profiles:>9} {workspaces:>10} {:>11} {:>9} {resident:>14.0} {:>20}",
            json(&held),
            binary(&held),
            micros(&applied),
        );
    }
}

fn print_log() {
    println!("\nlog: bytes of one command, without framing");
    let mut document = Document::of(&declarations(1, 0));
    document.services.clear();
    let apply = Action::Apply {
        document,
        prune: false,
    };
    let size = |action| {
        encode(&order(1, action))
            .expect("every order encodes")
            .len()
    };
    println!("zone out         {}", size(zone(1)));
    println!("one profile      {}", size(apply));
    println!("\nsnapshot of the control state machine by number of orders, one every 13 s");
    println!("{:>8} {:>10}", "orders", "bytes");
    for orders in ORDERS {
        let mut machine = machine(MODELS, WORKSPACES);
        for id in 1..=orders {
            let at = Time::from_millis(id * 13_000);
            let command = encode(&order(id, zone(id))).expect("every order encodes");
            pimentotide_consensus::Machine::apply(&mut machine, Index(id), at, &command);
        }
        let snapshot = machine.snapshot().expect("every state encodes");
        println!("{orders:>8} {:>10}", snapshot.len());
    }
    println!(
        "fencing floor of an upstream, stored as name and number: {} bytes",
        binary(&("drafting-0001", Incarnation(1_200_000)))
    );
}
