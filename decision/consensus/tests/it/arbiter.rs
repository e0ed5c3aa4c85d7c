//! Decisions of one arbiter, and the stored form of a membership that names some.

use std::collections::{BTreeMap, BTreeSet};

use pimentotide_consensus::{
    Arbiter, Arbiters, ClusterId, Config, Denial, DiskId, GrantRequest, Identity, Index, LogId,
    Member,
};
use pimentotide_model::{InstanceName, Term};
use proptest::prelude::*;

fn member(number: usize) -> (InstanceName, Member) {
    let name = InstanceName::from(format!("10.0.0.{number}:7460"));
    let address = name.as_str().parse().unwrap();
    let disk = DiskId(number as u128);
    (name, Member { disk, address })
}

fn ballot(index: u64) -> LogId {
    LogId {
        term: Term(2),
        index: Index(index),
    }
}

fn request(index: u64, voters: usize, part: &[usize]) -> GrantRequest {
    let identity = |number: &usize| {
        let (name, Member { disk, .. }) = member(*number);
        Identity { name, disk }
    };
    GrantRequest {
        cluster: ClusterId(1),
        ballot: ballot(index),
        committed: true,
        voters: (0..voters).map(member).collect(),
        part: part.iter().map(identity).collect(),
    }
}

/// Guards against two halves that both act.
#[test]
fn second_part_is_granted_only_if_it_intersects_the_first() {
    let mut arbiter = Arbiter::new(DiskId(1));
    assert_eq!(arbiter.decide(&request(9, 4, &[0, 1])), Ok(()));
    assert_eq!(
        arbiter.decide(&request(9, 4, &[2, 3])),
        Err(Denial::Conflict)
    );
    assert_eq!(arbiter.decide(&request(9, 4, &[1, 2])), Ok(()));
    assert!(arbiter.has_granted(&request(9, 4, &[1, 2])));
}

/// Guards against a part that acts in a membership that a later one has replaced.
#[test]
fn ballot_before_a_committed_one_is_denied() {
    let mut arbiter = Arbiter::new(DiskId(1));
    assert_eq!(arbiter.decide(&request(9, 4, &[0, 1])), Ok(()));
    let open = GrantRequest {
        committed: false,
        ..request(12, 4, &[2, 3])
    };
    assert_eq!(arbiter.decide(&open), Ok(()));
    assert_eq!(
        arbiter.decide(&request(9, 4, &[2, 3])),
        Err(Denial::Conflict)
    );
    assert_eq!(arbiter.decide(&request(12, 4, &[2, 3])), Ok(()));
    assert_eq!(
        arbiter.decide(&request(9, 4, &[0, 1])),
        Err(Denial::Outdated)
    );
}

/// Guards against a part that does not intersect each quorum without a grant.
#[test]
fn part_of_too_few_voters_is_denied() {
    let mut arbiter = Arbiter::new(DiskId(1));
    assert_eq!(arbiter.decide(&request(9, 4, &[0])), Err(Denial::Invalid));
    assert_eq!(
        arbiter.decide(&request(9, 6, &[0, 1])),
        Err(Denial::Invalid)
    );
    assert_eq!(
        arbiter.decide(&request(9, 4, &[0, 7])),
        Err(Denial::Invalid)
    );
}

fn config(arbiters: Option<Arbiters>) -> Config {
    Config {
        voters: (0..4).map(member).collect(),
        learners: (4..5).map(member).collect(),
        arbiters,
    }
}

/// Guards against a log or a snapshot that another version cannot read.
#[test]
fn membership_is_stored_in_the_format_without_arbiters() {
    type Stored = (
        BTreeMap<InstanceName, Member>,
        BTreeMap<InstanceName, Member>,
    );
    let plain = config(None);
    let stored: Stored = (plain.voters.clone(), plain.learners.clone());
    let bytes = postcard::to_stdvec(&stored).unwrap();
    assert_eq!(postcard::to_stdvec(&plain).unwrap(), bytes);

    let named = config(Some(Arbiters {
        ballot: ballot(9),
        members: (7..10).map(member).collect(),
    }));
    let bytes = postcard::to_stdvec(&named).unwrap();
    assert_eq!(postcard::from_bytes::<Config>(&bytes).unwrap(), named);
    let (voters, learners) = postcard::from_bytes::<Stored>(&bytes).unwrap();
    assert_eq!((voters, learners.len()), (named.voters, 4));
}

proptest! {
    /// Guards against quorums of one membership that do not intersect, whatever majorities are asked in what order.
    #[test]
    fn quorums_intersect(
        voters in 4..9_usize,
        asked in prop::collection::vec(
            (prop::collection::btree_set(0..9_usize, 1..9), prop::collection::btree_set(0..5_usize, 3..6)),
            1..12,
        ),
    ) {
        let mut arbiters = vec![Arbiter::new(DiskId(1)); 5];
        let mut parts: Vec<BTreeSet<usize>> = Vec::new();
        for (part, majority) in asked {
            let members: Vec<usize> = part.iter().copied().collect();
            let request = request(9, voters, &members);
            let granted = majority.iter().filter(|n| arbiters[**n].decide(&request).is_ok());
            if granted.count() >= 3 {
                parts.push(part);
            }
        }
        let size = config_of(voters).quorum();
        prop_assert!(2 * size > voters);
        for part in &parts {
            prop_assert!(part.len() + size > voters);
            prop_assert!(parts.iter().all(|other| !other.is_disjoint(part)));
        }
    }
}

fn config_of(voters: usize) -> Config {
    Config {
        voters: (0..voters).map(member).collect(),
        learners: BTreeMap::new(),
        arbiters: Some(Arbiters {
            ballot: ballot(9),
            members: (10..15).map(member).collect(),
        }),
    }
}
