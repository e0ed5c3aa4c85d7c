//! Every crash point of entry, agent, upstream and control, alone and in pairs.

use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use pimentotide_model::Ran;
use pimentotide_outcome::Answer;

use crate::world::{Broken, Step, World};

/// Steps after which a path without faults must have come to its end.
const MAX_QUIET_STEPS: usize = 64;

struct Report {
    states: usize,
    violation: Option<(String, Vec<Step>)>,
}

/// Steps that led to a state, the last one first.
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
        let violation = world.violation.clone().or_else(|| retry_in_peace(&world));
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

/// Retries through a third entry once nothing else moves.
fn retry_in_peace(world: &World) -> Option<String> {
    if !world.steps(false).iter().all(|s| *s == Step::Retry) {
        return None;
    }
    let mut world = world.clone();
    let told = world.outcome_told();
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
        None => Some("a retry got no answer".to_owned()),
        // A key that an entry made up keeps no answer, but still says that it ran.
        Some(Answer::Failure(f)) if world.generated && f.ran == Ran::Yes => None,
        Some(Answer::Failure(failure)) if told => Some(format!("answer forgotten: {failure}")),
        Some(_) => None,
    }
}

fn assert_holds(report: &Report) {
    if let Some((violation, path)) = &report.violation {
        panic!("{violation} after {path:#?}");
    }
}

#[test]
fn one_request_runs_at_most_once_under_any_two_faults() {
    let report = explore(World::new(true, Broken::Nothing), 2);
    assert_holds(&report);
    println!("{} states", report.states);
}

#[test]
fn a_retry_elsewhere_runs_nothing_twice_under_any_fault() {
    let report = explore(World::new(false, Broken::Nothing), 1);
    assert_holds(&report);
    println!("{} states", report.states);
}

#[test]
fn a_retry_elsewhere_runs_nothing_twice_under_any_two_faults() {
    let report = explore(World::new(false, Broken::Nothing), 2);
    assert_holds(&report);
    println!("{} states", report.states);
}

#[test]
fn the_exploration_finds_agents_that_do_not_bar() {
    let report = explore(World::new(false, Broken::Barring), 1);
    let (violation, _) = report.violation.expect("a violation");
    insta::assert_snapshot!(violation, @"a second run");
}

#[test]
fn the_exploration_finds_agents_that_reuse_an_epoch() {
    let report = explore(World::new(false, Broken::Epoch), 1);
    let (violation, _) = report.violation.expect("a violation");
    insta::assert_snapshot!(violation, @"a second run");
}
