//! A disk that is lost while the membership is not committed and only some of the voters know it.

use std::sync::LazyLock;
use std::time::Duration;

use pimentotide_consensus::Node;

use crate::cluster::{Cluster, DISK_RESTART};

/// Times in milliseconds between the change and the loss: before it is sent, before it is synced, and after.
const DELAYS: [u64; 5] = [0, 1, 3, 5, 50];
/// Time for which the hosts that do not learn of the change stand still.
const FREEZES: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(2_500)];
const LIMIT: Duration = Duration::from_secs(10);

/// Number of cases and those that broke a rule.
#[derive(Debug, Default)]
struct Findings {
    cases: usize,
    unsafe_cases: Vec<String>,
    stuck_cases: Vec<String>,
}

/// Runs until a leader has appended a membership of `voters`, which is not committed.
pub(crate) fn run_until_open(cluster: &mut Cluster, voters: usize) {
    let end = cluster.time + LIMIT;
    let is_open = |c: &Cluster| {
        let mut leaders = (0..c.hosts.len()).filter_map(|n| c.node(n).filter(|n| n.is_leader()));
        let config = leaders.next().map(Node::config);
        c.has_open_change() && config.is_some_and(|c| c.voters.len() == voters)
    };
    while !is_open(cluster) {
        assert!(cluster.time < end, "no change to {voters} voters");
        cluster.step();
    }
}

/// Freezes every set of the hosts other than the leader, and loses the disk of every host, alone and with the
/// power of the others.
fn explore(open: &Cluster) -> Findings {
    let mut findings = Findings::default();
    let live: Vec<_> = (0..open.hosts.len())
        .filter(|n| open.node(*n).is_some())
        .collect();
    let is_leader = |n: &usize| open.node(*n).is_some_and(Node::is_leader);
    let followers: Vec<_> = live.iter().copied().filter(|n| !is_leader(n)).collect();
    for set in 0..1_usize << followers.len() {
        let chosen = |(bit, _): &(usize, usize)| set >> bit & 1 == 1;
        let frozen = followers.iter().copied().enumerate().filter(chosen);
        let frozen: Vec<_> = frozen.map(|(_, n)| n).collect();
        for (span, delay) in FREEZES
            .iter()
            .flat_map(|f| DELAYS.iter().map(move |d| (*f, *d)))
        {
            for (lost, with_power) in live.iter().flat_map(|n| [(*n, false), (*n, true)]) {
                let mut cluster = open.clone();
                for host in &frozen {
                    cluster.freeze(*host, span);
                }
                cluster.run(Duration::from_millis(delay));
                cluster.lose_disk(lost, DISK_RESTART);
                if with_power {
                    cluster.lose_power();
                }
                let result = cluster.recover();
                let case = || {
                    format!(
                        "{frozen:?} frozen {span:?}, {lost} lost at {delay} ms, power {with_power}"
                    )
                };
                findings.cases += 1;
                if let Some(rule) = &cluster.check.violation {
                    findings.unsafe_cases.push(format!("{rule}: {}", case()));
                } else if let Err(reason) = result {
                    findings.stuck_cases.push(format!("{reason}: {}", case()));
                }
            }
        }
    }
    findings
}

/// Cases of a fourth voter whose promotion is not committed.
static PROMOTION: LazyLock<Findings> = LazyLock::new(|| {
    let mut cluster = Cluster::with_loss(1);
    cluster.add();
    run_until_open(&mut cluster, 4);
    explore(&cluster)
});

/// Cases of a replaced voter that has ended and whose removal is not committed.
static REMOVAL: LazyLock<Findings> = LazyLock::new(|| {
    let mut cluster = Cluster::with_loss(1);
    cluster.add();
    cluster.run(Duration::from_secs(5));
    let leader = cluster.leader().unwrap();
    cluster.end((leader + 1) % 3);
    run_until_open(&mut cluster, 3);
    explore(&cluster)
});

/// Guards against two quorums, one of the old and one of the new membership.
#[test]
fn disk_lost_amid_a_promotion_keeps_what_was_acknowledged() {
    assert!(
        PROMOTION.cases > 0 && PROMOTION.unsafe_cases.is_empty(),
        "{:#?}",
        *PROMOTION
    );
}

/// Guards against a log without a leader for good.
#[test]
fn disk_lost_amid_a_promotion_leaves_a_leader() {
    assert!(PROMOTION.stuck_cases.is_empty(), "{:#?}", *PROMOTION);
}

/// Guards against two quorums, one of the old and one of the new membership.
#[test]
fn disk_lost_amid_a_removal_keeps_what_was_acknowledged() {
    assert!(
        REMOVAL.cases > 0 && REMOVAL.unsafe_cases.is_empty(),
        "{:#?}",
        *REMOVAL
    );
}

/// Guards against a log without a leader for good.
#[test]
fn disk_lost_amid_a_removal_leaves_a_leader() {
    assert!(REMOVAL.stuck_cases.is_empty(), "{:#?}", *REMOVAL);
}
