//! Per-item costs of a group's coordinator, and sizes of the messages between replicas.

use pimentotide_bench::measure::{memory_per_item, nanos};
use pimentotide_consensus::{
    ClusterId, DiskId, Entry, Envelope, Identity, Index, LogId, Message, Payload,
};
use pimentotide_experts::{Demand, Layout, RankShape, StepSample, TokenCounts, pack_greedily};
use pimentotide_model::{Term, Time};
use serde::Serialize;

/// Numbers of ranks in a group.
const RANKS: [u16; 4] = [32, 64, 128, 256];
/// Number of layers with experts.
const LAYERS: u16 = 60;
/// Number of experts per layer.
const EXPERTS: u16 = 128;
/// Number of ranks per node.
const NODE_RANKS: u16 = 8;
/// Tokens that one rank routes per layer between two reports.
const RANK_TOKENS: [u32; 3] = [1_000, 10_000, 100_000];
/// Sizes of the command in an append, in bytes.
const COMMAND_BYTES: [usize; 3] = [50, 567, 4_096];

fn main() {
    print_maps();
    print_counts();
    print_envelopes();
}

fn bytes<T>(value: &T) -> usize
where
    T: Serialize,
{
    postcard::to_stdvec(value).expect("messages encode").len()
}

fn layout(ranks: u16, slots: u16) -> Layout {
    let shape = |rank| RankShape {
        node: rank / NODE_RANKS,
        slots,
    };
    Layout {
        layers: LAYERS,
        experts: EXPERTS,
        ranks: (0..ranks).map(shape).collect(),
    }
}

fn print_maps() {
    println!("expert map, {LAYERS} layers of {EXPERTS} experts");
    println!(
        "{:>6} {:>6} {:>10} {:>14} {:>20}",
        "ranks", "slots", "bytes", "resident", "encode us"
    );
    let weights = vec![1.0; usize::from(LAYERS) * usize::from(EXPERTS)];
    for ranks in RANKS {
        // Slots for two copies of each expert, and at least two slots per rank.
        let slots = (2 * EXPERTS / ranks).max(2);
        let layout = layout(ranks, slots);
        let speeds = vec![1.0; usize::from(ranks)];
        let demand = Demand::new(usize::from(EXPERTS), &weights, &speeds);
        let map = pack_greedily(&layout, &demand).expect("the layout fits");
        let copies = 64;
        let resident = memory_per_item(copies, || vec![map.clone(); copies]);
        let encoded = nanos(5, |_| drop(std::hint::black_box(postcard::to_stdvec(&map))));
        let encoded = encoded.split('/').filter_map(|t| t.parse::<f64>().ok());
        let encoded: Vec<_> = encoded.map(|t| format!("{:.0}", t / 1e3)).collect();
        println!(
            "{ranks:>6} {slots:>6} {:>10} {resident:>14.0} {:>20}",
            bytes(&map),
            encoded.join("/")
        );
    }
}

fn print_counts() {
    println!("\nreport of one rank to its coordinator");
    println!("{:>14} {:>12} {:>12}", "tokens / layer", "counts", "step");
    for tokens in RANK_TOKENS {
        let counts = TokenCounts {
            reporter: 200,
            sequence: 8_640,
            at: Time::from_millis(86_400_000),
            tokens: vec![tokens / u32::from(EXPERTS); usize::from(LAYERS * EXPERTS)],
        };
        let step = StepSample {
            rank: 200,
            at: Time::from_millis(86_400_000),
            work: u64::from(tokens) * u64::from(LAYERS),
            busy: std::time::Duration::from_micros(18_400),
        };
        println!("{tokens:>14} {:>12} {:>12}", bytes(&counts), bytes(&step));
    }
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.into(),
        disk: DiskId(u128::MAX / 3),
    }
}

fn envelope(body: Message) -> Envelope {
    Envelope {
        cluster: ClusterId(u128::MAX / 5),
        from: identity("accra-a-entry-1"),
        to: identity("tema-c-entry-1"),
        term: Term(40),
        body,
    }
}

fn print_envelopes() {
    let sent = Time::from_millis(86_400_000);
    let commit = Index(2_000_000);
    let row = |name: &str, message| {
        let bytes = bytes(&envelope(message));
        println!("{name:<22} {bytes:>8} {:>8}", bytes.div_ceil(3) * 4);
    };
    println!("\nmessage of a replica      binary  base64");
    row("heartbeat", Message::Heartbeat { commit, sent });
    row("heartbeat reply", Message::HeartbeatReply { sent });
    let id = LogId {
        term: Term(40),
        index: commit,
    };
    for size in COMMAND_BYTES {
        let entry = Entry {
            id,
            time: sent,
            payload: Payload::Command(vec![0; size].into()),
        };
        let append = Message::Append {
            prev: id,
            entries: vec![entry],
            commit,
            sent,
        };
        row(&format!("append of {size} bytes"), append);
    }
    let matched = commit;
    row("append reply", Message::Appended { matched, sent });
}
