//! Replaced replicas and lost disks or replicas, as close to each other as the deployment has to bear.
//!
//! A replica counts as lost while it is down and for [`CATCH_UP_TIME`] after it has started; one that
//! is removed counts no longer once its replacement has been up for that time. No other replica is
//! disturbed until a disk is lost. From then on any may be: their own disks last.

use std::fs;
use std::time::Duration;

use rand::RngExt;
use rand::seq::index;
use rand_chacha::ChaCha8Rng;
use tokio::sync::MutexGuard;

use crate::cluster::{Cluster, Member};
use crate::fault::start;
use crate::history::Target;

/// Time for which a replica counts as lost after it has started.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Additional time for which a replacement is up before the loss of a disk, in milliseconds.
const SETTLE_MS: std::ops::Range<u64> = 0..2_000;
/// Times from the end of a replaced replica to the loss of a disk, in milliseconds.
const SPACINGS_MS: [u64; 5] = [0, 100, 500, 1_000, 3_000];
/// Longest such time, in milliseconds.
const MAX_SPACING_MS: u64 = 4_000;
/// Time for which the processes of a lost disk are down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 500..1_500;
/// Pause before the replicas have to be sound for the next loss, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..6_000;
/// Share of the losses before which replicas are replaced.
const REPLACED_RATIO: f64 = 0.75;
/// Share of the replacements before a graceful stop that concern any number of the replicas.
const MANY_RATIO: f64 = 0.5;
/// Share of the losses that are for good, where not all processes are killed after an end without notice.
const GONE_RATIO: f64 = 0.4;
/// Share of the losses at which all other processes are killed.
const ALL_RATIO: f64 = 0.4;
/// Timeout for the acknowledgement that a final loss follows.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);

/// How a replica is replaced for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replacement {
    /// By a replacement that has caught up before the replica is killed.
    BeforeKill,
    /// By a replacement that has caught up before the replica is stopped gracefully.
    BeforeStop,
    /// By a replacement that starts after the replica was killed.
    AfterKill,
}

/// Disks or replicas that are lost at the same time, and what precedes it.
#[derive(Clone, Debug)]
struct Loss {
    /// Replicas that are replaced first.
    replaced: Vec<usize>,
    replacement: Replacement,
    /// Time for which the replacements are up before the replicas end, or before the loss.
    settle: Duration,
    /// Time from then to the loss.
    spacing: Duration,
    /// Replicas that lose their disks.
    lost: Vec<usize>,
    /// Whether they are gone for good, and others with empty disks come in their place.
    gone: bool,
    /// Whether all other processes are killed at the same moment.
    all: bool,
    down: Duration,
}

impl Loss {
    fn draw(rng: &mut ChaCha8Rng, replicas: usize) -> Self {
        let loss = replicas / 2;
        let draw_some = |rng: &mut ChaCha8Rng| {
            let count = rng.random_range(1..=loss);
            index::sample(rng, replicas, count).into_vec()
        };
        let replacements = [
            Replacement::BeforeKill,
            Replacement::BeforeStop,
            Replacement::AfterKill,
        ];
        let spacing = if rng.random_bool(0.7) {
            SPACINGS_MS[rng.random_range(0..SPACINGS_MS.len())]
        } else {
            rng.random_range(0..MAX_SPACING_MS)
        };
        let replaced = if rng.random_bool(REPLACED_RATIO) {
            draw_some(rng)
        } else {
            Vec::new()
        };
        let mut loss = Self {
            replaced,
            replacement: replacements[rng.random_range(0..replacements.len())],
            settle: CATCH_UP_TIME + Duration::from_millis(rng.random_range(SETTLE_MS)),
            spacing: Duration::from_millis(spacing),
            lost: draw_some(rng),
            gone: false,
            all: rng.random_bool(ALL_RATIO),
            down: Duration::from_millis(rng.random_range(DOWN_MS)),
        };
        // A stream of its own: the draws above stay those of the seed.
        let mut rng = rng.clone();
        rng.set_stream(1);
        let stops = loss.replacement == Replacement::BeforeStop;
        if stops && !loss.replaced.is_empty() && rng.random_bool(MANY_RATIO) {
            let count = rng.random_range(1..=replicas);
            loss.replaced = index::sample(&mut rng, replicas, count).into_vec();
        }
        // Where entries are killed as well, nobody knows which replicas may have acted without the others.
        let unnoticed = loss.replacement == Replacement::BeforeKill && !loss.replaced.is_empty();
        loss.gone = !(unnoticed && loss.all) && rng.random_bool(GONE_RATIO);
        loss
    }

    /// Returns about how long it takes.
    fn duration(&self) -> Duration {
        CATCH_UP_TIME + self.settle + self.spacing + self.down
    }

    /// Injects it once all replicas are sound; after the next acknowledgement if `acked`.
    async fn inject(&self, cluster: &Cluster, acked: bool) {
        let soundness = cluster.soundness.write().await;
        let mut entries = Vec::new();
        for entry in cluster.entries.iter().filter(|_| self.all) {
            entries.push(entry.lock().await);
        }
        tokio::time::sleep(CATCH_UP_TIME).await;
        self.replace(cluster).await;
        tokio::time::sleep(self.spacing).await;
        if acked {
            wait_for_acknowledgement(cluster).await;
        }
        let from = cluster.recorder.now();
        let (mut lost, mut others) = (Vec::new(), Vec::new());
        for (number, control) in cluster.controls.iter().enumerate() {
            let is_lost = self.lost.contains(&number);
            if is_lost || self.all {
                let members = if is_lost { &mut lost } else { &mut others };
                members.push(control.lock().await);
            }
        }
        others.append(&mut entries);
        for member in lost.iter_mut().chain(&mut others) {
            member.process.kill();
        }
        for member in &lost {
            if let Err(e) = fs::remove_dir_all(&member.data) {
                eprintln!("{}: {e}", member.data.display());
            }
        }
        drop(soundness);
        tokio::time::sleep(self.down).await;
        if self.gone {
            for (number, member) in self.numbers_of_lost().zip(&mut lost) {
                supersede(cluster, number, member);
            }
        } else {
            restart(cluster, lost);
        }
        restart(cluster, others);
        let name = if self.gone { "gone" } else { "wipe" };
        for number in &self.lost {
            cluster.record_disturbance(name, Target::Control(*number), false, from);
        }
        if self.all {
            cluster.record_disturbance("kill", Target::All, false, from);
        }
    }

    /// Iterates over the replicas that are lost, in order.
    fn numbers_of_lost(&self) -> impl Iterator<Item = usize> {
        let mut lost = self.lost.clone();
        lost.sort_unstable();
        lost.into_iter()
    }

    /// Replaces the replicas that are replaced before the loss.
    async fn replace(&self, cluster: &Cluster) {
        if self.replaced.is_empty() {
            return;
        }
        let from = cluster.recorder.now();
        if self.replacement == Replacement::AfterKill {
            for number in &self.replaced {
                cluster.controls[*number].lock().await.process.kill();
            }
            tokio::time::sleep(self.down).await;
        }
        let mut added = Vec::new();
        for number in &self.replaced {
            match cluster.spawn_replacement(*number) {
                Ok((member, address)) => added.push((*number, member, address)),
                Err(e) => eprintln!("starting a replacement failed: {e}"),
            }
        }
        tokio::time::sleep(self.settle).await;
        for (number, member, address) in added {
            let mut present = cluster.controls[number].lock().await;
            let mut old = std::mem::replace(&mut *present, member);
            drop(present);
            if self.replacement == Replacement::BeforeStop {
                tokio::spawn(async move { old.process.stop().await });
            } else {
                old.process.kill();
            }
            cluster.control_proxies[number].set_target(address);
            cluster.rewrite_seeds(number, address);
            cluster.record_disturbance("replace", Target::Control(number), false, from);
        }
    }
}

fn restart(cluster: &Cluster, members: Vec<MutexGuard<'_, Member>>) {
    for mut member in members {
        start(cluster, &mut member);
    }
}

/// Starts a replica with an empty disk in place of one that is gone.
fn supersede(cluster: &Cluster, number: usize, member: &mut Member) {
    match cluster.spawn_replacement(number) {
        Ok((successor, address)) => {
            *member = successor;
            cluster.control_proxies[number].set_target(address);
            cluster.rewrite_seeds(number, address);
        }
        Err(e) => eprintln!("starting a replacement failed: {e}"),
    }
}

/// Injects losses one after the other, for about `time`; at least one.
pub(crate) async fn run_for(cluster: &Cluster, rng: &mut ChaCha8Rng, time: Duration) {
    let mut left = time;
    while !left.is_zero() {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        let loss = Loss::draw(rng, cluster.controls.len());
        tokio::time::sleep(pause.min(left)).await;
        loss.inject(cluster, false).await;
        left = left.saturating_sub(pause + loss.duration());
    }
}

/// Injects the last loss, half of the time right after an acknowledgement.
pub(crate) async fn final_loss(cluster: &Cluster, rng: &mut ChaCha8Rng) {
    let loss = Loss::draw(rng, cluster.controls.len());
    let acked = rng.random_bool(0.5);
    loss.inject(cluster, acked).await;
}

/// Waits until another version is acknowledged.
async fn wait_for_acknowledgement(cluster: &Cluster) {
    let count = || {
        let history = cluster.recorder.history();
        history.orders.iter().filter(|o| o.acked.is_some()).count()
    };
    let before = count();
    let acknowledged = async {
        while count() == before {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    // Without one, the loss comes all the same.
    let _ = tokio::time::timeout(ACK_TIMEOUT, acknowledged).await;
}
