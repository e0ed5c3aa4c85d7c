//! Faults and planned work: injects one, waits and ends it.

use std::time::Duration;

use tokio::sync::Mutex;

use crate::caller;
use crate::cluster::{Cluster, Member};
use crate::history::Target;
use crate::proxy::Forwarding;
use crate::upstream::Mode;

/// Time for which a draining upstream keeps serving before it withdraws.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);
/// Time for which callers have used their connections to an entry before it is stopped.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Factor by which pauses are longer than other faults; the longest outlast a revocation.
const PAUSE_FACTOR: u32 = 3;

/// Name of the fault that pauses all replicas but its target.
pub(crate) const PAUSE_QUORUM: &str = "pause all but";

/// Name of the faults of connections; those to replicas are the operators' only.
pub(crate) const LINK: &str = "link";

/// A fault, or planned work, with the number of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Kills a process and restarts it later.
    KillControl(usize),
    KillEntry(usize),
    /// Kills all processes at once and restarts them later.
    KillAll,
    /// Freezes all replicas but one, so that there is no leader for a while.
    PauseQuorum(usize),
    /// Freezes a process for a while.
    PauseControl(usize),
    PauseEntry(usize),
    /// Disturbs the connections to a process or an upstream for a while.
    LinkControl(usize, LinkFault),
    LinkEntry(usize, LinkFault),
    LinkUpstream(usize, LinkFault),
    /// Switches an upstream to a faulty mode for a while.
    HangUpstream(usize),
    OverloadUpstream(usize),
    TruncateUpstream(usize),
    /// Crashes an upstream and restarts it later.
    CrashUpstream(usize),
    /// Planned: stops an entry gracefully and restarts it.
    StopEntry(usize),
    /// Planned: signals a process to reload its settings.
    ReloadControl(usize),
    ReloadEntry(usize),
    /// Planned: drains an upstream and replaces it by a new one.
    DrainUpstream(usize),
}

/// A fault of the connections to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Bytes are delayed in both directions.
    Delayed,
    /// No bytes pass in either direction.
    Silent,
    /// Bytes pass towards the target only.
    OneWay,
    /// All connections are reset once.
    Reset,
}

impl Fault {
    /// Whether it is planned work.
    pub(crate) fn is_planned(self) -> bool {
        matches!(
            self,
            Self::StopEntry(_)
                | Self::ReloadControl(_)
                | Self::ReloadEntry(_)
                | Self::DrainUpstream(_)
        )
    }

    /// Whether replicas are down or frozen meanwhile.
    fn takes_replicas(self) -> bool {
        matches!(
            self,
            Self::KillControl(_) | Self::KillAll | Self::PauseQuorum(_) | Self::PauseControl(_)
        )
    }

    fn name_and_target(self) -> (&'static str, Target) {
        match self {
            Self::KillControl(n) => ("kill", Target::Control(n)),
            Self::KillEntry(n) => ("kill", Target::Entry(n)),
            Self::KillAll => ("kill", Target::All),
            Self::PauseQuorum(n) => (PAUSE_QUORUM, Target::Control(n)),
            Self::PauseControl(n) => ("pause", Target::Control(n)),
            Self::PauseEntry(n) => ("pause", Target::Entry(n)),
            Self::LinkControl(n, _) => (LINK, Target::Control(n)),
            Self::LinkEntry(n, _) => (LINK, Target::Entry(n)),
            Self::LinkUpstream(n, _) => (LINK, Target::Upstream(n)),
            Self::HangUpstream(n) => ("hang", Target::Upstream(n)),
            Self::OverloadUpstream(n) => ("full", Target::Upstream(n)),
            Self::TruncateUpstream(n) => ("cut", Target::Upstream(n)),
            Self::CrashUpstream(n) => ("crash", Target::Upstream(n)),
            Self::StopEntry(n) => ("stop", Target::Entry(n)),
            Self::ReloadControl(n) => ("reload", Target::Control(n)),
            Self::ReloadEntry(n) => ("reload", Target::Entry(n)),
            Self::DrainUpstream(n) => ("leave", Target::Upstream(n)),
        }
    }

    /// Injects the fault and ends it after `duration`; skips a process that is disturbed already, and
    /// replicas that the loss of a disk needs.
    pub(crate) async fn inject(self, cluster: &Cluster, duration: Duration) {
        let permit = cluster.soundness.try_read();
        if self.takes_replicas() && permit.is_err() {
            return;
        }
        let _permit = permit.ok().filter(|_| self.takes_replicas());
        let from = cluster.recorder.now();
        let injected = match self {
            Self::KillControl(n) => kill(cluster, &cluster.controls[n], duration).await,
            Self::KillEntry(n) => kill(cluster, &cluster.entries[n], duration).await,
            Self::KillAll => kill_all(cluster, duration).await,
            Self::PauseQuorum(n) => pause_quorum(cluster, n, duration * PAUSE_FACTOR).await,
            Self::PauseControl(n) => pause(&cluster.controls[n], duration * PAUSE_FACTOR).await,
            Self::PauseEntry(n) => pause(&cluster.entries[n], duration * PAUSE_FACTOR).await,
            Self::LinkControl(n, link) => {
                disturb(&cluster.control_proxies[n], link, duration).await
            }
            Self::LinkEntry(n, link) => disturb(&cluster.entry_proxies[n], link, duration).await,
            Self::LinkUpstream(n, link) => {
                disturb(&cluster.upstreams[n].proxy, link, duration).await
            }
            Self::HangUpstream(n) => misbehave(cluster, n, Mode::Hanging, duration).await,
            Self::OverloadUpstream(n) => misbehave(cluster, n, Mode::Full, duration).await,
            Self::TruncateUpstream(n) => misbehave(cluster, n, Mode::Truncating, duration).await,
            Self::CrashUpstream(n) => crash(cluster, n, duration).await,
            Self::StopEntry(n) => stop(cluster, n, duration).await,
            Self::ReloadControl(n) => reload(&cluster.controls[n]),
            Self::ReloadEntry(n) => reload(&cluster.entries[n]),
            Self::DrainUpstream(n) => drain(cluster, n).await,
        };
        if injected {
            let (name, target) = self.name_and_target();
            cluster.record_disturbance(name, target, self.is_planned(), from);
        }
    }
}

async fn kill(cluster: &Cluster, member: &Mutex<Member>, duration: Duration) -> bool {
    let Ok(mut member) = member.try_lock() else {
        return false;
    };
    member.process.kill();
    tokio::time::sleep(duration).await;
    start(cluster, &mut member);
    true
}

/// Starts a process again.
pub(crate) fn start(cluster: &Cluster, member: &mut Member) {
    if let Err(e) = cluster.restart(member) {
        eprintln!("starting a process failed: {e}");
    }
}

async fn pause_quorum(cluster: &Cluster, number: usize, duration: Duration) -> bool {
    let mut members = Vec::new();
    let others = cluster.controls.iter().enumerate();
    for (_, member) in others.filter(|(n, _)| *n != number) {
        let Ok(member) = member.try_lock() else {
            return false;
        };
        members.push(member);
    }
    for member in &members {
        member.process.pause();
    }
    tokio::time::sleep(duration).await;
    for member in &members {
        member.process.resume();
    }
    true
}

async fn kill_all(cluster: &Cluster, duration: Duration) -> bool {
    let mut members = Vec::new();
    for member in cluster.controls.iter().chain(&cluster.entries) {
        members.push(member.lock().await);
    }
    for member in &mut members {
        member.process.kill();
    }
    tokio::time::sleep(duration).await;
    for member in &mut members {
        start(cluster, member);
    }
    true
}

async fn pause(member: &Mutex<Member>, duration: Duration) -> bool {
    let Ok(member) = member.try_lock() else {
        return false;
    };
    member.process.pause();
    tokio::time::sleep(duration).await;
    member.process.resume();
    true
}

async fn disturb(proxy: &crate::proxy::Proxy, link: LinkFault, duration: Duration) -> bool {
    match link {
        LinkFault::Delayed => proxy.set_forwarding(Forwarding::Delayed(Duration::from_millis(40))),
        LinkFault::Silent => proxy.set_forwarding(Forwarding::Silent),
        LinkFault::OneWay => proxy.set_forwarding(Forwarding::OneWay),
        LinkFault::Reset => proxy.reset(),
    }
    tokio::time::sleep(duration).await;
    proxy.set_forwarding(Forwarding::Plain);
    true
}

async fn misbehave(cluster: &Cluster, number: usize, mode: Mode, duration: Duration) -> bool {
    cluster.upstreams[number].set_mode(mode);
    tokio::time::sleep(duration).await;
    cluster.upstreams[number].set_mode(Mode::Normal);
    true
}

async fn crash(cluster: &Cluster, number: usize, duration: Duration) -> bool {
    let upstream = &cluster.upstreams[number];
    upstream.crash().await;
    tokio::time::sleep(duration).await;
    restart(upstream).await;
    true
}

async fn restart(upstream: &crate::upstream::StandIn) {
    if let Err(e) = upstream.start().await {
        eprintln!("starting an upstream failed: {e}");
    }
}

async fn stop(cluster: &Cluster, number: usize, load: Duration) -> bool {
    let Ok(mut entry) = cluster.entries[number].try_lock() else {
        return false;
    };
    let callers = caller::spawn_at(cluster, number, load.as_millis() as u64);
    tokio::time::sleep(LOAD_TIME).await;
    cluster.stop_entry(&mut entry).await;
    callers.stop().await;
    start(cluster, &mut entry);
    true
}

fn reload(member: &Mutex<Member>) -> bool {
    let Ok(member) = member.try_lock() else {
        return false;
    };
    member.process.reload();
    true
}

async fn drain(cluster: &Cluster, number: usize) -> bool {
    let upstream = &cluster.upstreams[number];
    let Some(incarnation) = upstream.start_drain().await else {
        return false;
    };
    tokio::time::sleep(DRAIN_TIME).await;
    if upstream.withdraw(incarnation).await {
        restart(upstream).await;
    }
    true
}
