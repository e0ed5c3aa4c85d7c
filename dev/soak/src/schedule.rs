//! Which faults come when, drawn from a seed.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::caller::Caller;
use crate::cluster::{CONTROLS, Cluster, ENTRIES, UPSTREAMS};
use crate::fault::{Fault, Link};

/// Time between the beginnings of two faults, ms; shorter than many last, so that they overlap.
const GAP_MS: std::ops::Range<u64> = 150..1_200;
/// Time for which a fault lasts, ms.
const LASTING_MS: std::ops::Range<u64> = 100..2_500;
/// Part of the time, at first, in which only planned work goes on.
const PLANNED_PART: f64 = 0.35;
/// Quiet time between planned work and faults, so that what one harms is not blamed on the other.
const QUIET: Duration = Duration::from_secs(1);
/// Longest wait for the first request that is served after all faults.
const RECOVER_LIMIT: Duration = Duration::from_secs(20);
/// Load after that.
const AFTER: Duration = Duration::from_secs(1);

/// Plays planned work, then faults, for `time` in all; returns when all are over.
pub(crate) async fn play(cluster: &Arc<Cluster>, seed: u64, time: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let planned = time.mul_f64(PLANNED_PART);
    play_for(cluster, &mut rng, planned, draw_planned).await;
    tokio::time::sleep(QUIET).await;
    play_for(cluster, &mut rng, time - planned, draw).await;
}

async fn play_for<D>(cluster: &Arc<Cluster>, rng: &mut ChaCha8Rng, time: Duration, draw: D)
where
    D: Fn(&mut ChaCha8Rng) -> Fault,
{
    let mut playing = JoinSet::new();
    let mut left = time;
    let mut wiped = false;
    while !left.is_zero() {
        let fault = draw(rng);
        let lasting = Duration::from_millis(rng.random_range(LASTING_MS));
        let gap = Duration::from_millis(rng.random_range(GAP_MS)).min(left);
        // One lost disk is what three replicas bear; all others must be sound meanwhile.
        let skip = wiped && matches!(fault, Fault::WipeControl(_));
        if matches!(fault, Fault::WipeControl(_)) && !skip {
            while playing.join_next().await.is_some() {}
            fault.play(cluster, lasting).await;
            wiped = true;
        } else if !skip {
            let cluster = cluster.clone();
            playing.spawn(async move { fault.play(&cluster, lasting).await });
        }
        tokio::time::sleep(gap).await;
        left -= gap;
    }
    while playing.join_next().await.is_some() {}
}

/// Waits until requests are served again, and goes on a little.
pub(crate) async fn recover(cluster: &Cluster) {
    let mut caller = Caller::new(cluster, u64::MAX);
    let served = async {
        while !caller.call().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(RECOVER_LIMIT, served).await.is_ok() {
        let now = cluster.notes.now();
        cluster.notes.history().recovered = Some(now);
    }
    tokio::time::sleep(AFTER).await;
}

fn draw_planned(rng: &mut ChaCha8Rng) -> Fault {
    match rng.random_range(0..6) {
        0..2 => Fault::StopEntry(rng.random_range(0..ENTRIES)),
        2 => Fault::ReloadControl(rng.random_range(0..CONTROLS)),
        3 => Fault::ReloadEntry(rng.random_range(0..ENTRIES)),
        _ => Fault::LeaveUpstream(rng.random_range(0..UPSTREAMS)),
    }
}

fn draw(rng: &mut ChaCha8Rng) -> Fault {
    let control = rng.random_range(0..CONTROLS);
    let entry = rng.random_range(0..ENTRIES);
    let upstream = rng.random_range(0..UPSTREAMS);
    let links = [Link::Delayed, Link::Silent, Link::OneWay, Link::Reset];
    let link = links[rng.random_range(0..links.len())];
    match rng.random_range(0..24) {
        0..2 => Fault::KillControl(control),
        2..4 => Fault::KillEntry(entry),
        4 => Fault::WipeControl(control),
        5 => Fault::KillAll,
        6..8 => Fault::PauseControl(control),
        8..10 => Fault::PauseEntry(entry),
        10..12 => Fault::LinkControl(control, link),
        12..14 => Fault::LinkEntry(entry, link),
        14..16 => Fault::LinkUpstream(upstream, link),
        16 => Fault::MoodHanging(upstream),
        17 => Fault::MoodFull(upstream),
        18..20 => Fault::MoodCutting(upstream),
        20..22 => Fault::CrashUpstream(upstream),
        _ => draw_planned(rng),
    }
}
