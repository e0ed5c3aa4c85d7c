//! Replacement of replicas beside every fault within the stated losses.

use std::sync::LazyLock;

use crate::cluster::{Case, Findings, Step, Target, replay, search};

/// Faults whose orders are searched, and times in milliseconds between them.
#[derive(Clone, Copy)]
struct Plan {
    /// Number of losses that the log bears, and of disks that are lost.
    loss: usize,
    /// Whether the other hosts also lose power with a disk.
    power: bool,
    /// A fault beside the addition, the end and the losses.
    other: Option<Step>,
    /// Hosts that may end.
    old: &'static [Target],
    /// Times from an addition to other faults: before the host asks to join, while it is promoted, as a
    /// voter, and from when on the end of another is no loss.
    stages: &'static [u64],
    /// Times from an addition to an end, which from 4 s on is no loss.
    ages: &'static [u64],
    /// Times between an end and the loss of a disk.
    spacings: &'static [u64],
    /// Times from one lost disk to the next.
    between: &'static [u64],
}

const THREE: Plan = Plan {
    loss: 1,
    power: false,
    other: None,
    old: &[Target::Leader, Target::Other(0), Target::Other(1)],
    stages: &[50, 506, 1_000, 4_000],
    ages: &[100, 3_000, 4_000],
    spacings: &[0, 10, 100, 500, 1_000, 3_000],
    between: &[],
};

const FIVE: Plan = Plan {
    loss: 2,
    // The others do not differ.
    old: &[Target::Leader, Target::Other(0)],
    stages: &[506, 4_000],
    ages: &[4_000],
    spacings: &[0, 500],
    between: &[0],
    ..THREE
};

fn has(steps: &Case, wanted: fn(&Step) -> bool) -> bool {
    steps.iter().any(|(_, s)| wanted(s))
}

fn is_end(step: &Step) -> bool {
    matches!(step, Step::End(_))
}

fn is_loss(step: &Step) -> bool {
    matches!(step, Step::LoseDisk(_) | Step::LoseDiskAndPower(_))
}

/// Runs every order of an addition, an end, as many lost disks as the log bears, and the other fault.
fn orders(plan: &Plan) -> Findings {
    search(plan.loss, &|steps| {
        let mut next = Vec::new();
        let mut choose = |waits: &[u64], step: Step| next.extend(waits.iter().map(|w| (*w, step)));
        let last = steps.last().map(|(_, s)| *s);
        let added = last == Some(Step::Add);
        let ended = has(steps, is_end);
        if !has(steps, |s| *s == Step::Add) {
            choose(&[100], Step::Add);
        }
        if !ended {
            let waits = match last {
                Some(Step::Add) => plan.ages,
                Some(step) if is_loss(&step) => plan.spacings,
                _ => &[100],
            };
            for target in plan.old {
                choose(waits, Step::End(*target));
            }
        }
        if steps.iter().filter(|(_, s)| is_loss(s)).count() < plan.loss {
            let follows_end = ended && last.is_some_and(|s| is_end(&s) || Some(s) == plan.other);
            let waits = match last {
                Some(Step::Add) => plan.stages,
                Some(step) if is_loss(&step) => plan.between,
                _ if follows_end => plan.spacings,
                _ => &[100],
            };
            for target in plan.old.iter().chain(&[Target::Newest]) {
                choose(waits, Step::LoseDisk(*target));
                if plan.power {
                    choose(waits, Step::LoseDiskAndPower(*target));
                }
            }
        }
        if let Some(other) = plan.other
            && !steps.iter().any(|(_, s)| *s == other)
        {
            choose(if added { plan.stages } else { &[50] }, other);
        }
        next
    })
}

macro_rules! orders {
    ($($name:ident: $plan:expr;)*) => {$(
        mod $name {
            use super::*;

            static FINDINGS: LazyLock<Findings> = LazyLock::new(|| orders(&$plan));

            /// Guards against two leaders in a term and the loss of what was acknowledged.
            #[test]
            fn keeps_what_was_acknowledged() {
                assert!(FINDINGS.unsafe_cases.is_empty(), "{}", *FINDINGS);
            }

            /// Guards against a log without a leader for good.
            #[test]
            fn leads_again() {
                assert!(FINDINGS.stuck_cases.is_empty(), "{}", *FINDINGS);
            }
        }
    )*};
}

orders! {
    three_voters: Plan { power: true, ..THREE };
    three_voters_and_loss_of_power: Plan { other: Some(Step::LosePower), ..THREE };
    three_voters_and_transfer: Plan { other: Some(Step::Transfer), ..THREE };
    three_voters_and_frozen_leader: Plan { other: Some(Step::Freeze(Target::Leader)), ..THREE };
    three_voters_and_restarted_leader: Plan { other: Some(Step::Restart(Target::Leader)), ..THREE };
    three_voters_and_snapshot: Plan { other: Some(Step::Compact), ..THREE };
    five_voters: Plan { ages: &[100, 4_000], spacings: &[0, 100, 1_000], between: &[0, 100], ..FIVE };
    five_voters_with_power: Plan { power: true, ..FIVE };
    five_voters_and_loss_of_power: Plan { other: Some(Step::LosePower), ..FIVE };
    five_voters_and_transfer: Plan { other: Some(Step::Transfer), ..FIVE };
    five_voters_and_frozen_leader: Plan { other: Some(Step::Freeze(Target::Leader)), ..FIVE };
    five_voters_and_restarted_leader: Plan { other: Some(Step::Restart(Target::Leader)), ..FIVE };
    five_voters_and_snapshot: Plan { other: Some(Step::Compact), ..FIVE };
}

/// Guards against the incident: two of four voters are left, and none leads.
#[test]
fn disk_is_lost_before_a_replaced_voter_is_removed() {
    let case = [
        (0, Step::Add),
        (6_000, Step::End(Target::Other(0))),
        (200, Step::LoseDisk(Target::Other(0))),
    ];
    let findings = replay(1, &case);
    assert_eq!(findings.cases, 1);
    assert!(findings.stuck_cases.is_empty(), "{findings}");
}

/// Returns every step after every wait.
fn each(waits: &[u64], steps: &[Step]) -> Vec<(u64, Step)> {
    let with_waits = steps.iter().flat_map(|s| waits.iter().map(|w| (*w, *s)));
    with_waits.collect()
}

/// Replaces two voters at once: both successors are up for 4 s when the old ones end, with these times
/// between the ends and, if disks are lost, from the second end on.
fn two_replacements(loss: usize, between: &[u64], until_loss: &[u64]) -> Findings {
    let add = vec![(100, Step::Add)];
    let ends = [Target::Leader, Target::Other(0)].map(Step::End);
    let targets = [Target::Leader, Target::Other(0), Target::Newest];
    let lost = targets.map(Step::LoseDisk);
    let lost_with_power = targets.map(Step::LoseDiskAndPower);
    let mut layers = vec![
        add.clone(),
        add,
        each(&[4_000], &ends),
        each(between, &ends),
    ];
    if !until_loss.is_empty() {
        let mut waits = until_loss;
        for _ in 1..loss {
            layers.push(each(waits, &lost));
            waits = &[0];
        }
        layers.push(each(waits, &[lost, lost_with_power].concat()));
    }
    search(loss, &|steps| {
        layers.get(steps.len()).cloned().unwrap_or_default()
    })
}

const BETWEEN: [u64; 5] = [0, 10, 100, 500, 1_500];

/// Guards against a log without a leader after two replicas were replaced at once.
#[test]
fn two_replaced_voters_end_at_once() {
    let findings = two_replacements(1, &BETWEEN, &[]);
    assert!(findings.is_sound(), "{findings}");
}

/// Guards against a log without a leader after two replacements and a later loss.
#[test]
fn disk_is_lost_after_two_replaced_voters_are_removed() {
    let findings = two_replacements(1, &BETWEEN, &[3_000]);
    assert!(findings.is_sound(), "{findings}");
}

/// Guards against the end of a voter without a successor, which is a loss, before one with a successor,
/// which is none, is removed: two of four voters are left, and the others cannot tell that they ended.
#[test]
fn second_voter_ends_before_a_replaced_one_is_removed() {
    let ends = [Target::Leader, Target::Other(0)].map(Step::End);
    let add = vec![(100, Step::Add)];
    let layers = [
        add.clone(),
        each(&[4_000], &ends),
        each(THREE.spacings, &ends),
        add,
    ];
    let findings = search(1, &|steps| {
        layers.get(steps.len()).cloned().unwrap_or_default()
    });
    assert!(findings.is_sound(), "{findings}");
}

/// Guards against the loss of a disk that leaves two of five voters.
#[test]
fn disk_is_lost_before_two_replaced_voters_are_removed() {
    let findings = two_replacements(1, &BETWEEN, &[0, 10, 100, 500, 1_000, 1_500, 2_000]);
    assert!(findings.is_sound(), "{findings}");
}

/// Guards against the loss of two disks that leaves three of seven voters.
#[test]
fn two_disks_are_lost_before_two_replaced_voters_are_removed() {
    let findings = two_replacements(2, &[0, 100], &[0, 100, 1_000]);
    assert!(findings.is_sound(), "{findings}");
}
