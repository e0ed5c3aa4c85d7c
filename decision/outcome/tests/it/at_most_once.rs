//! Exhaustive exploration of single faults and pairs of faults of entries, agents,
//! upstreams and the journal.
//!
//! Guards against a second run of a request and against "not run" for a request that
//! ran, when a crash, a broken connection or a delayed message hits any step. Two tests
//! with a defect injected on purpose check that the exploration detects such runs.

use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use pimentotide_model::Ran;
use pimentotide_outcome::Answer;

use crate::world::{Defect, Step, World};

/// Number of steps within which a path without faults must end.
const MAX_QUIET_STEPS: usize = 64;

struct Report {
    states: usize,
    violation: Option<(String, Vec<Step>)>,
}

/// Steps that lead to a state, as a list from the last one backwards.
struct Path {
    step: Step,
    before: Option<Rc<Path>>,
}

fn steps_of(path: Option<Rc<Path>>) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    let mut path = path;
    while let Some(last) = path {
        steps.push(last.step.clone());
        path = last.before.clone();
    }
    steps.reverse();
    steps
}

fn hash_of(world: &World, faults: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (world, faults).hash(&mut hasher);
    hasher.finish()
}

fn explore(start: World, faults: u32) -> Report {
    let mut seen = HashSet::new();
    let mut stack: Vec<(World, u32, Option<Rc<Path>>)> = vec![(start, faults, None)];
    while let Some((world, faults, path)) = stack.pop() {
        if !seen.insert(hash_of(&world, faults)) {
            continue;
        }
        let violation = world
            .violation
            .clone()
            .or_else(|| check_retry_without_faults(&world));
        if let Some(violation) = violation {
            let violation = Some((violation, steps_of(path)));
            let states = seen.len();
            return Report { states, violation };
        }
        for step in world.steps(faults > 0) {
            let mut next = world.clone();
            next.take(&step);
            let left = faults - u32::from(step.is_fault());
            let before = path.clone();
            stack.push((next, left, Some(Rc::new(Path { step, before }))));
        }
    }
    let states = seen.len();
    Report {
        states,
        violation: None,
    }
}

/// Retries through another entry once no other step is possible without a fault.
fn check_retry_without_faults(world: &World) -> Option<String> {
    if !world.steps(false).iter().all(|s| *s == Step::Retry) {
        return None;
    }
    let mut world = world.clone();
    let answered = world.outcome_answered();
    let entry = world.request();
    for _ in 0..MAX_QUIET_STEPS {
        let steps = world.steps(false);
        let Some(step) = steps.iter().find(|s| **s != Step::Retry) else {
            break;
        };
        world.take(step);
    }
    if world.violation.is_some() {
        return world.violation;
    }
    match world.answer(entry) {
        None => Some("a retry received no answer".to_owned()),
        // A generated key keeps no answer, but the failure states that the request ran.
        Some(Answer::Failure(f)) if world.generated && f.ran == Ran::Yes => None,
        Some(Answer::Failure(failure)) if answered => {
            Some(format!("a delivered answer was lost: {failure}"))
        }
        Some(_) => None,
    }
}

fn assert_no_violation(report: &Report) {
    if let Some((violation, path)) = &report.violation {
        panic!("{violation} after {path:#?}");
    }
}

#[test]
fn request_runs_at_most_once_under_any_two_faults() {
    let report = explore(World::new(true, Defect::None), 2);
    assert_no_violation(&report);
    println!("{} states", report.states);
}

#[test]
fn retry_through_another_entry_runs_at_most_once_under_any_fault() {
    let report = explore(World::new(false, Defect::None), 1);
    assert_no_violation(&report);
    println!("{} states", report.states);
}

#[test]
fn retry_through_another_entry_runs_at_most_once_under_any_two_faults() {
    let report = explore(World::new(false, Defect::None), 2);
    assert_no_violation(&report);
    println!("{} states", report.states);
}

#[test]
fn exploration_detects_agents_that_do_not_bar_claims() {
    let report = explore(World::new(false, Defect::NoBarring), 1);
    let (violation, _) = report.violation.expect("a violation");
    insta::assert_snapshot!(violation, @"the request ran twice");
}

#[test]
fn exploration_detects_agents_that_reuse_an_epoch() {
    let report = explore(World::new(false, Defect::ReusedEpoch), 1);
    let (violation, _) = report.violation.expect("a violation");
    insta::assert_snapshot!(violation, @"the request ran twice");
}
