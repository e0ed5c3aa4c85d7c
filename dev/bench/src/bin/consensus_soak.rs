//! Long simulation of the replicated log under all faults, checked after every step.
//!
//! Usage: `consensus_soak [--steps N] [--seed N] [--hosts N]`. The run consists
//! of episodes with a seed each; an episode ends by healing all faults and
//! checking that the replicas agree. A violated invariant aborts the run with
//! the invariant and the seed of its episode.

#[allow(dead_code, reason = "the tests of the log use more of it")]
#[path = "../../../../decision/consensus/tests/it/sim/mod.rs"]
mod sim;

use std::process::ExitCode;

use sim::{Counts, Faults, World};

/// Steps per episode.
const EPISODE_STEPS: u64 = 50_000;

struct Arguments {
    steps: u64,
    seed: u64,
    hosts: usize,
}

fn arguments() -> Result<Arguments, lexopt::Error> {
    use lexopt::prelude::*;
    let mut parsed = Arguments {
        steps: 1_000_000,
        seed: 1,
        hosts: 5,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("steps") => parsed.steps = parser.value()?.parse()?,
            Long("seed") => parsed.seed = parser.value()?.parse()?,
            Long("hosts") => parsed.hosts = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(parsed)
}

fn main() -> ExitCode {
    let arguments = match arguments() {
        Ok(arguments) => arguments,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let mut total = Counts::default();
    let mut seed = arguments.seed;
    while total.steps < arguments.steps {
        total.add(&episode(seed, arguments.hosts));
        seed += 1;
    }
    println!(
        "seeds {} to {}, no invariant violated",
        arguments.seed,
        seed - 1
    );
    println!("{total:#?}");
    ExitCode::SUCCESS
}

fn episode(seed: u64, hosts: usize) -> Counts {
    let mut world = World::new(seed, hosts, hosts.min(3), Faults::all());
    while world.counts.steps < EPISODE_STEPS {
        world.step();
    }
    world.settle();
    world.counts
}
