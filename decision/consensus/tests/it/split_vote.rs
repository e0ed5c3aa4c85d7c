//! Disks that are lost while the votes of one term are split between two candidates.
//!
//! A vote that was sent before the disk was lost still arrives, and a request that arrives after is refused:
//! either candidate may have half of an even number of votes and an answer of a voter of the other half that
//! its disk is lost.

use std::collections::BTreeSet;
use std::time::Duration;

use pimentotide_consensus::{ClusterId, Envelope, Event, Message};

use crate::cluster::Cluster;

/// Time for which a host is away: back before a message on a slow link arrives.
const AWAY: Duration = Duration::from_millis(5);
/// Times in milliseconds at which the disks are lost: before the votes, after them, and one of each.
const LOSSES: [(u64, u64); 4] = [(2, 2), (2, 10), (10, 2), (10, 15)];
const SPAN: Duration = Duration::from_secs(2);

/// Starts one voter more than is needed to bear `loss`, so that their number is even.
fn even_voters(loss: usize) -> Cluster {
    let mut cluster = Cluster::with_loss(loss);
    cluster.add();
    cluster.run(Duration::from_secs(3));
    let leader = cluster.leader().unwrap();
    let config = cluster.node(leader).unwrap().config();
    assert_eq!(config.voters.len(), 2 * loss + 2);
    cluster
}

/// Makes two hosts start an election in one term, as on a request to take over.
fn split(cluster: &mut Cluster, leader: usize, candidates: [usize; 2]) {
    for candidate in candidates {
        let node = cluster.node(leader).unwrap();
        let envelope = Envelope {
            cluster: ClusterId(1),
            from: node.hard().identity.clone(),
            to: cluster.hosts[candidate].identity().clone(),
            term: node.term(),
            body: Message::TimeoutNow,
        };
        cluster.deliver_event(candidate, Event::Receive(envelope));
    }
}

/// Returns the hosts that the bits of `set` choose.
fn chosen(hosts: &[usize], set: usize) -> impl Iterator<Item = usize> {
    let bits = hosts.iter().enumerate();
    bits.filter(move |(bit, _)| set >> bit & 1 == 1)
        .map(|(_, n)| *n)
}

/// Loses two disks in every way in which the other voters can be split; returns the number of ways.
fn lose_two_disks(loss: usize) -> usize {
    let start = even_voters(loss);
    let leader = start.leader().unwrap();
    let hosts: Vec<_> = (0..start.hosts.len()).collect();
    let others: Vec<_> = hosts.iter().copied().filter(|n| *n != leader).collect();
    let candidates = [others[0], others[1]];
    let voters: Vec<_> = hosts
        .iter()
        .copied()
        .filter(|n| !candidates.contains(n))
        .collect();
    let mut ways = 0;
    for set in 0..1 << voters.len() {
        let first: BTreeSet<_> = chosen(&voters, set).collect();
        for (one, two) in hosts
            .iter()
            .flat_map(|a| hosts.iter().map(move |b| (*a, *b)))
        {
            for (soon, late) in LOSSES {
                if one == two {
                    continue;
                }
                ways += 1;
                let mut cluster = start.clone();
                cluster.slow = voters
                    .iter()
                    .map(|v| (candidates[usize::from(first.contains(v))], *v))
                    .collect();
                split(&mut cluster, leader, candidates);
                let start = cluster.time;
                let mut losses = [(soon, one), (late, two)];
                losses.sort_unstable();
                for (at, host) in losses {
                    let at = start + Duration::from_millis(at);
                    cluster.run(at.since(cluster.time));
                    cluster.lose_disk(host, AWAY);
                }
                cluster.run(SPAN);
                let violation = &cluster.check.violation;
                assert!(
                    violation.is_none(),
                    "{violation:?}: {candidates:?} request votes, {first:?} hear the first one first, \
                     {losses:?} lose their disks"
                );
            }
        }
    }
    ways
}

/// Guards against two leaders of four voters in one term, after more losses than four voters bear.
#[test]
fn four_voters_and_two_lost_disks_elect_one_leader() {
    assert_eq!(lose_two_disks(1), 4 * 12 * LOSSES.len());
}

/// Guards against two leaders of six voters in one term, within the losses that six voters bear.
#[test]
fn six_voters_and_two_lost_disks_elect_one_leader() {
    assert_eq!(lose_two_disks(2), 16 * 30 * LOSSES.len());
}
