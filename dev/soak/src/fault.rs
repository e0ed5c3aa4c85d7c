//! One fault, from its beginning until it is over.

use std::fs;
use std::time::Duration;

use crate::cluster::{Cluster, Member};
use crate::history::Target;
use crate::proxy::Passing;
use crate::upstream::Mood;

/// Time for which an upstream that leaves goes on after it has been heard.
const LEAVING: Duration = Duration::from_millis(3_500);

/// What can be done to a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Kills a process and starts it anew later.
    KillControl(usize),
    KillEntry(usize),
    /// Kills a replica, takes its data away and starts it anew.
    WipeControl(usize),
    /// Kills all processes at once.
    KillAll,
    /// Freezes a process for a while.
    PauseControl(usize),
    PauseEntry(usize),
    /// Disturbs the connections to a process or an upstream.
    LinkControl(usize, Link),
    LinkEntry(usize, Link),
    LinkUpstream(usize, Link),
    /// Has an upstream misbehave for a while.
    MoodHanging(usize),
    MoodFull(usize),
    MoodCutting(usize),
    /// Crashes an upstream and starts it anew later.
    CrashUpstream(usize),
    /// Planned: stops an entry and starts it anew.
    StopEntry(usize),
    /// Planned: tells processes that their settings have changed.
    ReloadControl(usize),
    ReloadEntry(usize),
    /// Planned: an upstream leaves in order and another one takes its place.
    LeaveUpstream(usize),
}

/// What happens to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Link {
    Delayed,
    Silent,
    OneWay,
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
                | Self::LeaveUpstream(_)
        )
    }

    fn name_and_target(self) -> (&'static str, Target) {
        match self {
            Self::KillControl(n) => ("kill", Target::Control(n)),
            Self::KillEntry(n) => ("kill", Target::Entry(n)),
            Self::WipeControl(n) => ("wipe", Target::Control(n)),
            Self::KillAll => ("kill", Target::All),
            Self::PauseControl(n) => ("pause", Target::Control(n)),
            Self::PauseEntry(n) => ("pause", Target::Entry(n)),
            Self::LinkControl(n, _) => ("link", Target::Control(n)),
            Self::LinkEntry(n, _) => ("link", Target::Entry(n)),
            Self::LinkUpstream(n, _) => ("link", Target::Upstream(n)),
            Self::MoodHanging(n) => ("hang", Target::Upstream(n)),
            Self::MoodFull(n) => ("full", Target::Upstream(n)),
            Self::MoodCutting(n) => ("cut", Target::Upstream(n)),
            Self::CrashUpstream(n) => ("crash", Target::Upstream(n)),
            Self::StopEntry(n) => ("stop", Target::Entry(n)),
            Self::ReloadControl(n) => ("reload", Target::Control(n)),
            Self::ReloadEntry(n) => ("reload", Target::Entry(n)),
            Self::LeaveUpstream(n) => ("leave", Target::Upstream(n)),
        }
    }

    /// Injects the fault and ends it after `lasting`; nothing if its target is disturbed already.
    pub(crate) async fn play(self, cluster: &Cluster, lasting: Duration) {
        let from = cluster.notes.now();
        let played = match self {
            Self::KillControl(n) => replace(cluster, &cluster.controls[n], lasting, false).await,
            Self::KillEntry(n) => replace(cluster, &cluster.entries[n], lasting, false).await,
            Self::WipeControl(n) => replace(cluster, &cluster.controls[n], lasting, true).await,
            Self::KillAll => kill_all(cluster, lasting).await,
            Self::PauseControl(n) => pause(&cluster.controls[n], lasting).await,
            Self::PauseEntry(n) => pause(&cluster.entries[n], lasting).await,
            Self::LinkControl(n, link) => disturb(&cluster.control_proxies[n], link, lasting).await,
            Self::LinkEntry(n, link) => disturb(&cluster.entry_proxies[n], link, lasting).await,
            Self::LinkUpstream(n, link) => {
                disturb(&cluster.upstreams[n].proxy, link, lasting).await
            }
            Self::MoodHanging(n) => mood(cluster, n, Mood::Hanging, lasting).await,
            Self::MoodFull(n) => mood(cluster, n, Mood::Full, lasting).await,
            Self::MoodCutting(n) => mood(cluster, n, Mood::Cutting, lasting).await,
            Self::CrashUpstream(n) => crash(cluster, n, lasting).await,
            Self::StopEntry(n) => stop(cluster, n).await,
            Self::ReloadControl(n) => reload(&cluster.controls[n]),
            Self::ReloadEntry(n) => reload(&cluster.entries[n]),
            Self::LeaveUpstream(n) => leave(cluster, n).await,
        };
        if played {
            let (name, target) = self.name_and_target();
            cluster.note(name, target, self.is_planned(), from);
        }
    }
}

async fn replace(
    cluster: &Cluster,
    member: &tokio::sync::Mutex<Member>,
    lasting: Duration,
    wipe: bool,
) -> bool {
    let Ok(mut member) = member.try_lock() else {
        return false;
    };
    member.process.kill();
    if wipe && let Err(e) = fs::remove_dir_all(&member.data) {
        eprintln!("{}: {e}", member.data.display());
    }
    tokio::time::sleep(lasting).await;
    start(cluster, &mut member);
    true
}

fn start(cluster: &Cluster, member: &mut Member) {
    if let Err(e) = cluster.restart(member) {
        eprintln!("a process does not start: {e}");
    }
}

async fn kill_all(cluster: &Cluster, lasting: Duration) -> bool {
    let mut members = Vec::new();
    for member in cluster.controls.iter().chain(&cluster.entries) {
        members.push(member.lock().await);
    }
    for member in &mut members {
        member.process.kill();
    }
    tokio::time::sleep(lasting).await;
    for member in &mut members {
        start(cluster, member);
    }
    true
}

async fn pause(member: &tokio::sync::Mutex<Member>, lasting: Duration) -> bool {
    let Ok(member) = member.try_lock() else {
        return false;
    };
    member.process.pause();
    tokio::time::sleep(lasting).await;
    member.process.resume();
    true
}

async fn disturb(proxy: &crate::proxy::Proxy, link: Link, lasting: Duration) -> bool {
    match link {
        Link::Delayed => proxy.set(Passing::Delayed(Duration::from_millis(40))),
        Link::Silent => proxy.set(Passing::Silent),
        Link::OneWay => proxy.set(Passing::OneWay),
        Link::Reset => proxy.reset(),
    }
    tokio::time::sleep(lasting).await;
    proxy.set(Passing::Plain);
    true
}

async fn mood(cluster: &Cluster, number: usize, mood: Mood, lasting: Duration) -> bool {
    cluster.upstreams[number].set(mood);
    tokio::time::sleep(lasting).await;
    cluster.upstreams[number].set(Mood::Sound);
    true
}

async fn crash(cluster: &Cluster, number: usize, lasting: Duration) -> bool {
    let upstream = &cluster.upstreams[number];
    upstream.crash().await;
    tokio::time::sleep(lasting).await;
    restart(upstream).await;
    true
}

async fn restart(upstream: &crate::upstream::StandIn) {
    if let Err(e) = upstream.start().await {
        eprintln!("an upstream does not start: {e}");
    }
}

async fn stop(cluster: &Cluster, number: usize) -> bool {
    let Ok(mut entry) = cluster.entries[number].try_lock() else {
        return false;
    };
    cluster.stop_entry(&mut entry).await;
    start(cluster, &mut entry);
    true
}

fn reload(member: &tokio::sync::Mutex<Member>) -> bool {
    let Ok(member) = member.try_lock() else {
        return false;
    };
    member.process.reload();
    true
}

async fn leave(cluster: &Cluster, number: usize) -> bool {
    let upstream = &cluster.upstreams[number];
    upstream.leave().await;
    tokio::time::sleep(LEAVING).await;
    upstream.finish().await;
    restart(upstream).await;
    true
}
