//! Requests offered to the deployment; a seed yields the same ones for every policy.

use std::time::Duration;

use pimentotide_model::{
    Fingerprint, ModelName, Priority, RequestId, RequestMeta, ServiceName, Time, WorkspaceName,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Prompt blocks shared by all requests of a workspace.
const SYSTEM_BLOCKS: u64 = 4;
/// Prompt blocks of a quoted document.
const DOCUMENT_BLOCKS: u64 = 60;
/// Prompt blocks that no other request shares.
const UNIQUE_BLOCKS: u64 = 16;
/// Number of documents per workspace.
const DOCUMENTS: u64 = 40;
/// Number of workspaces.
const WORKSPACES: usize = 10;
/// Mean of the exponential distribution of answer lengths, in tokens.
const MEAN_TOKENS: f64 = 60.0;
/// Longest answer, in tokens.
const MAX_TOKENS: f64 = 400.0;

/// One offered request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of the entry that the caller uses.
    pub entry: usize,
    /// Time of arrival at the entry.
    pub arrival: Time,
    /// Attributes used for routing.
    pub meta: RequestMeta,
    /// Length of the answer, in tokens.
    pub tokens: u32,
}

/// Shape of the load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Mean arrival rate, in requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub length: Duration,
    /// Ratio of the requests that arrive at the entries of the first zone.
    pub first_zone: f64,
    /// Whether prompts quote documents, with skewed popularity.
    pub documents: bool,
    /// Time from arrival to the deadline of a request.
    pub deadline: Duration,
}

/// All requests of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Requests in the order of arrival.
    pub requests: Vec<Request>,
}

impl Workload {
    /// Draws the requests of `load` for `entries` entries in three zones.
    pub fn draw(load: &Load, entries: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Time::ZERO;
        let mut requests = Vec::new();
        let end = Time::ZERO + load.length;
        loop {
            let gap = -(1.0 - rng.random::<f64>()).ln() / load.rate;
            now += Duration::from_secs_f64(gap);
            if now >= end {
                return Self { requests };
            }
            let id = requests.len() as u64;
            requests.push(draw_request(load, entries, id, now, &mut rng));
        }
    }
}

fn draw_request(load: &Load, entries: usize, id: u64, now: Time, rng: &mut ChaCha8Rng) -> Request {
    let per_zone = entries / 3;
    let zone = if rng.random::<f64>() < load.first_zone {
        0
    } else {
        rng.random_range(1..3)
    };
    let entry = zone + 3 * rng.random_range(0..per_zone);
    let workspace = draw_skewed(WORKSPACES as u64, rng);
    let tokens = -(1.0 - rng.random::<f64>()).ln() * MEAN_TOKENS;
    Request {
        entry,
        arrival: now,
        meta: RequestMeta {
            id: RequestId(u128::from(id)),
            workspace: WorkspaceName::from(format!("w{workspace}")),
            service: ServiceName::from("drafting"),
            model: Some(ModelName::from("draft")),
            version: None,
            adapter: None,
            priority: Priority(100),
            deadline: now + load.deadline,
            idempotent: true,
            key: None,
            fingerprint: Fingerprint::default(),
            prefix: prefix(load, workspace, id, rng),
            stream: true,
        },
        tokens: tokens.clamp(1.0, MAX_TOKENS) as u32,
    }
}

fn prefix(load: &Load, workspace: u64, id: u64, rng: &mut ChaCha8Rng) -> Vec<u64> {
    let mut blocks: Vec<u64> = (0..SYSTEM_BLOCKS)
        .map(|i| digest(1, workspace, i))
        .collect();
    if load.documents {
        let document = workspace * DOCUMENTS + draw_skewed(DOCUMENTS, rng);
        blocks.extend((0..DOCUMENT_BLOCKS).map(|i| digest(2, document, i)));
    }
    blocks.extend((0..UNIQUE_BLOCKS).map(|i| digest(3, id, i)));
    blocks
}

/// Draws a number below `count`, low ones more often.
fn draw_skewed<R>(count: u64, rng: &mut R) -> u64
where
    R: Rng,
{
    let draw: f64 = rng.random();
    let spread = (count as f64 + 1.0).powf(draw) - 1.0;
    (spread as u64).min(count - 1)
}

fn digest(kind: u64, owner: u64, index: u64) -> u64 {
    let mut value = (kind << 56) ^ (owner << 12) ^ index;
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
