//! Schedule of planned work and faults, drawn from a seed.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::caller::Caller;
use crate::cluster::{Cluster, ENTRIES, UPSTREAMS};
use crate::disks;
use crate::fault::{Fault, LinkFault};
use crate::guarantee::Bounds;
use crate::operator;

/// Interval between the starts of two faults, in milliseconds; shorter than many faults, so that
/// they overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..1_200;
/// Share of the faults after which a calm time follows, in which effects that last are seen.
const CALM_RATIO: f64 = 0.06;
/// Calm time, in milliseconds; longer than the longest pause.
const CALM_MS: std::ops::Range<u64> = 8_000..12_000;
/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..2_500;
/// Share of the time, from the start, with planned work only.
const PLANNED_RATIO: f64 = 0.35;
/// Pause between planned work and faults, so that the effects of one are not attributed to the
/// other.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Timeout for the first request served after all faults.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which the load continues after that.
const LOAD_AFTER_RECOVERY: Duration = Duration::from_secs(1);
/// Time for which the load continues after the last evacuation has to have its effect.
const LOAD_AFTER_EVACUATION: Duration = Duration::from_millis(1_500);
/// Injects planned work, then faults and losses of disks, for `time` in total; returns when all have ended.
pub(crate) async fn run(cluster: &Arc<Cluster>, rng: &mut ChaCha8Rng, time: Duration) {
    let planned = time.mul_f64(PLANNED_RATIO);
    let replicas = cluster.controls.len();
    run_for(cluster, rng, planned, |rng| draw_planned(rng, replicas)).await;
    tokio::time::sleep(QUIET_PERIOD).await;
    let left = time.saturating_sub(planned);
    let mut disks = ChaCha8Rng::from_rng(rng);
    tokio::join!(
        run_for(cluster, rng, left, |rng| draw(rng, replicas)),
        disks::run_for(cluster, &mut disks, left),
    );
}

async fn run_for<D>(cluster: &Arc<Cluster>, rng: &mut ChaCha8Rng, time: Duration, draw: D)
where
    D: Fn(&mut ChaCha8Rng) -> Fault,
{
    let mut active = JoinSet::new();
    let mut left = time;
    while !left.is_zero() {
        let fault = draw(rng);
        let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let calm = rng.random_bool(CALM_RATIO);
        let millis = if calm { CALM_MS } else { FAULT_INTERVAL_MS };
        let interval = Duration::from_millis(rng.random_range(millis)).min(left);
        let cluster = cluster.clone();
        active.spawn(async move { fault.inject(&cluster, duration).await });
        tokio::time::sleep(interval).await;
        left -= interval;
    }
    while active.join_next().await.is_some() {}
}

/// Continues until the last evacuation has had its effect for a while.
pub(crate) async fn observe_evacuation(bounds: &Bounds) {
    let effect = Duration::from_millis(bounds.evacuation.max(bounds.undisturbed));
    tokio::time::sleep(effect + LOAD_AFTER_EVACUATION).await;
}

/// Waits until a request is served and the configuration is read again, then lets the load continue for
/// a while.
pub(crate) async fn recover(cluster: &Cluster) {
    let mut caller = Caller::new(cluster, u64::MAX);
    let served = async {
        while !caller.call().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let now = cluster.recorder.now();
        cluster.recorder.history().recovered = Some(now);
    };
    let read = async {
        while !operator::read(cluster).await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let recovered = async { tokio::join!(served, read) };
    // Without recovery in time, the history shows what is missing.
    let _ = tokio::time::timeout(RECOVERY_TIMEOUT, recovered).await;
    tokio::time::sleep(LOAD_AFTER_RECOVERY).await;
}

fn draw_planned(rng: &mut ChaCha8Rng, replicas: usize) -> Fault {
    match rng.random_range(0..6) {
        0..2 => Fault::StopEntry(rng.random_range(0..ENTRIES)),
        2 => Fault::ReloadControl(rng.random_range(0..replicas)),
        3 => Fault::ReloadEntry(rng.random_range(0..ENTRIES)),
        _ => Fault::DrainUpstream(rng.random_range(0..UPSTREAMS)),
    }
}

fn draw(rng: &mut ChaCha8Rng, replicas: usize) -> Fault {
    let control = rng.random_range(0..replicas);
    let entry = rng.random_range(0..ENTRIES);
    let upstream = rng.random_range(0..UPSTREAMS);
    let links = [
        LinkFault::Delayed,
        LinkFault::Silent,
        LinkFault::OneWay,
        LinkFault::Reset,
    ];
    let link = links[rng.random_range(0..links.len())];
    match rng.random_range(0..25) {
        0..2 => Fault::KillControl(control),
        2..4 => Fault::KillEntry(entry),
        4 => Fault::KillAll,
        5..7 => Fault::PauseControl(control),
        7..9 => Fault::PauseEntry(entry),
        9..11 => Fault::LinkControl(control, link),
        11..13 => Fault::LinkEntry(entry, link),
        13..15 => Fault::LinkUpstream(upstream, link),
        15 => Fault::HangUpstream(upstream),
        16 => Fault::OverloadUpstream(upstream),
        17..19 => Fault::TruncateUpstream(upstream),
        19..21 => Fault::CrashUpstream(upstream),
        21 => Fault::PauseQuorum(control),
        _ => draw_planned(rng, replicas),
    }
}
