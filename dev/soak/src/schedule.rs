//! Schedule of planned work and faults, drawn from a seed.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::caller::Caller;
use crate::cluster::{CONTROLS, Cluster, ENTRIES, UPSTREAMS};
use crate::fault::{Fault, LinkFault, Replacement};
use crate::guarantee::Bounds;

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
/// Time after the loss of a disk, or the replacement of a replica, before the next fault.
///
/// A lost instance counts for 4 s after it is back, and the replicas are stable 3 s after that.
const DISK_SETTLE_TIME: Duration = Duration::from_secs(7);
/// Time after the removal of a replica whose replacement is up before the next fault.
const REPLACED_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Injects planned work, then faults, for `time` in total; returns when all have ended.
pub(crate) async fn run(cluster: &Arc<Cluster>, seed: u64, time: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let planned = time.mul_f64(PLANNED_RATIO);
    run_for(cluster, &mut rng, planned, draw_planned).await;
    tokio::time::sleep(QUIET_PERIOD).await;
    run_for(cluster, &mut rng, time - planned, draw).await;
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
        if let Some(settle) = settle_time(fault) {
            // Three replicas bear the loss of one disk while the other two are healthy.
            while active.join_next().await.is_some() {}
            tokio::time::sleep(settle).await;
            fault.inject(cluster, duration).await;
            tokio::time::sleep(settle).await;
        } else {
            let cluster = cluster.clone();
            active.spawn(async move { fault.inject(&cluster, duration).await });
        }
        tokio::time::sleep(interval).await;
        left -= interval;
    }
    while active.join_next().await.is_some() {}
}

/// Returns the time before and after a fault that takes a disk; `None` for other faults.
fn settle_time(fault: Fault) -> Option<Duration> {
    match fault {
        Fault::WipeControl(_) | Fault::ReplaceControl(_, Replacement::After) => {
            Some(DISK_SETTLE_TIME)
        }
        Fault::ReplaceControl(_, Replacement::Before) => Some(REPLACED_SETTLE_TIME),
        _ => None,
    }
}

/// Continues until the last evacuation has had its effect for a while.
pub(crate) async fn observe_evacuation(bounds: &Bounds) {
    let effect = Duration::from_millis(bounds.evacuation.max(bounds.undisturbed));
    tokio::time::sleep(effect + LOAD_AFTER_EVACUATION).await;
}

/// Waits until a request is served again, then lets the load continue for a while.
pub(crate) async fn recover(cluster: &Cluster) {
    let mut caller = Caller::new(cluster, u64::MAX);
    let served = async {
        while !caller.call().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(RECOVERY_TIMEOUT, served).await.is_ok() {
        let now = cluster.recorder.now();
        cluster.recorder.history().recovered = Some(now);
    }
    tokio::time::sleep(LOAD_AFTER_RECOVERY).await;
}

fn draw_planned(rng: &mut ChaCha8Rng) -> Fault {
    match rng.random_range(0..6) {
        0..2 => Fault::StopEntry(rng.random_range(0..ENTRIES)),
        2 => Fault::ReloadControl(rng.random_range(0..CONTROLS)),
        3 => Fault::ReloadEntry(rng.random_range(0..ENTRIES)),
        _ => Fault::DrainUpstream(rng.random_range(0..UPSTREAMS)),
    }
}

fn draw(rng: &mut ChaCha8Rng) -> Fault {
    let control = rng.random_range(0..CONTROLS);
    let entry = rng.random_range(0..ENTRIES);
    let upstream = rng.random_range(0..UPSTREAMS);
    let links = [
        LinkFault::Delayed,
        LinkFault::Silent,
        LinkFault::OneWay,
        LinkFault::Reset,
    ];
    let link = links[rng.random_range(0..links.len())];
    let order = if rng.random_bool(0.5) {
        Replacement::Before
    } else {
        Replacement::After
    };
    match rng.random_range(0..27) {
        0..2 => Fault::KillControl(control),
        2..4 => Fault::KillEntry(entry),
        4 => Fault::WipeControl(control),
        5 => Fault::KillAll,
        6..8 => Fault::PauseControl(control),
        8..10 => Fault::PauseEntry(entry),
        10..12 => Fault::LinkControl(control, link),
        12..14 => Fault::LinkEntry(entry, link),
        14..16 => Fault::LinkUpstream(upstream, link),
        16 => Fault::HangUpstream(upstream),
        17 => Fault::OverloadUpstream(upstream),
        18..20 => Fault::TruncateUpstream(upstream),
        20..22 => Fault::CrashUpstream(upstream),
        22 => Fault::ReplaceControl(control, order),
        23 => Fault::PauseQuorum(control),
        _ => draw_planned(rng),
    }
}
